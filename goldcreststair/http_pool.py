"""A pool of persistent HTTP connections, with a few connections to each address."""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Final

from result import Err, Ok, Result
from tornado.httputil import HTTPHeaders
from tornado.iostream import StreamClosedError

from goldcreststair.clock import Clock, Millis, TimerHandle
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.helpers.numbers import parse_unsigned
from goldcreststair.http_connection import PersistentConnection, ResponseHooks
from goldcreststair.http_exchange import Exchange, ExchangeError, ExchangeFailure, HttpResponse
from goldcreststair.response_budget import ResponseBudget
from goldcreststair.send_timeout import USER_TIMEOUT_MS, set_user_timeout

KEEP_ALIVE_PROBE_S: Final = 1
KEEP_ALIVE_PROBES: Final = 3
IDLE_MARGIN_MS: Final = 1500
"""An idle connection is closed this long before its server would close it. A request sent while the
server closes the connection would be lost, and a non-repeatable one could not be sent again."""
DEFAULT_IDLE_MS: Final = 8000
"""Longest idle time of a connection whose server announces none."""
EXPIRY_CHECK_MS: Final = 1000
"""Time between two searches for idle connections whose time is over."""


MAX_BUFFERED_BYTES: Final = 32 * 1024 * 1024
"""Most bytes of bodies that all responses of one pool hold together until they are whole, unless it is told."""


@dataclass(slots=True)
class _IdleConnection:
    connection: PersistentConnection
    idle_until: Millis


@dataclass(slots=True)
class _AddressConnections:
    """The connections to one address."""

    idle: list[_IdleConnection] = field(default_factory=list)
    open: int = 0


@dataclass(frozen=True, slots=True)
class PoolCounts:
    """Counters of a pool."""

    opened: int
    reused: int


def _extend(deadline: asyncio.Timeout, exchange: Exchange) -> None:
    """Give the delivery of a complete response up to the exchange's timeout once more."""
    ends_at = deadline.when()
    if ends_at is not None and not deadline.expired():
        deadline.reschedule(ends_at + exchange.timeout_ms / MS_PER_SECOND)


class ConnectionPool:
    """Stores idle connections for reuse; a connection serves one request at a time."""

    def __init__(self, clock: Clock, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        """Initialise without connections; bodies that arrive may hold `max_buffered_bytes` together."""
        self._clock = clock
        self._by_address: dict[str, _AddressConnections] = {}
        self._opened = 0
        self._reused = 0
        self._responses = ResponseBudget(max_buffered_bytes)
        self._expiry: TimerHandle | None = None
        """The next search for idle connections whose time is over; None while nothing is idle."""

    def count(self) -> PoolCounts:
        """Return how many connections were opened and how often one was reused."""
        return PoolCounts(self._opened, self._reused)

    def count_open(self, address: str) -> int:
        """Return the number of open connections to an address, idle and in use."""
        self._close_unusable(address)
        connections = self._by_address.get(address)
        return connections.open if connections else 0

    def has_idle(self, address: str) -> bool:
        """Return whether an idle connection to an address is available."""
        self._close_unusable(address)
        connections = self._by_address.get(address)
        return connections is not None and bool(connections.idle)

    def close(self) -> None:
        """Close all idle connections."""
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        for address in tuple(self._by_address):
            self.close_idle(address)

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address, for a server that is down or suspected."""
        connections = self._by_address.get(address)
        if connections is None:
            return
        while connections.idle:
            self._close(address, connections.idle.pop().connection)

    async def async_warm(self, address: str, connect_timeout_ms: int) -> bool:
        """Open another connection for later use; returns whether this succeeded."""
        opened = await self._async_open(Exchange(address, "", "", 0), connect_timeout_ms)
        if isinstance(opened, Err):
            return False
        self._store_idle(address, opened.ok_value, DEFAULT_IDLE_MS)
        return True

    async def async_exchange(
        self, exchange: Exchange, hooks: ResponseHooks
    ) -> Result[HttpResponse, ExchangeError]:
        """Send one request and read its response; cancelling closes the connection at once."""
        connection = self._pop_idle(exchange.address, exchange.key)
        if connection is None:
            opened = await self._async_open(exchange, exchange.connect_timeout_ms)
            if isinstance(opened, Err):
                return opened
            connection = opened.ok_value
        else:
            self._reused += 1
        reusable, idle_ms = False, 0
        try:
            async with asyncio.timeout(exchange.timeout_ms / MS_PER_SECOND) as deadline:
                if exchange.delivers_late:
                    hooks = replace(hooks, on_complete=partial(_extend, deadline, exchange))
                hooks = replace(hooks, on_buffered=partial(self._responses.record, connection))
                outcome, reusable = await connection.async_send(exchange, hooks)
            if isinstance(outcome, Ok):
                idle_ms = _read_idle_ms(outcome.ok_value.headers)
            return outcome
        except TimeoutError:
            return Err(ExchangeError("no complete response in time", ExchangeFailure.TIMEOUT))
        except (ConnectionError, StreamClosedError) as error:
            return Err(ExchangeError(f"response broken: {error!r}", ExchangeFailure.BROKEN))
        finally:
            self._responses.release(connection)
            if reusable:
                self._store_idle(exchange.address, connection, idle_ms)
            else:
                # After a cancellation or a timeout the response may still arrive, and the next request
                # on this connection would get it.
                self._close(exchange.address, connection)

    def _pop_idle(self, address: str, key: str) -> PersistentConnection | None:
        connections = self._by_address.get(address)
        idle = connections.idle if connections is not None else []
        for index in reversed(range(len(idle))):
            if idle[index].connection.has_carried(key):
                continue
            entry = idle.pop(index)
            if self._is_usable(entry):
                return entry.connection
            self._close(address, entry.connection)
        if idle:
            # All have carried this key. Another one is opened in place of the oldest: requests that
            # repeat a key would else use up the descriptors and the connections of the server.
            self._close(address, idle.pop(0).connection)
        return None

    def _is_usable(self, entry: _IdleConnection) -> bool:
        # Bytes after a complete response belong to no request, and an end of file means that the server
        # has closed the connection.
        return entry.idle_until > self._clock.now() and entry.connection.is_reusable()

    def _close_unusable(self, address: str) -> None:
        """Close the idle connections to an address that can no longer be used."""
        connections = self._by_address.get(address)
        if connections is None:
            return
        before, connections.idle = connections.idle, []
        for entry in before:
            if self._is_usable(entry):
                connections.idle.append(entry)
            else:
                self._close(address, entry.connection)

    def _store_idle(self, address: str, connection: PersistentConnection, idle_ms: int) -> None:
        if idle_ms <= 0:
            self._close(address, connection)
            return
        idle_until = Millis(self._clock.now() + idle_ms)
        self._by_address[address].idle.append(_IdleConnection(connection, idle_until))
        self._schedule_expiry()

    def _schedule_expiry(self) -> None:
        if self._expiry is None:
            self._expiry = self._clock.call_later(EXPIRY_CHECK_MS, self._close_expired)

    def _close_expired(self) -> None:
        """Close the connections whose time is over: no request may follow that would close them."""
        self._expiry = None
        now = self._clock.now()
        for address, connections in tuple(self._by_address.items()):
            for entry in [each for each in connections.idle if each.idle_until <= now]:
                connections.idle.remove(entry)
                self._close(address, entry.connection)
        if any(connections.idle for connections in self._by_address.values()):
            self._schedule_expiry()

    def _close(self, address: str, connection: PersistentConnection) -> None:
        connection.close()
        connections = self._by_address[address]
        connections.open -= 1
        if not connections.open:
            del self._by_address[address]

    async def _async_open(
        self, exchange: Exchange, connect_timeout_ms: int
    ) -> Result[PersistentConnection, ExchangeError]:
        host, _, port = exchange.address.rpartition(":")
        try:
            tcp_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            return Err(ExchangeError(f"cannot connect: {error!r}", ExchangeFailure.CONNECT))
        _set_options(tcp_socket)
        connection = PersistentConnection(tcp_socket)
        self._by_address.setdefault(exchange.address, _AddressConnections()).open += 1
        self._opened += 1
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(connect_timeout_ms / MS_PER_SECOND):
                await loop.sock_connect(tcp_socket, (host, int(port)))
                await loop.create_connection(lambda: connection, sock=tcp_socket)
        # Addresses come from rows of other writers: one that is none must not cost the request.
        except (TimeoutError, OSError, ValueError, OverflowError) as error:
            self._close(exchange.address, connection)
            return Err(ExchangeError(f"cannot connect: {error!r}", ExchangeFailure.CONNECT))
        except BaseException:
            self._close(exchange.address, connection)
            raise
        return Ok(connection)


def _set_options(tcp_socket: socket.socket) -> None:
    tcp_socket.setblocking(False)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    set_user_timeout(tcp_socket, USER_TIMEOUT_MS)
    tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_S)
    tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)


def _read_idle_ms(headers: HTTPHeaders) -> int:
    """Return how long a connection may stay idle, according to the server's `Keep-Alive` header.

    >>> _read_idle_ms(HTTPHeaders({"Keep-Alive": "timeout=10"}))
    8500
    """
    for parameter in headers.get("Keep-Alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        seconds = parse_unsigned(value) if name.lower() == "timeout" else None
        if seconds is not None:
            return seconds * MS_PER_SECOND - IDLE_MARGIN_MS
    return DEFAULT_IDLE_MS
