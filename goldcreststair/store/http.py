"""The platform's services over HTTP."""

import base64
from collections.abc import Sequence
from typing import Any, Final
from urllib.parse import quote, urlsplit

import orjson
from result import Err, Ok, Result

from goldcreststair.http_exchange import Exchange, ExchangeFailure, HttpResponse, async_exchange
from goldcreststair.store.errors import (
    ObjectMissing,
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
    RowConflict,
)
from goldcreststair.store.models import ListedState, ListedVm, Row, RowWrite
from goldcreststair.store.protocols import Platform

DEFAULT_TIMEOUT_MS: Final = 3000
STATUS_OK: Final = 200
STATUS_MISSING: Final = 404
STATUS_CONFLICT: Final = 409
STATUS_REFUSED: Final = (429, 503)


class HttpPlatformClient:
    """Sends requests to one platform endpoint and classifies failures."""

    def __init__(self, url: str, timeout_ms: int = DEFAULT_TIMEOUT_MS) -> None:
        """Set the platform's base URL and the timeout of a call; nothing is sent yet."""
        parts = urlsplit(url)
        self._address = f"{parts.hostname}:{parts.port or 80}"
        self._timeout_ms = timeout_ms

    async def async_send(
        self, method: str, path: str, body: bytes = b""
    ) -> Result[HttpResponse, PlatformError]:
        """Send a request and return its answer.

        A refusal (429 or 503) or a failed connection is `PlatformUnavailable`: it had no effect.
        """
        exchange = Exchange(self._address, method, path, self._timeout_ms, body=body)
        outcome = await async_exchange(exchange)
        if isinstance(outcome, Err):
            if outcome.err_value.failure is ExchangeFailure.CONNECT:
                return Err(PlatformUnavailable(outcome.err_value.message))
            return Err(PlatformOutcomeUnknown(outcome.err_value.message))
        if outcome.ok_value.status in STATUS_REFUSED:
            return Err(PlatformUnavailable(f"platform answered {outcome.ok_value.status}"))
        return outcome

    async def async_call(self, path: str, request: Any) -> Result[HttpResponse, PlatformError]:
        """POST a JSON request."""
        return await self.async_send("POST", path, orjson.dumps(request))


def _decode_row(raw: Any) -> Row | None:
    if raw is None:
        return None
    return Row(raw["key"], raw["version"], base64.b64decode(raw["value"]))


def _encode_write(write: RowWrite) -> dict[str, Any]:
    value = None if write.value is None else base64.b64encode(write.value).decode()
    return {"key": write.key, "expected_version": write.expected_version, "value": value}


def _unexpected_status(answer: HttpResponse) -> Err[PlatformError]:
    return Err(PlatformError(f"platform answered {answer.status}"))


class HttpTableService:
    """The table service over HTTP."""

    def __init__(self, client: HttpPlatformClient) -> None:
        """Use a shared client."""
        self._client = client

    async def async_read(self, key: str) -> Result[Row | None, PlatformError]:
        """Return one row, or None if it does not exist."""
        rows = await self.async_read_many([key])
        return rows.map(lambda found: found[0])

    async def async_read_many(
        self, keys: Sequence[str]
    ) -> Result[tuple[Row | None, ...], PlatformError]:
        """Return rows in the order of `keys`."""
        outcome = await self._client.async_call("/table/read", {"keys": list(keys)})
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status != STATUS_OK:
            return _unexpected_status(outcome.ok_value)
        return Ok(tuple(_decode_row(raw) for raw in orjson.loads(outcome.ok_value.body)))

    async def async_scan(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Return up to `limit` rows by key prefix, in key order."""
        request = {"prefix": prefix, "after": after, "limit": limit}
        outcome = await self._client.async_call("/table/scan", request)
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status != STATUS_OK:
            return _unexpected_status(outcome.ok_value)
        rows = (_decode_row(raw) for raw in orjson.loads(outcome.ok_value.body))
        return Ok(tuple(row for row in rows if row is not None))

    async def async_write(
        self, writes: Sequence[RowWrite]
    ) -> Result[tuple[int, ...], PlatformError | RowConflict]:
        """Apply all writes or none; returns the new versions in order."""
        request = {"writes": [_encode_write(write) for write in writes]}
        outcome = await self._client.async_call("/table/write", request)
        if isinstance(outcome, Err):
            return outcome
        answer = outcome.ok_value
        if answer.status == STATUS_CONFLICT:
            return Err(RowConflict("version conflict", _decode_row(orjson.loads(answer.body))))
        if answer.status != STATUS_OK:
            return _unexpected_status(answer)
        return Ok(tuple(orjson.loads(answer.body)))


class HttpObjectStore:
    """The object store over HTTP."""

    def __init__(self, client: HttpPlatformClient) -> None:
        """Use a shared client."""
        self._client = client

    async def async_put(self, name: str, content: bytes) -> Result[None, PlatformError]:
        """Store an object."""
        return _expect_ok(await self._client.async_send("PUT", _object_path(name), content))

    async def async_get(self, name: str) -> Result[bytes, PlatformError | ObjectMissing]:
        """Return an object's content."""
        outcome = await self._client.async_send("GET", _object_path(name))
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status == STATUS_MISSING:
            return Err(ObjectMissing(f"no object {name}"))
        if outcome.ok_value.status != STATUS_OK:
            return _unexpected_status(outcome.ok_value)
        return Ok(outcome.ok_value.body)

    async def async_delete(self, name: str) -> Result[None, PlatformError]:
        """Remove an object."""
        return _expect_ok(await self._client.async_send("DELETE", _object_path(name)))


def _object_path(name: str) -> str:
    return "/objects/" + quote(name, safe="/")


def _expect_ok(outcome: Result[HttpResponse, PlatformError]) -> Result[None, PlatformError]:
    if isinstance(outcome, Err):
        return outcome
    return (
        Ok(None) if outcome.ok_value.status == STATUS_OK else _unexpected_status(outcome.ok_value)
    )


class HttpVmList:
    """The list of VMs over HTTP."""

    def __init__(self, client: HttpPlatformClient) -> None:
        """Use a shared client."""
        self._client = client

    async def async_list(self) -> Result[tuple[ListedVm, ...], PlatformError]:
        """Return all VMs, live and leaving."""
        outcome = await self._client.async_send("GET", "/vms")
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status != STATUS_OK:
            return _unexpected_status(outcome.ok_value)
        vms = orjson.loads(outcome.ok_value.body)
        return Ok(
            tuple(
                ListedVm(vm["address"], vm["data_centre"], ListedState(vm["state"])) for vm in vms
            )
        )


class HttpWeightStore:
    """The weight store over HTTP."""

    def __init__(self, client: HttpPlatformClient) -> None:
        """Use a shared client."""
        self._client = client

    async def async_describe(self, model: str) -> Result[int, PlatformError | ObjectMissing]:
        """Return the size of a model's weights in bytes."""
        outcome = await self._client.async_send("GET", "/weights/" + quote(model, safe=""))
        if isinstance(outcome, Err):
            return outcome
        if outcome.ok_value.status == STATUS_MISSING:
            return Err(ObjectMissing(f"no weights of {model}"))
        if outcome.ok_value.status != STATUS_OK:
            return _unexpected_status(outcome.ok_value)
        return Ok(int(orjson.loads(outcome.ok_value.body)["bytes"]))


def create_platform(url: str) -> Platform:
    """Return all services of the platform at `url`."""
    client = HttpPlatformClient(url)
    return Platform(
        HttpTableService(client),
        HttpObjectStore(client),
        HttpVmList(client),
        HttpWeightStore(client),
    )
