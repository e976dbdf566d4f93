"""HTTP requests over connections that are kept open between requests, a few to each address."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, Final

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

from goldcreststair.clock import Clock, Millis
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.helpers.numbers import read_whole
from goldcreststair.http_exchange import (
    MAX_ANSWER_BYTES,
    READ_BYTES,
    Answer,
    Exchange,
    ExchangeError,
    ExchangeFailure,
    OnData,
    OnHead,
)

USER_TIMEOUT_MS: Final = 2000
"""Unacknowledged bytes end a connection after so long: a path that swallows them shows no reset."""
KEEP_ALIVE_PROBE_S: Final = 1
KEEP_ALIVE_PROBES: Final = 3
IDLE_MARGIN_MS: Final = 1500
"""A kept connection is given up so long before its server closes it, so that no request crosses
the close: it would be lost, and one that must not be repeated with it."""
DEFAULT_IDLE_MS: Final = 8000
"""Longest idle time on a connection whose server names none."""
MAX_FOREIGN_ANSWERS: Final = 3
"""Answers to other requests that are read past before a connection is given up."""


@dataclass(frozen=True, slots=True)
class AnswerHooks:
    """What to do with an answer while it arrives."""

    on_head: OnHead | None = None
    on_data: OnData | None = None
    """Takes the body of a 200 answer piece by piece."""
    is_own: Callable[[HTTPHeaders], bool] | None = None
    """Tells by the head whether the answer belongs to this request."""


class PooledStream(IOStream):
    """A stream that can tell whether anything came since its last answer."""

    def is_quiet(self) -> bool:
        """Return whether the connection is open and nothing waits to be read, not even its end."""
        if self.closed() or self._read_buffer_size > 0:
            return False
        try:
            self.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


@dataclass(slots=True)
class _Kept:
    stream: PooledStream
    idle_until: Millis


@dataclass(slots=True)
class _Site:
    """The connections to one address."""

    idle: list[_Kept] = field(default_factory=list)
    open: int = 0


@dataclass(frozen=True, slots=True)
class PoolCounts:
    """What a pool has done."""

    opened: int
    reused: int


class ConnectionPool:
    """Keeps connections for reuse; a connection serves one request at a time."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self._clock = clock
        self._sites: dict[str, _Site] = {}
        self._opened = 0
        self._reused = 0

    def count(self) -> PoolCounts:
        """Return how many connections were opened and how often one was used again."""
        return PoolCounts(self._opened, self._reused)

    def count_open(self, address: str) -> int:
        """Return the open connections to an address, idle and in use."""
        self._drop_spent(address)
        site = self._sites.get(address)
        return site.open if site else 0

    def has_idle(self, address: str) -> bool:
        """Return whether the next request to an address needs no new connection."""
        self._drop_spent(address)
        site = self._sites.get(address)
        return site is not None and bool(site.idle)

    def close(self) -> None:
        """Close all idle connections."""
        for address in tuple(self._sites):
            self.forget(address)

    def forget(self, address: str) -> None:
        """Close the idle connections to an address, as its server is gone or suspect."""
        site = self._sites.get(address)
        if site is None:
            return
        while site.idle:
            self._close(address, site.idle.pop().stream)

    async def async_warm(self, address: str, connect_timeout_ms: int) -> bool:
        """Open one more connection for later use; returns whether it opened."""
        opened = await self._async_open(Exchange(address, "", "", 0), connect_timeout_ms)
        if isinstance(opened, Err):
            return False
        self._keep(address, opened.ok_value, DEFAULT_IDLE_MS)
        return True

    async def async_exchange(
        self, exchange: Exchange, hooks: AnswerHooks
    ) -> Result[Answer, ExchangeError]:
        """Send one request and read its answer; cancelling closes the connection at once."""
        stream = self._take_idle(exchange.address)
        if stream is None:
            opened = await self._async_open(exchange, exchange.connect_timeout_ms)
            if isinstance(opened, Err):
                return opened
            stream = opened.ok_value
        else:
            self._reused += 1
        talk = _Talk(stream, exchange, hooks)
        reusable = False
        try:
            async with asyncio.timeout(exchange.timeout_ms / MS_PER_SECOND):
                outcome = await talk.async_run()
            reusable = isinstance(outcome, Ok) and talk.reusable
            return outcome
        except TimeoutError:
            return Err(ExchangeError("no whole answer in time", ExchangeFailure.TIMEOUT))
        finally:
            if reusable:
                self._keep(exchange.address, stream, talk.idle_ms)
            else:
                # Aborted or timed out, its answer may still come and would be taken for the
                # answer of the next request.
                self._close(exchange.address, stream)

    def _take_idle(self, address: str) -> PooledStream | None:
        site = self._sites.get(address)
        while site is not None and site.idle:
            kept = site.idle.pop()
            if self._is_usable(kept):
                return kept.stream
            self._close(address, kept.stream)
        return None

    def _is_usable(self, kept: _Kept) -> bool:
        # Bytes after a complete answer belong to no request, and an end means a closed server.
        return kept.idle_until > self._clock.now() and kept.stream.is_quiet()

    def _drop_spent(self, address: str) -> None:
        """Close the idle connections to an address that cannot be used any more."""
        site = self._sites.get(address)
        if site is None:
            return
        kept_before, site.idle = site.idle, []
        for kept in kept_before:
            if self._is_usable(kept):
                site.idle.append(kept)
            else:
                self._close(address, kept.stream)

    def _keep(self, address: str, stream: PooledStream, idle_ms: int) -> None:
        if stream.closed() or idle_ms <= 0:
            self._close(address, stream)
            return
        now = self._clock.now()
        site = self._sites[address]
        site.idle.append(_Kept(stream, Millis(now + idle_ms)))
        while site.idle and site.idle[0].idle_until <= now:
            self._close(address, site.idle.pop(0).stream)

    def _close(self, address: str, stream: PooledStream) -> None:
        stream.close()
        site = self._sites[address]
        site.open -= 1
        if not site.open:
            del self._sites[address]

    async def _async_open(
        self, exchange: Exchange, connect_timeout_ms: int
    ) -> Result[PooledStream, ExchangeError]:
        host, _, port = exchange.address.rpartition(":")
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _set_options(raw)
        stream = PooledStream(raw, max_buffer_size=MAX_ANSWER_BYTES)
        self._sites.setdefault(exchange.address, _Site()).open += 1
        self._opened += 1
        try:
            async with asyncio.timeout(connect_timeout_ms / MS_PER_SECOND):
                await stream.connect((host, int(port)))
        except (TimeoutError, StreamClosedError, OSError) as error:
            self._close(exchange.address, stream)
            return Err(ExchangeError(f"cannot connect: {error!r}", ExchangeFailure.CONNECT))
        except BaseException:
            self._close(exchange.address, stream)
            raise
        return Ok(stream)


def _set_options(raw: socket.socket) -> None:
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


class _Reader(HTTPMessageDelegate):
    """Takes one answer; `whole` is set once its body has ended as its head said."""

    def __init__(self, hooks: AnswerHooks) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.pieces: list[bytes] = []
        self.whole = False
        self.foreign = False
        self.ended: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._hooks = hooks

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        if 100 <= start_line.code < 200:
            return
        self.status = start_line.code
        self.headers = headers
        is_own = self._hooks.is_own
        self.foreign = is_own is not None and not is_own(headers)
        if not self.foreign and self._hooks.on_head is not None:
            self._hooks.on_head(self.status, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        if self.foreign:
            return None
        if self._hooks.on_data is not None and self.status == 200:
            return self._hooks.on_data(chunk)
        self.pieces.append(chunk)
        return None

    def finish(self) -> None:
        self.whole = True
        if not self.ended.done():
            self.ended.set_result(None)


class _Talk:
    """One request and its answer on an open stream."""

    def __init__(self, stream: PooledStream, exchange: Exchange, hooks: AnswerHooks) -> None:
        self.reusable = False
        self.idle_ms = 0
        self._stream = stream
        self._exchange = exchange
        self._hooks = hooks

    async def async_run(self) -> Result[Answer, ExchangeError]:
        parameters = HTTP1ConnectionParameters(
            max_body_size=self._exchange.max_answer_bytes, chunk_size=READ_BYTES
        )
        connection = HTTP1Connection(self._stream, True, parameters)
        try:
            self._stream.set_nodelay(True)
            self._write(connection)
            for _ in range(MAX_FOREIGN_ANSWERS + 1):
                reader = _Reader(self._hooks)
                alive = await self._async_read(connection, reader)
                if not reader.foreign:
                    return self._judge(reader, alive)
                # Shows as the answer of another request where ours is due: an upstream sent one
                # answer twice. Ours comes after it, on the same connection.
                if not (reader.whole and alive):
                    break
                connection = HTTP1Connection(self._stream, True, parameters)
                connection.finish()
        except (StreamClosedError, HTTPInputError, OSError) as error:
            return Err(ExchangeError(f"answer broken: {error!r}", ExchangeFailure.BROKEN))
        return Err(ExchangeError("only answers of other requests", ExchangeFailure.MALFORMED))

    def _write(self, connection: HTTP1Connection) -> None:
        exchange = self._exchange
        headers = HTTPHeaders(dict(exchange.headers))
        headers.setdefault("Host", exchange.address)
        headers["Content-Length"] = str(len(exchange.body))
        start_line = RequestStartLine(exchange.method, exchange.path, "HTTP/1.1")
        connection.write_headers(start_line, headers, exchange.body)
        connection.finish()

    async def _async_read(self, connection: HTTP1Connection, reader: _Reader) -> bool:
        """Read until the answer is whole; returns whether the connection may be used again."""
        reading = asyncio.ensure_future(connection.read_response(reader))
        try:
            either: set[asyncio.Future[Any]] = {reading, reader.ended}
            await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
            # An upstream may answer before it has read a long body: the answer does not wait for
            # that, and the connection is given up, as the upstream still expects the body's rest.
            await asyncio.sleep(0)
            return reading.result() if reading.done() else False
        finally:
            reading.cancel()

    def _judge(self, reader: _Reader, alive: bool) -> Result[Answer, ExchangeError]:
        # An answer without a length ends with its connection; a reset there is no end.
        if not reader.whole or self._stream.error is not None:
            return Err(ExchangeError("connection closed early", ExchangeFailure.BROKEN))
        self.idle_ms = _read_idle_ms(reader.headers)
        closes = reader.headers.get("Connection", "").lower() == "close"
        self.reusable = alive and not closes and not self._stream.writing()
        return Ok(Answer(reader.status, reader.headers, b"".join(reader.pieces)))


def _read_idle_ms(headers: HTTPHeaders) -> int:
    """Return how long a connection may stay idle, from the server's own word.

    >>> _read_idle_ms(HTTPHeaders({"Keep-Alive": "timeout=10"}))
    8500
    """
    for parameter in headers.get("Keep-Alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        seconds = read_whole(value) if name.lower() == "timeout" else None
        if seconds is not None:
            return seconds * MS_PER_SECOND - IDLE_MARGIN_MS
    return DEFAULT_IDLE_MS
