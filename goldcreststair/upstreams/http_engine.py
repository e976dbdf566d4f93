"""HTTP client for engines: the OpenAI-compatible format with request ids and token indices."""

import asyncio
import dataclasses
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

import orjson
from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders, HTTPInputError

from goldcreststair.const import HEADER_REQUEST_ID
from goldcreststair.helpers.refusals import PROMISE_STATUSES
from goldcreststair.http_exchange import (
    Exchange,
    ExchangeError,
    ExchangeFailure,
    HttpResponse,
    async_exchange,
)
from goldcreststair.response_budget import ResponseBudget
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.events import MAX_ANSWER_BYTES, MAX_EVENT_BYTES
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

T = TypeVar("T")

HEADER_NOT_RUN: Final = "X-Not-Run"
HEADER_SOFTWARE: Final = "X-Software-Version"
"""Version of the engine's software, in every answer to a generation."""
PATH_RESUME: Final = "/v1/resume"
END_MARKER: Final = b"data: [DONE]\n\n"
EVENT_END: Final = b"\n\n"
EVENT_ID: Final = b"id: "
IDLE_TIMEOUT_MS: Final = 5000
NON_STREAM_IDLE_TIMEOUT_MS: Final = 15_000
"""Idle timeout of answers that are sent all at once at their end; a repeated call joins the same run."""
NON_STREAM_IDLE_DIVISOR: Final = 8
CONTROL_TIMEOUT_MS: Final = 2000
ORDER_TIMEOUT_MS: Final = 60_000
"""Loading a model takes long, and the engine responds only when it has finished."""
MAX_CONTROL_BYTES: Final = 16 * 1024 * 1024
"""Longest response to a call that is no generation."""
MAX_KV_STATE_BYTES: Final = 2 * 1024 * 1024
STATUS_OK: Final = 200
STATUS_FENCED: Final = 409

_FAILURES: Final = {
    ExchangeFailure.CONNECT: UpstreamFailure.CONNECT,
    ExchangeFailure.BROKEN: UpstreamFailure.LOST,
    ExchangeFailure.TIMEOUT: UpstreamFailure.TIMEOUT,
    ExchangeFailure.IDLE: UpstreamFailure.SILENT,
    ExchangeFailure.MALFORMED: UpstreamFailure.LOST,
    ExchangeFailure.REJECTED: UpstreamFailure.INCOMPLETE,
}

_REPORT_FIELDS: Final = frozenset(field.name for field in dataclasses.fields(LoadReport))


@dataclasses.dataclass(frozen=True, slots=True)
class ControlLimits:
    """Limits of a control call, which is any call but a generation."""

    timeout_ms: int = CONTROL_TIMEOUT_MS
    max_bytes: int = MAX_CONTROL_BYTES


DEFAULT_LIMITS: Final = ControlLimits()


def convert_exchange_error(error: ExchangeError) -> UpstreamError:
    """Convert an error of the HTTP layer to an `UpstreamError`."""
    return UpstreamError(error.message, _FAILURES[error.failure])


def convert_error_response(response: HttpResponse) -> UpstreamError:
    """Convert an unsuccessful response to an `UpstreamError`."""
    if response.headers.get(HEADER_NOT_RUN) == "true":
        return UpstreamError(
            "upstream did not run the request", UpstreamFailure.REFUSED, response.status
        )
    if 400 <= response.status < 500 and response.status not in PROMISE_STATUSES:
        failure = UpstreamFailure.REJECTED
        return UpstreamError(
            "upstream rejected the request", failure, response.status, response.body
        )
    return UpstreamError("upstream failed", UpstreamFailure.LOST, response.status)


class _StreamReader:
    """Splits a response into complete events; detects the end marker, and answers of other requests and
    of other software.
    """

    def __init__(self, call: GenerateCall, sink: StreamSink) -> None:
        self.last_index = call.resume_after
        self.tokens = 0
        self.ended = False
        self.crossed = False
        self.other_software = asyncio.Event()
        """Set when the answer is of another software version than the one that began it."""
        self._request_id = call.request_id
        self._expected_software = call.software_version
        self._software = ""
        self._sink = sink
        self._buffer = b""

    def on_head(self, status: int, headers: HTTPHeaders) -> None:
        # An answer without this request's id is not read: it could put another customer's text into
        # this stream.
        if status == STATUS_OK and headers.get(HEADER_REQUEST_ID) != self._request_id:
            self.crossed = True
        self._software = headers.get(HEADER_SOFTWARE, "")
        # An engine may have restarted with other software since the last load report, and what two
        # versions write does not fit together.
        if status == STATUS_OK and self._expected_software not in (None, self._software):
            self.other_software.set()

    async def async_on_data(self, data: bytes) -> None:
        if self.crossed or self.other_software.is_set() or self.ended:
            return
        data = self._buffer + data
        complete = data.rfind(EVENT_END) + len(EVENT_END)
        if complete < len(EVENT_END):
            self._buffer = data
            if len(data) > MAX_EVENT_BYTES:
                raise HTTPInputError("event without end")
            return
        self._buffer = data[complete:]
        events = data[:complete]
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
        return StreamChunk(events, tokens, self.last_index, self._software)


class HttpEngineClient:
    """Calls engines over a new connection for each call."""

    def __init__(self, responses: ResponseBudget | None = None) -> None:
        """Let `responses` bound what all calls hold together."""
        self._responses = responses or ResponseBudget()

    async def async_generate(
        self, upstream: Upstream, call: GenerateCall, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        """Run or resume one request."""
        if len(call.prior) > MAX_ANSWER_BYTES:
            return Err(UpstreamError("answer without end", UpstreamFailure.INCOMPLETE))
        reader = _StreamReader(call, sink)
        exchange = _create_exchange(upstream, call)
        on_data = reader.async_on_data if call.stream else None
        answering = async_exchange(exchange, reader.on_head, on_data, self._responses)
        outcome: Result[HttpResponse, ExchangeError] | None
        if call.software_version is None:
            outcome = await answering
        else:
            outcome = await _async_end_early(answering, reader.other_software)
        if reader.crossed:
            return Err(UpstreamError("answer of another request", UpstreamFailure.CROSSED))
        if outcome is None:
            message = f"{upstream.name} runs other software"
            return Err(UpstreamError(message, UpstreamFailure.OTHER_SOFTWARE))
        if isinstance(outcome, Err):
            return Err(convert_exchange_error(outcome.err_value))
        response = outcome.ok_value
        if response.status != STATUS_OK:
            return Err(convert_error_response(response))
        if not call.stream:
            return _parse_complete_answer(response)
        if not reader.ended:
            return Err(UpstreamError("no end marker", UpstreamFailure.INCOMPLETE))
        return Ok(GenerateEnd(b"", reader.tokens, reader.last_index))

    async def async_cancel(
        self, upstream: Upstream, request_id: str
    ) -> Result[None, UpstreamError]:
        """Stop a request; an unknown request is not an error."""
        outcome = await self._async_control(upstream, "POST", f"/requests/{request_id}/cancel")
        return outcome.map(lambda _: None)

    async def async_read_load(self, upstream: Upstream) -> Result[LoadReport, UpstreamError]:
        """Return the engine's last load report."""
        outcome = await self._async_control(upstream, "GET", "/load")
        return outcome.map(lambda response: _decode_load(orjson.loads(response.body)))

    async def async_read_cache_events(
        self, upstream: Upstream, after_sequence: int
    ) -> Result[tuple[CacheEvent, ...], UpstreamError]:
        """Return prefix-cache events after a sequence number."""
        outcome = await self._async_control(
            upstream, "GET", f"/cache_events?after={after_sequence}"
        )
        return outcome.map(
            lambda response: tuple(CacheEvent(**raw) for raw in orjson.loads(response.body))
        )

    async def async_send_order(
        self, upstream: Upstream, order: Order
    ) -> Result[None, UpstreamError]:
        """Send an order; returns `FENCED` if the engine has seen a newer fencing token."""
        body = orjson.dumps(dataclasses.asdict(order))
        limits = ControlLimits(timeout_ms=ORDER_TIMEOUT_MS)
        outcome = await self._async_control(upstream, "POST", "/orders", body, limits)
        if isinstance(outcome, Err) and outcome.err_value.status == STATUS_FENCED:
            return Err(UpstreamError("old fencing token", UpstreamFailure.FENCED, STATUS_FENCED))
        return outcome.map(lambda _: None)

    async def async_export_kv(
        self, upstream: Upstream, request_id: str
    ) -> Result[bytes, UpstreamError]:
        """Return the KV state of a running request."""
        # Several moves run at once, and states of hundreds of megabytes would use up the memory of a
        # small VM. An engine has to export a reference to its state instead.
        path = f"/requests/{request_id}/kv"
        limits = ControlLimits(max_bytes=MAX_KV_STATE_BYTES)
        outcome = await self._async_control(upstream, "GET", path, limits=limits)
        return outcome.map(lambda response: response.body)

    async def async_import_kv(
        self, upstream: Upstream, request_id: str, state: bytes
    ) -> Result[None, UpstreamError]:
        """Send the KV state of a request to an engine, to be resumed there."""
        outcome = await self._async_control(upstream, "PUT", f"/requests/{request_id}/kv", state)
        return outcome.map(lambda _: None)

    async def _async_control(
        self,
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
        outcome = await async_exchange(exchange, responses=self._responses)
        if isinstance(outcome, Err):
            return Err(convert_exchange_error(outcome.err_value))
        if outcome.ok_value.status != STATUS_OK:
            return Err(convert_error_response(outcome.ok_value))
        return outcome


async def _async_end_early(answering: Coroutine[Any, Any, T], ends: asyncio.Event) -> T | None:
    """Return the result of a coroutine, or None if it was cancelled because `ends` was set."""
    task, waiter = asyncio.ensure_future(answering), asyncio.ensure_future(ends.wait())
    try:
        await asyncio.wait({task, waiter}, return_when=asyncio.FIRST_COMPLETED)
        return None if ends.is_set() else task.result()
    finally:
        task.cancel()
        waiter.cancel()


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
        idle_timeout_ms=IDLE_TIMEOUT_MS if call.stream else _choose_non_stream_idle_ms(call),
        max_response_bytes=MAX_ANSWER_BYTES,
    )


def _choose_non_stream_idle_ms(call: GenerateCall) -> int:
    """Return the idle timeout of a non-streamed answer, which grows with the timeout of the call."""
    return max(NON_STREAM_IDLE_TIMEOUT_MS, call.timeout_ms // NON_STREAM_IDLE_DIVISOR)


def _parse_complete_answer(response: HttpResponse) -> Result[GenerateEnd, UpstreamError]:
    try:
        parsed: dict[str, Any] = orjson.loads(response.body)
        tokens = int(parsed["usage"]["completion_tokens"])
    except (ValueError, KeyError, TypeError):
        return Err(UpstreamError("answer is incomplete", UpstreamFailure.INCOMPLETE))
    return Ok(GenerateEnd(response.body, tokens, tokens - 1))


def _decode_load(raw: dict[str, Any]) -> LoadReport:
    lists = {name: tuple(raw.get(name, ())) for name in ("models", "adapters", "in_use")}
    # Engines of a later version may report more than this daemon knows.
    known = {name: value for name, value in raw.items() if name in _REPORT_FIELDS}
    return LoadReport(**{**known, **lists})
