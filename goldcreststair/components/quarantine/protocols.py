"""What other components ask of the quarantine."""

import hashlib
from typing import Final, Protocol

import orjson

from goldcreststair.components.quarantine.const import FINGERPRINT_CHARACTERS
from goldcreststair.core import ComponentKey

DELIVERY_FIELDS: Final = ("stream", "stream_options")
"""Fields of a request that change only how its answer travels."""


def make_fingerprint(customer: str, body: bytes) -> str:
    """Return what recognises a request that is sent again, online or as an item of a job.

    >>> make_fingerprint("acme", b'{"a": 1, "b": 2}') == make_fingerprint("acme", b'{"b":2,"a":1}')
    True
    """
    digest = hashlib.sha256(customer.encode() + b"\0" + _normalise(body))
    return digest.hexdigest()[:FINGERPRINT_CHARACTERS]


def _normalise(body: bytes) -> bytes:
    # Jobs are read, completed and streamed: by its bytes, a request that batch has quarantined
    # would be a new one online and crash engines all over again.
    try:
        request = orjson.loads(body)
    except ValueError:
        return body
    if not isinstance(request, dict):
        return body
    fields = {name: value for name, value in request.items() if name not in DELIVERY_FIELDS}
    return orjson.dumps(fields, option=orjson.OPT_SORT_KEYS)


class Quarantine(Protocol):
    """Finds out which request crashes upstreams, and keeps it out of the whole fleet."""

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether the request must not run."""

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether the request must run apart from other suspects."""

    def begin(self, upstream: str, request_id: str, fingerprint: str) -> None:
        """Note that a request runs at an upstream."""

    def end(self, upstream: str, request_id: str, *, ok: bool) -> None:
        """Note that a run ended; `ok` clears the request of suspicion."""

    def report_crash(self, upstream: str, request_id: str) -> None:
        """Note that a run's connection broke; call before its `end`."""


QUARANTINE: Final = ComponentKey[Quarantine]("quarantine")
