"""One HTTP request on one new connection, with tornado's HTTP/1 connection classes.

`AsyncHTTPClient` cannot distinguish a connection that never opened from one that broke, and cannot be
cancelled while a response is pending. Both are needed to decide whether a request may be reported as
"not run", so the exchange uses tornado's `HTTP1Connection` directly.
"""

from __future__ import annotations

import asyncio
import socket
import sys
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from result import Err, Ok, Result
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from goldcreststair.const import MS_PER_SECOND
from goldcreststair.delivery import LONG_REQUEST_BYTES, RESET_WAIT_MS, find_send_failure
from goldcreststair.errors import GoldcreststairError
from goldcreststair.response_budget import ResponseBudget

DEFAULT_CONNECT_TIMEOUT_MS: Final = 1000
MAX_RESPONSE_BYTES: Final = 256 * 1024 * 1024
READ_BYTES: Final = 64 * 1024
FIRST_STATUS: Final = 100
LAST_STATUS: Final = 599
"""HTTP defines no class of statuses beyond these."""
FIRST_ERROR_STATUS: Final = 400
MAX_UNREAD_BYTES: Final = 1024 * 1024
"""Most bytes that wait in this process to be parsed; a head or a chunk size is far shorter."""


class ExchangeFailure(StrEnum):
    """Stage at which an exchange failed."""

    CONNECT = "connect"
    """The connection never opened: no byte of the request was sent."""
    BROKEN = "broken"
    """The connection closed before the response was complete."""
    TIMEOUT = "timeout"
    """The exchange timed out after the connection opened."""
    IDLE = "idle"
    """No byte arrived for the idle timeout."""
    REJECTED = "rejected"
    """The requester could use nothing of the rest of the response."""
    MALFORMED = "malformed"
    """The connection delivered no response to this request, only responses to others."""


@dataclass(frozen=True, slots=True)
class ExchangeError(GoldcreststairError):
    """An exchange without a complete response."""

    failure: ExchangeFailure = ExchangeFailure.BROKEN


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The head of a response, and its body unless `on_data` received it."""

    status: int
    headers: HTTPHeaders
    body: bytes
    ended_by_close: bool = False
    """Whether it had neither a length nor chunks, so that only the end of the connection ended it."""


OnHead = Callable[[int, HTTPHeaders], None]
OnData = Callable[[bytes], Awaitable[None] | None]


@dataclass(frozen=True, slots=True)
class Exchange:
    """A request to send, and its timeouts and limits."""

    address: str
    """HOST:PORT with an IP address."""
    method: str
    path: str
    timeout_ms: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    idle_timeout_ms: int = 0
    """Longest wait between two chunks of the response; 0 for no limit."""
    connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS
    max_response_bytes: int = MAX_RESPONSE_BYTES
    """A longer body ends the exchange."""
    key: str = ""
    """Identifies the request in its response. A connection that carried it is not used for it again, as a copy of
    its earlier response may still arrive there; persistent connections only."""
    delivers_late: bool = False
    """Whether a complete response is still delivered after the timeout; persistent connections only."""


class _ReadLimit:
    """Ends a response that is too long, or the largest of all, by closing its connection."""

    def __init__(self, stream: IOStream, max_bytes: int, responses: ResponseBudget) -> None:
        self.failure: ExchangeError | None = None
        self._stream = stream
        self._max_bytes = max_bytes
        self._responses = responses
        self._received = 0

    def __enter__(self) -> _ReadLimit:
        return self

    def __exit__(self, *_: object) -> None:
        self._responses.release(self)

    def count(self, size: int) -> None:
        """Count bytes of the body, whether they are held here or where `on_data` takes them."""
        if self.failure is not None:
            return
        self._received += size
        if self._received > self._max_bytes:
            self.end_response("response too long")
        else:
            self._responses.record(self, self._received)

    def end_response(self, reason: str) -> None:
        """End the response, of which nothing more can be used."""
        self.failure = ExchangeError(reason, ExchangeFailure.REJECTED)
        self._stream.close()


class _ResponseReader(HTTPMessageDelegate):
    def __init__(self, on_head: OnHead | None, on_data: OnData | None, limit: _ReadLimit) -> None:
        self.on_unframed: Callable[[], None] = lambda: None
        """Called with a head without a length or chunks."""
        self.status = 0
        self.headers = HTTPHeaders()
        self.chunks: list[bytes] = []
        self.complete = False
        self.progress = 0
        self.delivering = False
        """Whether `on_data` still processes a chunk, so that nothing more is read meanwhile."""
        self._on_head = on_head
        self._on_data = on_data
        self._limit = limit

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.progress += 1
        self.status = start_line.code
        self.headers = headers
        if "Content-Length" not in headers and "Transfer-Encoding" not in headers:
            self.on_unframed()
        if self._on_head is not None:
            self._on_head(self.status, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self.progress += 1
        self._limit.count(len(chunk))
        if self._on_data is None or self.status != 200:
            self.chunks.append(chunk)
            return None
        delivery = self._on_data(chunk)
        return None if delivery is None else self._async_deliver(delivery)

    def finish(self) -> None:
        self.complete = True

    def release(self) -> None:
        """Drop what was read, and who takes it: the connection's reference cycle may keep the reader for long."""
        self.chunks, self._on_head, self._on_data = [], None, None

    async def _async_deliver(self, delivery: Awaitable[None]) -> None:
        self.delivering = True
        try:
            await delivery
        finally:
            self.delivering = False
            self.progress += 1


class _DeliveryWatch:
    """Tells whether a request was delivered whose response ends with its connection.

    The stream closes its descriptor with the end of the response; a duplicate keeps the socket.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._socket: socket.socket | None = None

    def __enter__(self) -> _DeliveryWatch:
        return self

    def __exit__(self, *_: object) -> None:
        if self._socket is not None:
            self._socket.close()

    def begin(self) -> None:
        """Keep the socket beyond the end of the stream."""
        self._socket = self._stream.socket.dup()

    async def async_find_failure(
        self, written: asyncio.Future[None], size: int
    ) -> BaseException | None:
        """Return why the response is not known to be whole; `written` is the write of `size` bytes."""
        if self._socket is None:
            return None
        if not written.done() or written.exception() is not None:
            return ConnectionError("ended before the request was sent")
        failure = self._stream.error or find_send_failure(self._socket)
        if failure is None and size >= LONG_REQUEST_BYTES:
            await asyncio.sleep(RESET_WAIT_MS / MS_PER_SECOND)
            failure = find_send_failure(self._socket)
        return failure


async def async_exchange(
    exchange: Exchange,
    on_head: OnHead | None = None,
    on_data: OnData | None = None,
    responses: ResponseBudget | None = None,
) -> Result[HttpResponse, ExchangeError]:
    """Send one request and read its response.

    With `on_data` the body of a 200 response is passed to it in chunks. Cancelling the coroutine
    closes the connection at once. `responses` bounds what all responses hold that are not whole.
    """
    opened = await _async_connect(exchange)
    if isinstance(opened, Err):
        return opened
    stream = opened.ok_value
    limit = _ReadLimit(stream, exchange.max_response_bytes, responses or ResponseBudget())
    reader = _ResponseReader(on_head, on_data, limit)
    try:
        async with asyncio.timeout(exchange.timeout_ms / MS_PER_SECOND):
            with limit:
                outcome = await _async_send(stream, exchange, reader)
        return outcome if limit.failure is None else Err(limit.failure)
    except TimeoutError:
        return Err(ExchangeError("no complete response in time", ExchangeFailure.TIMEOUT))
    finally:
        stream.close()
        reader.release()


async def _async_connect(exchange: Exchange) -> Result[IOStream, ExchangeError]:
    host, _, port = exchange.address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = IOStream(sock, max_buffer_size=MAX_UNREAD_BYTES)
    try:
        async with asyncio.timeout(exchange.connect_timeout_ms / MS_PER_SECOND):
            await stream.connect((host.strip("[]"), int(port)))
    except (TimeoutError, StreamClosedError, OSError) as error:
        stream.close()
        return Err(ExchangeError(f"cannot connect: {error!r}", ExchangeFailure.CONNECT))
    except BaseException:
        stream.close()
        raise
    return Ok(stream)


async def _async_send(
    stream: IOStream, exchange: Exchange, reader: _ResponseReader
) -> Result[HttpResponse, ExchangeError]:
    # The reader's limit says why it ended a response; tornado would report a malformed one.
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True, max_body_size=sys.maxsize, chunk_size=READ_BYTES
    )
    connection = HTTP1Connection(stream, True, parameters)
    headers = HTTPHeaders(dict(exchange.headers))
    headers["Host"] = exchange.address
    headers["Connection"] = "close"
    headers["Content-Length"] = str(len(exchange.body))
    start_line = RequestStartLine(exchange.method, exchange.path, "HTTP/1.1")
    with _DeliveryWatch(stream) as watch:
        reader.on_unframed = watch.begin
        try:
            written = connection.write_headers(start_line, headers, exchange.body)
            connection.finish()
            reading = asyncio.ensure_future(connection.read_response(reader))
            idle = await _async_wait(reading, reader, exchange.idle_timeout_ms)
        except (StreamClosedError, HTTPInputError, OSError) as error:
            return Err(ExchangeError(f"response broken: {error!r}", ExchangeFailure.BROKEN))
        if idle:
            return Err(ExchangeError("no progress", ExchangeFailure.IDLE))
        if not reader.complete:
            return Err(ExchangeError("connection closed early", ExchangeFailure.BROKEN))
        failure = await watch.async_find_failure(written, len(exchange.body))
    if failure is not None:
        return Err(ExchangeError(f"response broken: {failure!r}", ExchangeFailure.BROKEN))
    if not FIRST_STATUS <= reader.status <= LAST_STATUS:
        return Err(ExchangeError(f"{reader.status} is no status", ExchangeFailure.BROKEN))
    return Ok(HttpResponse(reader.status, reader.headers, b"".join(reader.chunks)))


async def _async_wait(
    reading: asyncio.Future[bool], reader: _ResponseReader, idle_timeout_ms: int
) -> bool:
    """Wait for the response; returns True if it made no progress for the idle timeout."""
    try:
        if not idle_timeout_ms:
            await reading
            return False
        while not reading.done():
            progress_before = reader.progress
            await asyncio.wait({reading}, timeout=idle_timeout_ms / MS_PER_SECOND)
            # Silence while a chunk is being processed is caused here: the server's bytes are not read.
            if not reading.done() and reader.progress == progress_before and not reader.delivering:
                return True
        reading.result()
        return False
    finally:
        if not reading.done():
            reading.cancel()
