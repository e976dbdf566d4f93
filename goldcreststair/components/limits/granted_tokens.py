"""The tokens that a VM has borrowed from a customer's home."""

from dataclasses import dataclass

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import (
    ASK_INTERVAL_MS,
    DEMAND_WINDOW_MS,
    IDLE_RETURN_MS,
    LOT_LIFETIME_MS,
    PREFETCH_MS,
    REPORT_INTERVAL_MS,
)
from goldcreststair.components.limits.models import LotReport


@dataclass(slots=True)
class _Lot:
    unspent: int
    expires_at: Millis
    spent: int = 0
    finished: bool = False


class BorrowedBucket:
    """Spends lots, oldest first, and says what became of them; times are the borrower's own."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._lots: dict[int, _Lot] = {}
        self._asked: dict[int, Millis] = {}
        self._demand = 0.0
        self._demand_at = Millis(0)
        self._taken_at = Millis(0)
        self._unreported = False

    def take(self, now: Millis) -> bool:
        """Take one token."""
        self._drop_expired(now)
        for lot in self._lots.values():
            if lot.unspent > 0:
                lot.unspent -= 1
                lot.spent += 1
                self._taken_at = now
                self._unreported = True
                return True
        return False

    def note_demand(self, now: Millis) -> None:
        """Count one request."""
        self._decay(now)
        self._demand += 1

    def get_want(self, waiting: int, now: Millis) -> int:
        """Return how many tokens to ask for: those waited for and a short prefetch."""
        self._decay(now)
        ahead = self._demand * PREFETCH_MS / DEMAND_WINDOW_MS
        return waiting + int(ahead) if waiting else 0

    def ask(self, number: int, now: Millis) -> tuple[LotReport, ...]:
        """Begin ask `number`; returns what to report with it."""
        self._drop_expired(now)
        if now - self._taken_at >= IDLE_RETURN_MS:
            for lot in self._lots.values():
                lot.unspent, lot.finished = 0, True
        for lot in self._lots.values():
            lot.finished = lot.finished or lot.unspent == 0
        self._asked[number] = now
        self._unreported = False
        return tuple(LotReport(key, lot.spent, lot.finished) for key, lot in self._lots.items())

    def accept(self, number: int, granted: int, now: Millis) -> None:
        """Take in the answer to ask `number`, once."""
        asked_at = self._asked.pop(number, None)
        # The lease runs from the ask, which came before the home counted it: so a slow answer
        # shortens it and never makes it outlive the home's own count.
        if asked_at is not None:
            self._lots = {key: lot for key, lot in self._lots.items() if not lot.finished}
            if granted > 0:
                expires_at = Millis(asked_at + LOT_LIFETIME_MS)
                self._lots[number] = _Lot(granted, expires_at)
                self._taken_at = now

    def give_up(self, number: int) -> None:
        """Promise never to use what ask `number` may have been granted."""
        asked_at = self._asked.pop(number, None)
        if asked_at is not None:
            expires_at = Millis(asked_at + LOT_LIFETIME_MS)
            self._lots[number] = _Lot(0, expires_at, finished=True)

    def has_news(self, now: Millis) -> bool:
        """Return whether the home should hear of a lot."""
        self._drop_expired(now)
        return bool(self._lots)

    def get_report_interval(self) -> int:
        """Return how long after the last message the home should hear again."""
        # While spent tokens count as lent, the home may not refill in their place.
        return ASK_INTERVAL_MS if self._unreported else REPORT_INTERVAL_MS

    def _drop_expired(self, now: Millis) -> None:
        expired = [key for key, lot in self._lots.items() if lot.expires_at <= now]
        for key in expired:
            del self._lots[key]

    def _decay(self, now: Millis) -> None:
        passed = max(0, now - self._demand_at) / DEMAND_WINDOW_MS
        self._demand *= max(0.0, 1 - passed)
        self._demand_at = now
