"""Validates and decodes the configuration document, JSON that operators write."""

from collections.abc import Mapping
from typing import Any, Final, TypeVar

from result import Err, Ok, Result

from goldcreststair.components.configuration.decoding_cache import Decode, DecodingCache
from goldcreststair.components.configuration.errors import DocumentInvalid
from goldcreststair.components.configuration.models import (
    Configuration,
    Customer,
    Objective,
    ServiceRoute,
)
from goldcreststair.upstreams.models import Upstream, UpstreamKind

T = TypeVar("T")

Document = Mapping[str, Any]

SECTIONS: Final = (
    "customers",
    "keys",
    "withdrawn",
    "upstreams",
    "leaving_upstreams",
    "leaving_vms",
    "routes",
    "objectives",
    "models",
)
KEY_HASH_LENGTH: Final = 64
ROLES: Final = ("mixed", "prefill", "decode")
UPSTREAM_FIELDS: Final = {
    "address",
    "data_centre",
    "kind",
    "models",
    "service",
    "checks_fencing",
    "adapters",
    "role",
}


class _FieldError(Exception):
    """An invalid field; `decode_document` converts it to `DocumentInvalid`."""

    def __init__(self, field: str, message: str) -> None:
        super().__init__(message)
        self.field = field


def is_key_hash(text: str) -> bool:
    """Return whether a text is a SHA-256 in lower-case hex, the form in which keys are stored."""
    return len(text) == KEY_HASH_LENGTH and set(text) <= set("0123456789abcdef")


def decode_document(
    version: int, document: Document, cache: DecodingCache | None = None
) -> Result[Configuration, DocumentInvalid]:
    """Validate a document and return it as a configuration; the error names the field.

    Entries unchanged since the last document that was decoded with the same `cache` are reused.
    """
    try:
        return Ok(_decode(version, document, cache or DecodingCache()))
    except _FieldError as error:
        return Err(DocumentInvalid(str(error), error.field))


def _decode(version: int, document: Document, cache: DecodingCache) -> Configuration:
    if not isinstance(document, Mapping):
        raise _FieldError("", "must be an object")
    for section in document:
        if section not in SECTIONS:
            raise _FieldError(section, "unknown section")
    customers = _decode_section(cache, document, "customers", _decode_customer)
    withdrawn = frozenset(_read_names(document, "withdrawn"))
    for key_hash in withdrawn:
        _check_hash(key_hash, f"withdrawn.{key_hash}")
    keys = _decode_section(cache, document, "keys", _decode_key)
    for key_hash, customer in keys.items():
        if customer not in customers:
            raise _FieldError(f"keys.{key_hash}", f"unknown customer {customer!r}")
    return Configuration(
        version=version,
        customers=customers,
        keys={key: customer for key, customer in keys.items() if key not in withdrawn},
        withdrawn=withdrawn,
        upstreams=_decode_section(cache, document, "upstreams", _decode_upstream),
        leaving_upstreams=frozenset(_read_names(document, "leaving_upstreams")),
        leaving_vms=frozenset(_read_names(document, "leaving_vms")),
        routes=tuple(_decode_section(cache, document, "routes", _decode_route).values()),
        objectives=tuple(
            _decode_section(cache, document, "objectives", _decode_objective).values()
        ),
        models=_decode_section(
            cache, document, "models", lambda _, raw, field: _read_text(raw, field)
        ),
    )


def _decode_section(
    cache: DecodingCache, document: Document, name: str, decode: Decode[T]
) -> dict[str, T]:
    section = document.get(name, {})
    if not isinstance(section, Mapping):
        raise _FieldError(name, "must be an object")
    return cache.decode(name, section, decode)


def _decode_customer(name: str, raw: Any, field: str) -> Customer:
    _check_fields(raw, field, {"rate_per_s", "burst", "weight"})
    rate = _read_number(raw, "rate_per_s", field, above=0)
    burst = _read_number(raw, "burst", field, above=0)
    if burst != int(burst):
        raise _FieldError(f"{field}.burst", "must be a whole number")
    return Customer(name, rate, int(burst), _read_number(raw, "weight", field, 1.0, above=0))


def _decode_key(key_hash: str, raw: Any, field: str) -> str:
    _check_hash(key_hash, field)
    return _read_text(raw, field)


def _check_hash(key_hash: str, field: str) -> None:
    if not is_key_hash(key_hash):
        raise _FieldError(field, "must be a SHA-256 in lower-case hex, never the key itself")


def _decode_upstream(name: str, raw: Any, field: str) -> Upstream:
    _check_fields(raw, field, UPSTREAM_FIELDS)
    kind = raw.get("kind", UpstreamKind.ENGINE)
    if kind not in tuple(UpstreamKind):
        raise _FieldError(f"{field}.kind", "must be engine or service")
    address = _read_text(raw.get("address"), f"{field}.address")
    if not address.rpartition(":")[2].isdecimal():
        raise _FieldError(f"{field}.address", "must be HOST:PORT")
    return Upstream(
        name=name,
        address=address,
        data_centre=_read_text(raw.get("data_centre"), f"{field}.data_centre"),
        kind=UpstreamKind(kind),
        models=_read_list(raw, "models", field),
        service=str(raw.get("service", "")),
        checks_fencing=_read_flag(raw, "checks_fencing", field, default=True),
        adapters=_read_adapters(raw, field),
        role=_read_role(raw, field),
    )


def _read_adapters(raw: Any, field: str) -> tuple[str, ...]:
    adapters = _read_list(raw, "adapters", field)
    for adapter in adapters:
        model, mark, name = adapter.rpartition(":")
        if not (mark and name and model in raw.get("models", [])):
            raise _FieldError(f"{field}.adapters", "must name MODEL:ADAPTER of a model served here")
    return adapters


def _read_role(raw: Mapping[str, Any], field: str) -> str:
    role = raw.get("role", "")
    if role not in ("", *ROLES):
        raise _FieldError(f"{field}.role", f"must be one of {', '.join(ROLES)}")
    return str(role)


def _read_flag(raw: Mapping[str, Any], name: str, field: str, *, default: bool) -> bool:
    value = raw.get(name, default)
    if not isinstance(value, bool):
        raise _FieldError(f"{field}.{name}", "must be true or false")
    return value


def _decode_route(_: str, raw: Any, field: str) -> ServiceRoute:
    _check_fields(raw, field, {"service", "method", "path", "repeatable"})
    repeatable = raw.get("repeatable")
    if not isinstance(repeatable, bool):
        raise _FieldError(f"{field}.repeatable", "must be true or false")
    return ServiceRoute(
        service=_read_text(raw.get("service"), f"{field}.service"),
        method=_read_text(raw.get("method"), f"{field}.method").upper(),
        path=_read_text(raw.get("path"), f"{field}.path"),
        repeatable=repeatable,
    )


def _decode_objective(name: str, raw: Any, field: str) -> Objective:
    _check_fields(raw, field, {"customer", "threshold_ms", "target", "window_s"})
    target = _read_number(raw, "target", field, above=0)
    if target >= 1:
        raise _FieldError(f"{field}.target", "must be below 1")
    return Objective(
        name=name,
        customer=str(raw.get("customer", "*")),
        threshold_ms=int(_read_number(raw, "threshold_ms", field, above=0)),
        target=target,
        window_s=int(_read_number(raw, "window_s", field, 2_592_000, above=0)),
    )


def _check_fields(raw: Any, field: str, known: set[str]) -> None:
    if not isinstance(raw, Mapping):
        raise _FieldError(field, "must be an object")
    for name in raw:
        if name not in known:
            raise _FieldError(f"{field}.{name}", "unknown field")


def _read_number(
    raw: Mapping[str, Any], name: str, field: str, default: float | None = None, *, above: float
) -> float:
    value = raw.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not value > above:
        raise _FieldError(f"{field}.{name}", f"must be a number above {above:g}")
    return value


def _read_text(value: Any, field: str) -> str:
    if not isinstance(value, str) or not value:
        raise _FieldError(field, "must be a non-empty string")
    return value


def _read_list(raw: Mapping[str, Any], name: str, field: str) -> tuple[str, ...]:
    values = raw.get(name, [])
    if not isinstance(values, list) or not all(isinstance(value, str) for value in values):
        raise _FieldError(f"{field}.{name}", "must be a list of strings")
    return tuple(values)


def _read_names(document: Document, name: str) -> list[str]:
    """Return the names in a set, written as `{"name": true}` so that patches can merge it."""
    section = document.get(name, {})
    if not isinstance(section, Mapping):
        raise _FieldError(name, "must be an object")
    return [key for key, present in section.items() if present]


def merge_patch(target: Any, patch: Any) -> Any:
    """Apply a JSON merge patch (RFC 7396) and return the result.

    >>> merge_patch({"a": 1, "b": {"c": 2}}, {"a": None, "b": {"d": 3}})
    {'b': {'c': 2, 'd': 3}}
    """
    if not isinstance(patch, Mapping):
        return patch
    merged = dict(target) if isinstance(target, Mapping) else {}
    for name, value in patch.items():
        if value is None:
            merged.pop(name, None)
        else:
            merged[name] = merge_patch(merged.get(name), value)
    return merged
