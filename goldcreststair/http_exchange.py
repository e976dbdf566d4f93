"""One HTTP request on one fresh connection, over tornado's HTTP/1 client parts.

`AsyncHTTPClient` cannot tell a connection that never opened from one that broke, nor be
cancelled while an answer is silent; both decide here whether "not run" is true, so the exchange
is done on tornado's own `HTTP1Connection`.
"""

from __future__ import annotations

import asyncio
import socket
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
from goldcreststair.errors import GoldcreststairError

DEFAULT_CONNECT_TIMEOUT_MS: Final = 1000
MAX_RESPONSE_BYTES: Final = 256 * 1024 * 1024
READ_BYTES: Final = 64 * 1024


class ExchangeFailure(StrEnum):
    """How far an exchange came before it failed."""

    CONNECT = "connect"
    """The connection never opened: no byte of the request left."""
    BROKEN = "broken"
    """The connection closed before the answer was whole."""
    TIMEOUT = "timeout"
    """The whole time ran out after the connection opened."""
    IDLE = "idle"
    """No byte came for the idle time."""
    MALFORMED = "malformed"
    """The answer was not HTTP."""


@dataclass(frozen=True, slots=True)
class ExchangeError(GoldcreststairError):
    """An exchange without a whole answer."""

    failure: ExchangeFailure = ExchangeFailure.BROKEN


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """The head of an answer, and its body unless it was streamed away."""

    status: int
    headers: HTTPHeaders
    body: bytes


OnHead = Callable[[int, HTTPHeaders], None]
OnData = Callable[[bytes], Awaitable[None] | None]


@dataclass(frozen=True, slots=True)
class Exchange:
    """What to send and how long to wait."""

    address: str
    """HOST:PORT with an IP number."""
    method: str
    path: str
    timeout_ms: int
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""
    idle_timeout_ms: int = 0
    """Longest wait between two pieces of the answer; 0 for no such limit."""
    connect_timeout_ms: int = DEFAULT_CONNECT_TIMEOUT_MS
    max_response_bytes: int = MAX_RESPONSE_BYTES
    """A longer body ends the exchange as broken."""


class _AnswerReader(HTTPMessageDelegate):
    def __init__(self, on_head: OnHead | None, on_data: OnData | None) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.pieces: list[bytes] = []
        self.whole = False
        self.progress = 0
        self.held = False
        """Whether a piece waits for who takes it, so that nothing more is read meanwhile."""
        self._on_head = on_head
        self._on_data = on_data

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.progress += 1
        self.status = start_line.code
        self.headers = headers
        if self._on_head is not None:
            self._on_head(self.status, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self.progress += 1
        if self._on_data is None or self.status != 200:
            self.pieces.append(chunk)
            return None
        taking = self._on_data(chunk)
        return None if taking is None else self._async_hold(taking)

    def finish(self) -> None:
        self.whole = True

    async def _async_hold(self, taking: Awaitable[None]) -> None:
        self.held = True
        try:
            await taking
        finally:
            self.held = False
            self.progress += 1


async def async_exchange(
    exchange: Exchange, on_head: OnHead | None = None, on_data: OnData | None = None
) -> Result[HttpResponse, ExchangeError]:
    """Send one request and read its answer.

    With `on_data` the body of a 200 answer goes there piece by piece. Cancelling the coroutine
    closes the connection at once.
    """
    opened = await _async_connect(exchange)
    if isinstance(opened, Err):
        return opened
    stream = opened.ok_value
    reader = _AnswerReader(on_head, on_data)
    try:
        async with asyncio.timeout(exchange.timeout_ms / MS_PER_SECOND):
            return await _async_talk(stream, exchange, reader)
    except TimeoutError:
        return Err(ExchangeError("no whole answer in time", ExchangeFailure.TIMEOUT))
    finally:
        stream.close()


async def _async_connect(exchange: Exchange) -> Result[IOStream, ExchangeError]:
    host, _, port = exchange.address.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    raw = socket.socket(family, socket.SOCK_STREAM)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    stream = IOStream(raw, max_buffer_size=MAX_RESPONSE_BYTES)
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


async def _async_talk(
    stream: IOStream, exchange: Exchange, reader: _AnswerReader
) -> Result[HttpResponse, ExchangeError]:
    parameters = HTTP1ConnectionParameters(
        no_keep_alive=True, max_body_size=exchange.max_response_bytes, chunk_size=READ_BYTES
    )
    connection = HTTP1Connection(stream, True, parameters)
    headers = HTTPHeaders(dict(exchange.headers))
    headers["Host"] = exchange.address
    headers["Connection"] = "close"
    headers["Content-Length"] = str(len(exchange.body))
    start_line = RequestStartLine(exchange.method, exchange.path, "HTTP/1.1")
    try:
        connection.write_headers(start_line, headers, exchange.body)
        connection.finish()
        reading = asyncio.ensure_future(connection.read_response(reader))
        idle = await _async_wait(reading, reader, exchange.idle_timeout_ms)
    except (StreamClosedError, HTTPInputError, OSError) as error:
        return Err(ExchangeError(f"answer broken: {error!r}", ExchangeFailure.BROKEN))
    if idle:
        return Err(ExchangeError("no progress", ExchangeFailure.IDLE))
    if not reader.whole:
        return Err(ExchangeError("connection closed early", ExchangeFailure.BROKEN))
    return Ok(HttpResponse(reader.status, reader.headers, b"".join(reader.pieces)))


async def _async_wait(
    reading: asyncio.Future[bool], reader: _AnswerReader, idle_timeout_ms: int
) -> bool:
    """Wait for the answer; returns True if it made no progress for the idle time."""
    try:
        if not idle_timeout_ms:
            await reading
            return False
        while not reading.done():
            seen = reader.progress
            await asyncio.wait({reading}, timeout=idle_timeout_ms / MS_PER_SECOND)
            # Silence while a piece is held is ours: the server's next bytes wait unread.
            if not reading.done() and reader.progress == seen and not reader.held:
                return True
        reading.result()
        return False
    finally:
        if not reading.done():
            reading.cancel()
