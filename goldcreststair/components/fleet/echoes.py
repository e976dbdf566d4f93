"""Measures how long datagrams take, without comparing the clocks of two daemons; no I/O.

A datagram that waits in a socket or at a busy daemon looks recent when it is handled. Each datagram
therefore ends with an echo: which datagram its sender received last from its receiver, and how long
ago. The receiver knows when it sent that one, so that the new datagram cannot have been written
before then; the time since bounds how old its contents are.
"""

import struct
from dataclasses import dataclass
from typing import Final

from goldcreststair.clock import Clock, Millis

_ECHO: Final = struct.Struct(">BIH")
_MAX_HELD_MS: Final = (1 << 16) - 1
_MAX_SEQUENCE: Final = (1 << 32) - 1
MAX_SENT: Final = 1_024
"""Own datagrams whose time of sending is kept: at 50 a second, those of 20 s."""


@dataclass(frozen=True, slots=True)
class Echo:
    """The datagram that a sender received last from its receiver."""

    kind: int = 0
    """Kind of that datagram; 0 if there was none."""
    sequence: int = 0
    held_ms: int = 0
    """How long before the echo was sent it had arrived, ms."""

    def encode(self) -> bytes:
        """Return the bytes that end a datagram."""
        held_ms = min(self.held_ms, _MAX_HELD_MS)
        return _ECHO.pack(self.kind, self.sequence & _MAX_SEQUENCE, held_ms)


def decode_echo(encoded: bytes) -> Echo | None:
    """Return the echo at the end of a datagram; None if an earlier version sent it without one.

    >>> decode_echo(Echo(1, 7, 20).encode()), decode_echo(b"")
    (Echo(kind=1, sequence=7, held_ms=20), None)
    """
    return Echo(*_ECHO.unpack(encoded)) if len(encoded) == _ECHO.size else None


class EchoTracker:
    """Keeps when datagrams were sent and received, to write echoes and to read them."""

    def __init__(self, clock: Clock) -> None:
        """Start without datagrams."""
        self._clock = clock
        self._sent: dict[tuple[int, int], Millis] = {}
        self._received: dict[str, tuple[int, int, Millis]] = {}
        """By session: kind, sequence and time of its last datagram."""

    def record_sent(self, kind: int, sequence: int) -> None:
        """Record that a datagram is sent now, to any number of receivers."""
        self._sent[kind, sequence & _MAX_SEQUENCE] = self._clock.now()
        if len(self._sent) > MAX_SENT:
            del self._sent[next(iter(self._sent))]

    def record_received(self, session: str, kind: int, sequence: int) -> None:
        """Record a datagram of another daemon."""
        self._received[session] = (kind, sequence, self._clock.now())

    def make_echo(self, session: str) -> Echo:
        """Return the echo for a datagram to another daemon."""
        received = self._received.get(session)
        if received is None:
            return Echo()
        kind, sequence, at = received
        return Echo(kind, sequence, self._clock.now() - at)

    def measure_lag_ms(self, echo: Echo | None) -> int | None:
        """Return the longest time that a datagram which arrives now may have taken, ms.

        None if its sender had received none, or only one sent too long ago.
        """
        sent_at = None if echo is None else self._sent.get((echo.kind, echo.sequence))
        if echo is None or sent_at is None:
            return None
        return max(0, self._clock.now() - sent_at - echo.held_ms)

    def forget(self, session: str) -> None:
        """Remove a daemon that is gone."""
        self._received.pop(session, None)
