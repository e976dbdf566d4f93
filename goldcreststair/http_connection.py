"""A persistent connection to an HTTP server, which sends one request after another.

It is built for streams of many small chunks: a chunk costs one wake-up of the event loop and one call
of the parser, while tornado's client needs several waits and two changes of the selector.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final, cast

import httptools
from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from goldcreststair.const import MS_PER_SECOND
from goldcreststair.delivery import LONG_REQUEST_BYTES, RESET_WAIT_MS, find_send_failure
from goldcreststair.http_exchange import (
    FIRST_ERROR_STATUS,
    FIRST_STATUS,
    LAST_STATUS,
    READ_BYTES,
    Exchange,
    ExchangeError,
    ExchangeFailure,
    HttpResponse,
    OnData,
    OnHead,
)
from goldcreststair.send_timeout import SendTimeout

STATUS_OK: Final = 200
MAX_FOREIGN_RESPONSES: Final = 3
"""Number of responses to other requests that are skipped before a connection is closed."""
REMEMBERED_KEYS: Final = 16
MAX_INFORMATIONAL_RESPONSES: Final = 8
MAX_FAILURE_BYTES: Final = 1024 * 1024
"""Longest body of a response that reports a failure."""
MIN_HELD_BYTES: Final = 16 * 1024
"""Fewest bytes of an incomplete event that count towards the pool's limit."""
MAX_FOREIGN_BYTES: Final = 1024 * 1024
"""Most bytes in the bodies of such responses."""
MAX_OVERHEAD_BYTES: Final = 64 * 1024
"""Longest head, chunk size or trailer."""
MAX_OVERHEAD_MS: Final = 1_000
"""Longest time in which bytes arrive that bring neither a head nor a part of the body."""
MAX_OVERHEAD_GAP_MS: Final = 100
"""Most of the time between two such reads that counts: a server that pauses within its framing is silent, and only
the timeout of the exchange ends a silent response."""
_BUFFER: Final = bytearray(READ_BYTES)
"""Shared by all connections: received bytes are parsed before the next connection reads."""


@dataclass(frozen=True, slots=True)
class ResponseHooks:
    """Callbacks for a response while it arrives."""

    on_head: OnHead | None = None
    on_data: OnData | None = None
    """Receives the body of a 200 response in chunks."""
    matches_request: Callable[[HTTPHeaders], bool] | None = None
    """Returns by the headers whether the response belongs to this request."""
    on_complete: Callable[[], None] | None = None
    """Called when the whole response has arrived, before its last bytes are delivered."""
    is_rejected: Callable[[], bool] | None = None
    """Returns whether `on_data` can use nothing that follows, so that the response need not be read to its end."""
    read_held: Callable[[], int] | None = None
    """Returns the number of bytes that `on_data` holds, as more must follow."""
    on_buffered: Callable[[int], None] | None = None
    """Called with the number of body bytes that the response holds now."""


class _ResponseReader:
    """Reads the response to one request; the parser calls its `on_...` methods."""

    def __init__(self, exchange: Exchange, hooks: ResponseHooks) -> None:
        self.done: asyncio.Future[Result[HttpResponse, ExchangeError]]
        self.done = asyncio.get_running_loop().create_future()
        self.complete = False
        """Whether the response has ended as its head announced."""
        self.keeps_alive = False
        self.has_extra_response = False
        """Whether another response has begun after the complete one."""
        self.parser = httptools.HttpResponseParser(self)
        self._hooks = hooks
        self._max_bytes = exchange.max_response_bytes
        self._status = 0
        self._headers = HTTPHeaders()
        self._has_head = False
        self._foreign = False
        self._foreign_count = 0
        self._foreign_bytes = 0
        self._body = bytearray()
        """The body so far, unless `on_data` receives it."""
        self._pending: list[bytes] = []
        """Chunks of the body that `on_data` has not received yet."""
        self._held = 0
        """Bytes that `on_data` held after the last chunk."""
        self._ended_by_close = False
        self._informational_count = 0
        self._overhead = 0
        """Bytes since the last part of the response, as the connection has read them."""
        self._overhead_ms = 0.0
        """Time in which they have arrived, without longer pauses."""
        self._overhead_at: float | None = None
        """When they were last read, s."""

    def on_message_begin(self) -> None:
        """Begin a response."""
        if self.complete:
            self.has_extra_response = True
            return
        self._headers, self._has_head, self._foreign = HTTPHeaders(), False, False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header."""
        if not self.complete:
            self._headers.add(name.decode("latin1"), value.decode("latin1").strip())

    def on_headers_complete(self) -> None:
        """Process the head, unless it is informational and the final one follows."""
        status = self.parser.get_status_code()
        if self.complete:
            return
        if not FIRST_STATUS <= status <= LAST_STATUS:
            self.fail(f"{status} is no status", ExchangeFailure.BROKEN)
            return
        if status < STATUS_OK:
            self._informational_count += 1
            if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
                self.fail("only informational responses", ExchangeFailure.BROKEN)
            self._overhead_ms, self._overhead_at = 0.0, None
            return
        self._status, self._has_head = status, True
        matches_request = self._hooks.matches_request
        self._foreign = matches_request is not None and not matches_request(self._headers)
        if self._foreign:
            return
        self._end_overhead()
        if self._hooks.on_head is not None:
            self._hooks.on_head(status, self._headers)
        self.check_rejected()

    def on_body(self, chunk: bytes) -> None:
        """Add a chunk of the body."""
        if self.complete:
            return
        if self._foreign:
            self._overhead -= len(chunk)
            self._foreign_bytes += len(chunk)
            if self._foreign_bytes > MAX_FOREIGN_BYTES:
                self.fail("response to another request too long", ExchangeFailure.MALFORMED)
            return
        self._end_overhead()
        if self.done.done():
            return
        if self._hooks.on_data is not None and self._status == STATUS_OK:
            self._pending.append(chunk)
            return
        self._body += chunk
        limit = self._max_bytes
        if self._status >= FIRST_ERROR_STATUS:
            limit = min(limit, MAX_FAILURE_BYTES)
        if len(self._body) > limit:
            self.fail("response too long", ExchangeFailure.BROKEN)
        elif self._hooks.on_buffered is not None:
            self._hooks.on_buffered(len(self._body))

    def on_message_complete(self) -> None:
        """End a response."""
        if self.complete or not self._has_head:
            return
        if not self._foreign:
            self.complete, self.keeps_alive = True, self.parser.should_keep_alive()
            if self._hooks.on_complete is not None:
                self._hooks.on_complete()
            return
        # An upstream that sends one response twice puts the copy in front of the next response, which
        # follows on the same connection. Without this check the next request would get the copy.
        self._foreign_count += 1
        if self._foreign_count > MAX_FOREIGN_RESPONSES:
            self.fail("only responses to other requests", ExchangeFailure.MALFORMED)

    def count_received(self, count: int) -> None:
        """Count bytes that are about to be parsed."""
        self._overhead += count

    def check_overhead(self, now: float) -> None:
        """Fail if bytes go on arriving that bring nothing of the response; `now` in s."""
        if self.complete or not (self._overhead or self._foreign):
            return
        if self._overhead_at is not None:
            gap_ms = (now - self._overhead_at) * MS_PER_SECOND
            self._overhead_ms += min(gap_ms, MAX_OVERHEAD_GAP_MS)
        self._overhead_at = now
        if self._overhead_ms > MAX_OVERHEAD_MS or self._overhead > MAX_OVERHEAD_BYTES:
            self.fail("bytes without end that are no response", ExchangeFailure.BROKEN)

    def _end_overhead(self) -> None:
        self._overhead, self._overhead_ms, self._overhead_at = 0, 0.0, None

    def deliver(self) -> Awaitable[None] | None:
        """Pass what has arrived to `on_data` in one chunk; returns what to wait for."""
        if not self._pending or self._hooks.on_data is None:
            return None
        data, self._pending = b"".join(self._pending), []
        delivery = self._hooks.on_data(data)
        self._report_held()
        return delivery

    def _report_held(self) -> None:
        if self._hooks.read_held is None or self._hooks.on_buffered is None:
            return
        held = self._hooks.read_held()
        # Almost every chunk ends with an event, and little is held of it.
        if held >= MIN_HELD_BYTES or self._held >= MIN_HELD_BYTES:
            self._hooks.on_buffered(held)
        self._held = held

    def check_rejected(self) -> None:
        """Fail if the requester can use nothing that follows."""
        if self._hooks.is_rejected is not None and self._hooks.is_rejected():
            self.fail("nothing that follows can be used", ExchangeFailure.REJECTED)

    def finish(self) -> None:
        """Resolve `done` with the complete response."""
        if not self.done.done():
            body = bytes(self._body)
            response = HttpResponse(self._status, self._headers, body, self._ended_by_close)
            self.done.set_result(Ok(response))

    @property
    def ends_with_connection(self) -> bool:
        """Whether the response has neither a length nor chunks."""
        framing = ("Content-Length", "Transfer-Encoding")
        has_head = self._has_head and not self._foreign
        return has_head and not any(name in self._headers for name in framing)

    def end(self, error: BaseException | None) -> None:
        """Handle the end of the connection; `error` says why a response that ends with it is not whole."""
        if self.ends_with_connection and error is None:
            self.complete = self._ended_by_close = True
            self.finish()
        else:
            self.fail(f"connection closed early: {error!r}", ExchangeFailure.BROKEN)

    def fail(self, message: str, failure: ExchangeFailure) -> None:
        """Resolve `done` with an error."""
        self._body.clear()
        if not self.done.done():
            self.done.set_result(Err(ExchangeError(message, failure)))

    def raise_to_requester(self, error: BaseException) -> None:
        """Raise an error of the requester's own hooks to the requester."""
        if not self.done.done():
            self.done.set_exception(error)


class PersistentConnection(asyncio.BufferedProtocol):
    """A connection that serves one request at a time."""

    def __init__(self, sock: socket.socket) -> None:
        """Initialise with a socket that is about to be connected."""
        self._socket = sock
        self._transport: asyncio.Transport | None = None
        self._reader: _ResponseReader | None = None
        self._keys: deque[str] = deque(maxlen=REMEMBERED_KEYS)
        """Keys of the last requests."""
        self._unusable = False
        """Whether the connection was closed or received bytes that belong to no request."""
        self._delivery: asyncio.Task[None] | None = None
        self._request_bytes = 0
        """Length of the request that was sent last."""
        self._confirmation: asyncio.TimerHandle | None = None
        """Confirms the end of a response once no reset has followed it."""
        self._send_timeout = SendTimeout(sock)

    @property
    def transport(self) -> asyncio.Transport:
        """The transport; raises `ConnectionError` if not connected."""
        if self._transport is None:
            raise ConnectionError("not connected")
        return self._transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened connection."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, _: int) -> bytearray:
        """Return the buffer for the next bytes."""
        return _BUFFER

    def buffer_updated(self, count: int) -> None:
        """Parse the received bytes."""
        reader = self._reader
        # A requester that was cancelled or got an error may have sent its request elsewhere by now; this
        # connection is closed only in the next iteration of the event loop.
        if reader is None or reader.complete or reader.done.done():
            self._unusable = True
            # Bytes that belong to no request may go on without end.
            if reader is None or not reader.complete:
                self.transport.abort()
            return
        reader.count_received(count)
        try:
            reader.parser.feed_data(memoryview(_BUFFER)[:count])
        except httptools.HttpParserCallbackError as error:
            reader.raise_to_requester(error.__context__ or error)
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._unusable = True
            if not reader.complete:
                reader.fail(f"response broken: {error!r}", ExchangeFailure.BROKEN)
        reader.check_overhead(asyncio.get_running_loop().time())
        self._deliver(reader)

    def _deliver(self, reader: _ResponseReader) -> None:
        try:
            delivery = reader.deliver()
        except Exception as error:
            reader.raise_to_requester(error)
            return
        reader.check_rejected()
        if delivery is not None:
            # Backpressure: reading pauses until the caller has received these bytes.
            self.transport.pause_reading()
            self._delivery = asyncio.ensure_future(self._async_deliver(reader, delivery))
        elif reader.complete:
            reader.finish()

    async def _async_deliver(self, reader: _ResponseReader, delivery: Awaitable[None]) -> None:
        try:
            await delivery
        except (StreamClosedError, OSError) as error:
            reader.fail(f"response not delivered: {error!r}", ExchangeFailure.BROKEN)
            return
        if reader.complete:
            reader.finish()
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Handle the end of the server's side of the connection; returns whether it stays open for a while."""
        reader = self._reader
        if reader is None or reader.complete or not reader.ends_with_connection:
            self._end(None)
            return False
        failure = self._find_send_failure()
        if failure is not None or self._request_bytes < LONG_REQUEST_BYTES:
            self._end(failure)
            return False
        self._unusable = True
        loop = asyncio.get_running_loop()
        self._confirmation = loop.call_later(RESET_WAIT_MS / MS_PER_SECOND, self._confirm_end)
        return True

    def _confirm_end(self) -> None:
        self._end(self._find_send_failure())

    def _find_send_failure(self) -> OSError | None:
        if self.transport.get_write_buffer_size():
            return ConnectionError("ended before the request was sent")
        return find_send_failure(self._socket)

    def connection_lost(self, error: Exception | None) -> None:
        """Handle the end of the connection."""
        self._send_timeout.close()
        self._cancel_confirmation()
        self._end(error)

    def _cancel_confirmation(self) -> None:
        if self._confirmation is not None:
            self._confirmation.cancel()
            self._confirmation = None

    def _end(self, error: BaseException | None) -> None:
        self._unusable = True
        if self._reader is not None and not self._reader.complete:
            self._reader.end(error)

    def is_reusable(self) -> bool:
        """Return whether the connection is open and no byte and no end of file is pending."""
        if self._unusable or self.transport.is_closing():
            return False
        try:
            self._socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def has_carried(self, key: str) -> bool:
        """Return whether one of the last requests had this key."""
        return bool(key) and key in self._keys

    def end_response(self, reason: str) -> None:
        """End the response that arrives now as broken."""
        if self._reader is not None:
            self._reader.fail(reason, ExchangeFailure.BROKEN)

    def close(self) -> None:
        """Close at once; unsent bytes are dropped."""
        self._unusable = True
        self._send_timeout.close()
        self._cancel_confirmation()
        if self._delivery is not None:
            self._delivery.cancel()
        if self._transport is not None:
            self._transport.abort()
        else:
            self._socket.close()

    async def async_send(
        self, exchange: Exchange, hooks: ResponseHooks
    ) -> tuple[Result[HttpResponse, ExchangeError], bool]:
        """Send a request; returns its response and whether the connection may be reused."""
        self._keys.append(exchange.key)
        reader = self._reader = _ResponseReader(exchange, hooks)
        try:
            request = _encode(exchange)
            self._request_bytes = len(request)
            self.transport.write(request)
            self._send_timeout.begin(len(request))
            outcome = await reader.done
        finally:
            self._reader = None
        reusable = reader.complete and reader.keeps_alive
        reusable = reusable and not (reader.has_extra_response or self._unusable)
        # An upstream may respond before it has read a long body, and still expects the rest of it.
        return outcome, reusable and self._is_delivered()

    def _is_delivered(self) -> bool:
        return not self.transport.get_write_buffer_size() and self._send_timeout.is_delivered()


def _encode(exchange: Exchange) -> bytes:
    headers = {"Host": exchange.address} | dict(exchange.headers)
    headers["Content-Length"] = str(len(exchange.body))
    lines = [f"{exchange.method} {exchange.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if any("\n" in line or "\r" in line for line in lines):
        raise ValueError("line break in a header")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + exchange.body
