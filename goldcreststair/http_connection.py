"""One kept connection to an HTTP server: sends requests one after the other and reads their answers.

Load it answers: streams of many small pieces. A piece costs one wake-up of the loop and one call of the
parser, where tornado's client needs several waits and two changes of the selector.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final, cast

import httptools
from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from goldcreststair.http_exchange import (
    READ_BYTES,
    Exchange,
    ExchangeError,
    ExchangeFailure,
    HttpResponse,
    OnData,
    OnHead,
)

STATUS_OK: Final = 200
MAX_FOREIGN_ANSWERS: Final = 3
"""Answers to other requests that are read past before a connection is given up."""
_BUFFER: Final = bytearray(READ_BYTES)
"""Shared by all connections: what arrives is parsed before the next one reads."""


@dataclass(frozen=True, slots=True)
class ResponseHooks:
    """What to do with an answer while it arrives."""

    on_head: OnHead | None = None
    on_data: OnData | None = None
    """Takes the body of a 200 answer piece by piece."""
    is_own: Callable[[HTTPHeaders], bool] | None = None
    """Tells by the head whether the answer belongs to this request."""


class _Reading:
    """Reads the answer to one request; called back by the parser."""

    def __init__(self, exchange: Exchange, hooks: ResponseHooks) -> None:
        self.done: asyncio.Future[Result[HttpResponse, ExchangeError]]
        self.done = asyncio.get_running_loop().create_future()
        self.whole = False
        """Whether the answer has ended as its head said."""
        self.keeps_alive = False
        self.has_extra = False
        """Whether another answer has begun after the whole one."""
        self.parser = httptools.HttpResponseParser(self)
        self._hooks = hooks
        self._max_bytes = exchange.max_response_bytes
        self._status = 0
        self._headers = HTTPHeaders()
        self._has_head = False
        self._foreign = False
        self._foreign_answers = 0
        self._pieces: list[bytes] = []
        self._unpassed: list[bytes] = []
        """Pieces of the body that the caller has not been given yet."""
        self._bytes = 0

    def on_message_begin(self) -> None:
        """Begin an answer."""
        if self.whole:
            self.has_extra = True
            return
        self._headers, self._has_head, self._foreign = HTTPHeaders(), False, False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if not self.whole:
            self._headers.add(name.decode("latin1"), value.decode("latin1").strip())

    def on_headers_complete(self) -> None:
        """Take the head, unless a final one is to follow."""
        status = self.parser.get_status_code()
        if self.whole or status < STATUS_OK:
            return
        self._status, self._has_head = status, True
        is_own = self._hooks.is_own
        self._foreign = is_own is not None and not is_own(self._headers)
        if not self._foreign and self._hooks.on_head is not None:
            self._hooks.on_head(status, self._headers)

    def on_body(self, piece: bytes) -> None:
        """Take a piece of the body."""
        if self._foreign or self.whole:
            return
        self._bytes += len(piece)
        if self._bytes > self._max_bytes:
            self.fail("answer too long", ExchangeFailure.BROKEN)
        streamed = self._hooks.on_data is not None and self._status == STATUS_OK
        (self._unpassed if streamed else self._pieces).append(piece)

    def on_message_complete(self) -> None:
        """End an answer."""
        if self.whole or not self._has_head:
            return
        if not self._foreign:
            self.whole, self.keeps_alive = True, self.parser.should_keep_alive()
            return
        # Shows as the answer of another request where ours is due: an upstream sent one answer
        # twice. Ours comes after it, on the same connection.
        self._foreign_answers += 1
        if self._foreign_answers > MAX_FOREIGN_ANSWERS:
            self.fail("only answers of other requests", ExchangeFailure.MALFORMED)

    def pass_on(self) -> Awaitable[None] | None:
        """Give what has arrived to the caller, in one piece; returns what to wait for."""
        if not self._unpassed or self._hooks.on_data is None:
            return None
        data, self._unpassed = b"".join(self._unpassed), []
        return self._hooks.on_data(data)

    def finish(self) -> None:
        """Settle a whole answer."""
        if not self.done.done():
            answer = HttpResponse(self._status, self._headers, b"".join(self._pieces))
            self.done.set_result(Ok(answer))

    def end(self, error: BaseException | None) -> None:
        """Take the end of the connection; an answer without a length ends with it, unless by a reset."""
        lengthless = not ("Content-Length" in self._headers or "Transfer-Encoding" in self._headers)
        if self._has_head and not self._foreign and lengthless and error is None:
            self.whole = True
            self.finish()
        else:
            self.fail(f"connection closed early: {error!r}", ExchangeFailure.BROKEN)

    def fail(self, message: str, failure: ExchangeFailure) -> None:
        """Settle an answer that will not be whole."""
        if not self.done.done():
            self.done.set_result(Err(ExchangeError(message, failure)))

    def raise_to_asker(self, error: BaseException) -> None:
        """Let whoever asked have an error of its own hooks."""
        if not self.done.done():
            self.done.set_exception(error)


class PersistentConnection(asyncio.BufferedProtocol):
    """A connection that serves one request at a time."""

    def __init__(self, raw: socket.socket) -> None:
        """Take a socket that is about to be connected."""
        self._raw = raw
        self._transport: asyncio.Transport | None = None
        self._reading: _Reading | None = None
        self._spoiled = False
        """Whether bytes came that belong to no request."""
        self._passing: asyncio.Task[None] | None = None

    @property
    def transport(self) -> asyncio.Transport:
        """Its transport; raises `ConnectionError` if it has none."""
        if self._transport is None:
            raise ConnectionError("not connected")
        return self._transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the open connection."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, _: int) -> bytearray:
        """Return where the next bytes go."""
        return _BUFFER

    def buffer_updated(self, count: int) -> None:
        """Take what has arrived."""
        reading = self._reading
        # An asker that was cancelled, or has its error, may have asked elsewhere by now; the connection
        # is closed only in the next turn of the loop.
        if reading is None or reading.whole or reading.done.done():
            self._spoiled = True
            return
        try:
            reading.parser.feed_data(memoryview(_BUFFER)[:count])
        except httptools.HttpParserCallbackError as error:
            reading.raise_to_asker(error.__context__ or error)
            return
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._spoiled = True
            if not reading.whole:
                reading.fail(f"answer broken: {error!r}", ExchangeFailure.BROKEN)
        self._pass_on(reading)

    def _pass_on(self, reading: _Reading) -> None:
        try:
            taken = reading.pass_on()
        except Exception as error:
            reading.raise_to_asker(error)
            return
        if taken is not None:
            # What a slow caller does not take is not read either.
            self.transport.pause_reading()
            self._passing = asyncio.ensure_future(self._async_wait(reading, taken))
        elif reading.whole:
            reading.finish()

    async def _async_wait(self, reading: _Reading, taken: Awaitable[None]) -> None:
        try:
            await taken
        except (StreamClosedError, OSError) as error:
            reading.fail(f"answer not taken: {error!r}", ExchangeFailure.BROKEN)
            return
        if reading.whole:
            reading.finish()
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Take the server's end of the connection."""
        self._end(None)
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Take the end of the connection."""
        self._end(error)

    def _end(self, error: BaseException | None) -> None:
        self._spoiled = True
        if self._reading is not None and not self._reading.whole:
            self._reading.end(error)

    def is_quiet(self) -> bool:
        """Return whether the connection is open and nothing waits to be read, not even its end."""
        if self._spoiled or self.transport.is_closing():
            return False
        try:
            self._raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Close at once; what is not sent is dropped."""
        self._spoiled = True
        if self._passing is not None:
            self._passing.cancel()
        if self._transport is not None:
            self._transport.abort()
        else:
            self._raw.close()

    async def async_ask(
        self, exchange: Exchange, hooks: ResponseHooks
    ) -> tuple[Result[HttpResponse, ExchangeError], bool]:
        """Send a request; returns its answer, and whether the connection may be used again."""
        reading = self._reading = _Reading(exchange, hooks)
        try:
            self.transport.write(_encode(exchange))
            outcome = await reading.done
        finally:
            self._reading = None
        kept = reading.whole and reading.keeps_alive
        kept = kept and not (reading.has_extra or self._spoiled)
        # An upstream may answer before it has read a long body, and goes on to expect its rest.
        return outcome, kept and not self.transport.get_write_buffer_size()


def _encode(exchange: Exchange) -> bytes:
    headers = {"Host": exchange.address} | dict(exchange.headers)
    headers["Content-Length"] = str(len(exchange.body))
    lines = [f"{exchange.method} {exchange.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if any("\n" in line or "\r" in line for line in lines):
        raise ValueError("line break in a header")
    return "\r\n".join([*lines, "", ""]).encode("latin1") + exchange.body
