"""Engines over HTTP: the OpenAI-compatible format with request ids and token indices."""

import dataclasses
from typing import Any, Final

import orjson
from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders

from goldcreststair.const import HEADER_REQUEST_ID
from goldcreststair.http_exchange import (
    MAX_RESPONSE_BYTES,
    Exchange,
    ExchangeError,
    ExchangeFailure,
    HttpResponse,
    async_exchange,
)
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.models import (
    CacheEvent,
    GenerateCall,
    GenerateEnd,
    LoadReport,
    Order,
    StreamChunk,
    Upstream,
)
from goldcreststair.upstreams.protocols import StreamSink

HEADER_NOT_RUN: Final = "X-Not-Run"
PATH_RESUME: Final = "/v1/resume"
END_MARKER: Final = b"data: [DONE]\n\n"
EVENT_END: Final = b"\n\n"
EVENT_ID: Final = b"id: "
IDLE_TIMEOUT_MS: Final = 5000
WHOLE_IDLE_TIMEOUT_MS: Final = 15_000
"""An answer that comes at once at its end may keep still for longer; asking again joins it."""
WHOLE_IDLE_PARTS: Final = 8
CONTROL_TIMEOUT_MS: Final = 2000
ORDER_TIMEOUT_MS: Final = 60_000
"""A load takes long; it is answered when it has ended."""
MAX_KV_STATE_BYTES: Final = 2 * 1024 * 1024
STATUS_OK: Final = 200
STATUS_FENCED: Final = 409

_FAILURES: Final = {
    ExchangeFailure.CONNECT: UpstreamFailure.CONNECT,
    ExchangeFailure.BROKEN: UpstreamFailure.LOST,
    ExchangeFailure.TIMEOUT: UpstreamFailure.TIMEOUT,
    ExchangeFailure.IDLE: UpstreamFailure.SILENT,
    ExchangeFailure.MALFORMED: UpstreamFailure.LOST,
}


@dataclasses.dataclass(frozen=True, slots=True)
class ControlLimits:
    """Bounds of a call that is no generation."""

    timeout_ms: int = CONTROL_TIMEOUT_MS
    max_bytes: int = MAX_RESPONSE_BYTES


DEFAULT_LIMITS: Final = ControlLimits()


def convert_exchange_error(error: ExchangeError) -> UpstreamError:
    """Turn an error of the HTTP layer into one of this layer."""
    return UpstreamError(error.message, _FAILURES[error.failure])


def convert_error_response(answer: HttpResponse) -> UpstreamError:
    """Turn an answer that is no success into an error."""
    if answer.headers.get(HEADER_NOT_RUN) == "true":
        return UpstreamError("upstream did not run it", UpstreamFailure.REFUSED, answer.status)
    if 400 <= answer.status < 500:
        failure = UpstreamFailure.REJECTED
        return UpstreamError("upstream rejected it", failure, answer.status, answer.body)
    return UpstreamError("upstream failed", UpstreamFailure.LOST, answer.status)


class _StreamReader:
    """Cuts what arrives into whole events and watches for the end marker and a crossed answer."""

    def __init__(self, request_id: str, resume_after: int, sink: StreamSink) -> None:
        self.last_index = resume_after
        self.tokens = 0
        self.ended = False
        self.crossed = False
        self._request_id = request_id
        self._sink = sink
        self._rest = b""

    def on_head(self, status: int, headers: HTTPHeaders) -> None:
        # Shows as another customer's text in this stream; an answer without our id is never read.
        if status == STATUS_OK and headers.get(HEADER_REQUEST_ID) != self._request_id:
            self.crossed = True

    async def async_on_data(self, data: bytes) -> None:
        if self.crossed or self.ended:
            return
        data = self._rest + data
        whole = data.rfind(EVENT_END) + len(EVENT_END)
        if whole < len(EVENT_END):
            self._rest = data
            return
        self._rest = data[whole:]
        events = data[:whole]
        if events.endswith(END_MARKER):
            self.ended = True
            events = events[: -len(END_MARKER)]
        if events:
            await self._sink.async_accept(self._make_chunk(events))

    def _make_chunk(self, events: bytes) -> StreamChunk:
        tokens = events.count(EVENT_END)
        at = events.rfind(EVENT_ID)
        if at >= 0:
            self.last_index = int(events[at + len(EVENT_ID) : events.index(b"\n", at)])
        self.tokens += tokens
        return StreamChunk(events, tokens, self.last_index)


class HttpEngineClient:
    """Calls engines over one fresh connection a call."""

    async def async_generate(
        self, upstream: Upstream, call: GenerateCall, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        """Run or resume one request."""
        reader = _StreamReader(call.request_id, call.resume_after, sink)
        exchange = _create_exchange(upstream, call)
        on_data = reader.async_on_data if call.stream else None
        outcome = await async_exchange(exchange, reader.on_head, on_data)
        if reader.crossed:
            return Err(UpstreamError("answer of another request", UpstreamFailure.CROSSED))
        if isinstance(outcome, Err):
            return Err(convert_exchange_error(outcome.err_value))
        answer = outcome.ok_value
        if answer.status != STATUS_OK:
            return Err(convert_error_response(answer))
        if not call.stream:
            return _read_whole(answer)
        if not reader.ended:
            return Err(UpstreamError("no end marker", UpstreamFailure.INCOMPLETE))
        return Ok(GenerateEnd(b"", reader.tokens, reader.last_index))

    async def async_cancel(
        self, upstream: Upstream, request_id: str
    ) -> Result[None, UpstreamError]:
        """Stop a request; an unknown one is no error."""
        outcome = await _async_control(upstream, "POST", f"/requests/{request_id}/cancel")
        return outcome.map(lambda _: None)

    async def async_read_load(self, upstream: Upstream) -> Result[LoadReport, UpstreamError]:
        """Return the engine's last load report."""
        outcome = await _async_control(upstream, "GET", "/load")
        return outcome.map(lambda answer: _decode_load(orjson.loads(answer.body)))

    async def async_read_cache_events(
        self, upstream: Upstream, after_sequence: int
    ) -> Result[tuple[CacheEvent, ...], UpstreamError]:
        """Return prefix-cache events after a sequence number."""
        outcome = await _async_control(upstream, "GET", f"/cache_events?after={after_sequence}")
        return outcome.map(
            lambda answer: tuple(CacheEvent(**raw) for raw in orjson.loads(answer.body))
        )

    async def async_send_order(
        self, upstream: Upstream, order: Order
    ) -> Result[None, UpstreamError]:
        """Give an order."""
        body = orjson.dumps(dataclasses.asdict(order))
        limits = ControlLimits(timeout_ms=ORDER_TIMEOUT_MS)
        outcome = await _async_control(upstream, "POST", "/orders", body, limits)
        if isinstance(outcome, Err) and outcome.err_value.status == STATUS_FENCED:
            return Err(UpstreamError("old fencing number", UpstreamFailure.FENCED, STATUS_FENCED))
        return outcome.map(lambda _: None)

    async def async_export_kv(
        self, upstream: Upstream, request_id: str
    ) -> Result[bytes, UpstreamError]:
        """Return the KV state of a running request."""
        # Moves run several at once: states of hundreds of megabytes would take all of a small
        # VM's memory. An engine has to give out a reference to its state instead.
        path = f"/requests/{request_id}/kv"
        limits = ControlLimits(max_bytes=MAX_KV_STATE_BYTES)
        outcome = await _async_control(upstream, "GET", path, limits=limits)
        return outcome.map(lambda answer: answer.body)

    async def async_import_kv(
        self, upstream: Upstream, request_id: str, state: bytes
    ) -> Result[None, UpstreamError]:
        """Give an engine the KV state of a request."""
        outcome = await _async_control(upstream, "PUT", f"/requests/{request_id}/kv", state)
        return outcome.map(lambda _: None)


def _create_exchange(upstream: Upstream, call: GenerateCall) -> Exchange:
    path, body = call.path, call.body
    if call.resume_after >= 0:
        path = PATH_RESUME
        body = orjson.dumps(
            {
                "path": call.path,
                "after": call.resume_after,
                "prior": call.prior,
                "request": orjson.Fragment(call.body),
            }
        )
    return Exchange(
        address=upstream.address,
        method="POST",
        path=path,
        timeout_ms=call.timeout_ms,
        headers={HEADER_REQUEST_ID: call.request_id, "Content-Type": "application/json"},
        body=body,
        idle_timeout_ms=IDLE_TIMEOUT_MS if call.stream else _choose_whole_idle_ms(call),
    )


def _choose_whole_idle_ms(call: GenerateCall) -> int:
    """Return how long a whole answer may keep still; a long call may for longer."""
    return max(WHOLE_IDLE_TIMEOUT_MS, call.timeout_ms // WHOLE_IDLE_PARTS)


def _read_whole(answer: HttpResponse) -> Result[GenerateEnd, UpstreamError]:
    try:
        parsed: dict[str, Any] = orjson.loads(answer.body)
        tokens = int(parsed["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return Err(UpstreamError("answer is not whole", UpstreamFailure.INCOMPLETE))
    return Ok(GenerateEnd(answer.body, tokens, tokens - 1))


def _decode_load(raw: dict[str, Any]) -> LoadReport:
    lists = {name: tuple(raw.get(name, ())) for name in ("models", "adapters", "in_use")}
    return LoadReport(**{**raw, **lists})


async def _async_control(
    upstream: Upstream,
    method: str,
    path: str,
    body: bytes = b"",
    limits: ControlLimits = DEFAULT_LIMITS,
) -> Result[HttpResponse, UpstreamError]:
    exchange = Exchange(
        upstream.address,
        method,
        path,
        limits.timeout_ms,
        body=body,
        max_response_bytes=limits.max_bytes,
    )
    outcome = await async_exchange(exchange)
    if isinstance(outcome, Err):
        return Err(convert_exchange_error(outcome.err_value))
    if outcome.ok_value.status != STATUS_OK:
        return Err(convert_error_response(outcome.ok_value))
    return outcome
