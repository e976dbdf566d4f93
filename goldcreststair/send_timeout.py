"""Ends connections whose peer no longer acknowledges, and keeps those whose peer does not read for a while.

The kernel's user timeout counts both: once the receive window of the peer is closed it ends the connection, although
the peer answers its probes.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass
from typing import Final

from goldcreststair.const import MS_PER_SECOND
from goldcreststair.delivery import count_queued

USER_TIMEOUT_MS: Final = 2000
"""Time after which unacknowledged bytes end a connection: a path that drops packets sends no reset."""
NO_TIMEOUT_MS: Final = 0
CHECK_MS: Final = 500
MIN_WATCHED_BYTES: Final = 4 * 1024
"""A shorter request fits into the receive window of any peer."""
_IN_FLIGHT_OFFSET: Final = 24
"""Position of `tcpi_unacked` in the kernel's `struct tcp_info`."""


@dataclass(frozen=True, slots=True)
class SendState:
    """What the kernel still has to deliver on a connection."""

    queued_bytes: int
    """Bytes that are not acknowledged, sent or not."""
    segments_in_flight: int
    """Segments that were sent and are not acknowledged; probes of a closed window do not count."""


def choose_user_timeout_ms(state: SendState) -> int:
    """Return the user timeout for a connection, in ms; 0 for none.

    >>> choose_user_timeout_ms(SendState(9_000, 2)), choose_user_timeout_ms(SendState(9_000, 0))
    (2000, 0)
    """
    peer_does_not_read = state.queued_bytes > 0 and not state.segments_in_flight
    return NO_TIMEOUT_MS if peer_does_not_read else USER_TIMEOUT_MS


def set_user_timeout(sock: socket.socket, timeout_ms: int) -> None:
    """Set the time that sent bytes may remain unacknowledged; raises `OSError`."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


class SendTimeout:
    """Adapts the user timeout of one connection while a long request is being sent on it."""

    def __init__(self, sock: socket.socket) -> None:
        """Initialise with a socket whose user timeout is set."""
        self._socket = sock
        self._timer: asyncio.TimerHandle | None = None

    def begin(self, size: int) -> None:
        """Watch a request of `size` bytes until the kernel has delivered it."""
        if size < MIN_WATCHED_BYTES or self._timer is not None:
            return
        # The first check is due before any timeout, but this process may be delayed.
        self._apply(NO_TIMEOUT_MS)
        self._arm()

    def is_delivered(self) -> bool:
        """Return whether the kernel of the peer has everything that the kernel took over here."""
        return self._timer is None or not count_queued(self._socket)

    def close(self) -> None:
        """Stop watching."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _arm(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(CHECK_MS / MS_PER_SECOND, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._socket.fileno() < 0:
            return
        state = _read_state(self._socket)
        self._apply(choose_user_timeout_ms(state))
        if state.queued_bytes:
            self._arm()

    def _apply(self, timeout_ms: int) -> None:
        set_user_timeout(self._socket, timeout_ms)


def _read_state(sock: socket.socket) -> SendState:
    """Read the state of a TCP socket; raises `OSError`."""
    info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _IN_FLIGHT_OFFSET + 4)
    return SendState(count_queued(sock), int(struct.unpack_from("I", info, _IN_FLIGHT_OFFSET)[0]))
