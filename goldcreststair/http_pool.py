"""HTTP requests over connections that are kept open between requests, a few to each address."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field
from typing import Final

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from goldcreststair.clock import Clock, Millis
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.helpers.numbers import parse_unsigned
from goldcreststair.http_connection import PersistentConnection, ResponseHooks
from goldcreststair.http_exchange import Exchange, ExchangeError, ExchangeFailure, HttpResponse

USER_TIMEOUT_MS: Final = 2000
"""Unacknowledged bytes end a connection after so long: a path that swallows them shows no reset."""
KEEP_ALIVE_PROBE_S: Final = 1
KEEP_ALIVE_PROBES: Final = 3
IDLE_MARGIN_MS: Final = 1500
"""A kept connection is given up so long before its server closes it, so that no request crosses
the close: it would be lost, and one that must not be repeated with it."""
DEFAULT_IDLE_MS: Final = 8000
"""Longest idle time on a connection whose server names none."""


@dataclass(slots=True)
class _Kept:
    connection: PersistentConnection
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
            self.close_idle(address)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, as its server is gone or suspect."""
        site = self._sites.get(address)
        if site is None:
            return
        while site.idle:
            self._close(address, site.idle.pop().connection)

    async def async_warm(self, address: str, connect_timeout_ms: int) -> bool:
        """Open one more connection for later use; returns whether it opened."""
        opened = await self._async_open(Exchange(address, "", "", 0), connect_timeout_ms)
        if isinstance(opened, Err):
            return False
        self._keep(address, opened.ok_value, DEFAULT_IDLE_MS)
        return True

    async def async_exchange(
        self, exchange: Exchange, hooks: ResponseHooks
    ) -> Result[HttpResponse, ExchangeError]:
        """Send one request and read its answer; cancelling closes the connection at once."""
        connection = self._take_idle(exchange.address)
        if connection is None:
            opened = await self._async_open(exchange, exchange.connect_timeout_ms)
            if isinstance(opened, Err):
                return opened
            connection = opened.ok_value
        else:
            self._reused += 1
        reusable, idle_ms = False, 0
        try:
            async with asyncio.timeout(exchange.timeout_ms / MS_PER_SECOND):
                outcome, reusable = await connection.async_ask(exchange, hooks)
            if isinstance(outcome, Ok):
                idle_ms = _read_idle_ms(outcome.ok_value.headers)
            return outcome
        except TimeoutError:
            return Err(ExchangeError("no whole answer in time", ExchangeFailure.TIMEOUT))
        except (ConnectionError, StreamClosedError) as error:
            return Err(ExchangeError(f"answer broken: {error!r}", ExchangeFailure.BROKEN))
        finally:
            if reusable:
                self._keep(exchange.address, connection, idle_ms)
            else:
                # Aborted or timed out, its answer may still come and would be taken for the
                # answer of the next request.
                self._close(exchange.address, connection)

    def _take_idle(self, address: str) -> PersistentConnection | None:
        site = self._sites.get(address)
        while site is not None and site.idle:
            kept = site.idle.pop()
            if self._is_usable(kept):
                return kept.connection
            self._close(address, kept.connection)
        return None

    def _is_usable(self, kept: _Kept) -> bool:
        # Bytes after a complete answer belong to no request, and an end means a closed server.
        return kept.idle_until > self._clock.now() and kept.connection.is_quiet()

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
                self._close(address, kept.connection)

    def _keep(self, address: str, connection: PersistentConnection, idle_ms: int) -> None:
        if idle_ms <= 0:
            self._close(address, connection)
            return
        now = self._clock.now()
        site = self._sites[address]
        site.idle.append(_Kept(connection, Millis(now + idle_ms)))
        while site.idle and site.idle[0].idle_until <= now:
            self._close(address, site.idle.pop(0).connection)

    def _close(self, address: str, connection: PersistentConnection) -> None:
        connection.close()
        site = self._sites[address]
        site.open -= 1
        if not site.open:
            del self._sites[address]

    async def _async_open(
        self, exchange: Exchange, connect_timeout_ms: int
    ) -> Result[PersistentConnection, ExchangeError]:
        host, _, port = exchange.address.rpartition(":")
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        _set_options(raw)
        connection = PersistentConnection(raw)
        self._sites.setdefault(exchange.address, _Site()).open += 1
        self._opened += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(connect_timeout_ms / MS_PER_SECOND):
                await loop.sock_connect(raw, (host, int(port)))
                await loop.create_connection(lambda: connection, sock=raw)
        except (TimeoutError, OSError) as error:
            self._close(exchange.address, connection)
            return Err(ExchangeError(f"cannot connect: {error!r}", ExchangeFailure.CONNECT))
        except BaseException:
            self._close(exchange.address, connection)
            raise
        return Ok(connection)


def _set_options(raw: socket.socket) -> None:
    raw.setblocking(False)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


def _read_idle_ms(headers: HTTPHeaders) -> int:
    """Return how long a connection may stay idle, from the server's own word.

    >>> _read_idle_ms(HTTPHeaders({"Keep-Alive": "timeout=10"}))
    8500
    """
    for parameter in headers.get("Keep-Alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        seconds = parse_unsigned(value) if name.lower() == "timeout" else None
        if seconds is not None:
            return seconds * MS_PER_SECOND - IDLE_MARGIN_MS
    return DEFAULT_IDLE_MS
