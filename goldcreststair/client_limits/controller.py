"""Decides which clients are closed when all of them together hold too much; no I/O.

Designed for crowds whose bodies are many, long and never complete, beside ordinary callers with
bodies of some KB.
"""

import gc
import logging

from goldcreststair.client_limits.const import (
    COLLECT_AFTER,
    MAX_WAITING_TURNS,
    SMALL_BYTES,
    STALL_MS,
)
from goldcreststair.client_limits.models import (
    ClientLimits,
    ClientReporter,
    CloseCause,
    Connection,
    Holding,
)
from goldcreststair.client_limits.turns import Turns
from goldcreststair.clock import Clock, Millis

_LOGGER = logging.getLogger(__name__)


class ClientBudget:
    """Counts what is held for the clients of one process, at all of its ports."""

    def __init__(self, clock: Clock, limits: ClientLimits, reporter: ClientReporter) -> None:
        """Start without clients."""
        self.limits = limits
        self._clock = clock
        self._reporter = reporter
        self._holdings: dict[Holding, None] = {}
        """Open connections, those that have been silent for longest first."""
        self._turns = Turns()
        self._held = 0
        self._large = 0
        """Bytes held for those clients that hold more than `SMALL_BYTES`."""
        self._broken = 0
        """Connections closed within a message since the last garbage collection."""

    def open(self, connection: Connection, port: str) -> Holding:
        """Add the connection of a client."""
        if self._broken >= COLLECT_AFTER:
            self._broken = 0
            gc.collect()
        holding = Holding(connection, port, self._clock.now())
        self._holdings[holding] = None
        return holding

    def close(self, holding: Holding) -> None:
        """Remove a connection; what was held for it has been dropped."""
        if holding.size and not holding.is_serving:
            self._broken += 1
        self.resize(holding, 0, 0)
        self._holdings.pop(holding, None)
        self._turns.remove(holding)

    def count_bytes(self) -> int:
        """Return the bytes held for all clients."""
        return self._held

    def count_connections(self) -> int:
        """Return the number of open connections of clients."""
        return len(self._holdings)

    def advance(self, holding: Holding) -> None:
        """Record that the client has sent or accepted bytes."""
        holding.progressed_at = self._clock.now()
        if holding in self._holdings:
            del self._holdings[holding]
            self._holdings[holding] = None

    def resize(self, holding: Holding, received: int, unsent: int, ahead: int = 0) -> None:
        """Set the bytes that are held for a connection; `ahead` of those received are behind its message."""
        before = holding.size
        holding.received, holding.unsent, holding.ahead = received, unsent, ahead
        self._held += holding.size - before
        self._large += _count_large(holding.size) - _count_large(before)

    def enforce(self) -> None:
        """Close connections until all clients together hold no more than they may."""
        while (holding := self.choose_closed()) is not None:
            self._shed(holding, CloseCause.MEMORY)

    def make_room(self) -> bool:
        """Return whether one more connection may be opened, after closing a silent one if need be."""
        return len(self._holdings) < self.limits.connections or self.close_silent()

    def close_silent(self) -> bool:
        """Close the connection without a request that has been silent for longest, if there is one.

        Those that hold a part of a message are closed after those that hold nothing.
        """
        silent: Holding | None = None
        for holding in self._holdings:
            if not holding.is_serving:
                silent = silent or holding
                if not holding.size:
                    silent = holding
                    break
        if silent is not None:
            self._shed(silent, CloseCause.CONNECTIONS)
        return silent is not None

    def reject(self, holding: Holding, cause: CloseCause) -> None:
        """Close a connection that exceeds a limit of its own."""
        self._shed(holding, cause)

    def count_rejected(self, port: str) -> None:
        """Record that a connection was closed as soon as it had been accepted."""
        _LOGGER.warning("Client connection rejected", extra={"port": port})
        self._reporter.count_closed_client(CloseCause.CONNECTIONS)

    async def async_take_turn(self, holding: Holding, turns: int) -> None:
        """Return when a client may decode further small chunks, or once its connection was closed.

        `turns` is how many turns it has had.
        """
        if self._turns.count_waiting() >= MAX_WAITING_TURNS:
            heaviest = self._turns.find_heaviest()
            excess = holding if turns >= heaviest.turns else heaviest.holding
            self._shed(excess, CloseCause.CHUNKS)
        if holding in self._holdings:
            await self._turns.async_wait(holding, turns)

    def choose_closed(self) -> Holding | None:
        """Return the connection to be closed next, or None if the limits are kept."""
        if self._held <= self.limits.held_bytes and self._large <= self.limits.large_bytes:
            return None
        # Those that hold little are closed only if they are what exceeds the limit.
        least = SMALL_BYTES if self._large > self.limits.large_bytes else 0
        now = self._clock.now()
        candidates = (each for each in self._holdings if _can_close(each, least, now))
        return max(candidates, key=lambda each: _rank(each, now), default=None)

    def _shed(self, holding: Holding, cause: CloseCause) -> None:
        extra = {
            "cause": cause.value,
            "port": holding.port,
            "received_bytes": holding.received,
            "unsent_bytes": holding.unsent,
            "silent_ms": self._clock.now() - holding.progressed_at,
            "held_bytes": self._held,
            "connections": len(self._holdings),
        }
        _LOGGER.warning("Client connection closed", extra=extra)
        self._reporter.count_closed_client(cause)
        # Removed first: closing the connection may write to it, which counts bytes again.
        self.close(holding)
        holding.connection.shed(cause)


def _count_large(size: int) -> int:
    return size if size > SMALL_BYTES else 0


def _can_close(holding: Holding, least: int, now: Millis) -> bool:
    if holding.size <= least:
        return False
    if not holding.is_serving:
        return True
    # A request that runs is cut only if its client sends more behind it, or does not read the answer.
    return holding.ahead > 0 or (holding.unsent > 0 and _is_still(holding, now))


def _is_still(holding: Holding, now: Millis) -> bool:
    return now - holding.progressed_at >= STALL_MS


def _rank(holding: Holding, now: Millis) -> tuple[bool, bool, int]:
    # A message that stands still may never be complete; among the others a large one frees the most
    # and takes the longest.
    return _is_still(holding, now), not holding.is_serving, holding.size
