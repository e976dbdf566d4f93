"""The bucket that a customer's home keeps: its level and the tokens it has lent."""

from collections.abc import Iterable
from dataclasses import dataclass

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import LOT_LIFETIME_MS, wait_out
from goldcreststair.components.limits.models import Allowance, HeldBucket, HeldLot, LotReport
from goldcreststair.const import MS_PER_SECOND


@dataclass(slots=True)
class _Lot:
    amount: int
    lapses_at: Millis
    spent: int = 0

    @property
    def unspent(self) -> int:
        return self.amount - self.spent


class CoordinatorBucket:
    """Keeps level + tokens lent within the burst at every moment; times are the home's own."""

    def __init__(self, allowance: Allowance, now: Millis, level: float = 0.0) -> None:
        """Start at `level`, refilling from `now`."""
        self._allowance = allowance
        self._level = level
        self._at = now
        self._lots: dict[tuple[str, int], _Lot] = {}

    def change(self, allowance: Allowance, now: Millis) -> None:
        """Take a new rate and burst; what is lent stays counted."""
        if allowance != self._allowance:
            self._settle(now)
            self._allowance = allowance
            self._clip()

    def spend(self, now: Millis) -> bool:
        """Take one token for a request at the home itself."""
        self._settle(now)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def grant_tokens(self, session_id: str, number: int, want: int, now: Millis) -> int:
        """Lend up to `want` tokens as lot `number`; an ask seen before gets nothing."""
        self._settle(now)
        key = (session_id, number)
        amount = min(want, int(self._level))
        if amount < 1 or key in self._lots:
            return 0
        self._level -= amount
        lapses_at = Millis(now + wait_out(LOT_LIFETIME_MS))
        self._lots[key] = _Lot(amount, lapses_at)
        return amount

    def report(self, session_id: str, reports: Iterable[LotReport], now: Millis) -> None:
        """Take in what a borrower says of its lots; late and repeated reports do no harm."""
        # Refill first, while the tokens still count as lent. Otherwise a lot spent just now would
        # make room for refill of the time before: both would be spent in one window.
        self._settle(now)
        for report in reports:
            key = (session_id, report.number)
            lot = self._lots.get(key)
            if lot is None:
                continue
            lot.spent = min(lot.amount, max(lot.spent, report.spent))
            if report.finished:
                self._level += lot.unspent
                del self._lots[key]
        self._clip()

    def get_retry_after(self, now: Millis) -> int:
        """Return the milliseconds until a token may be there."""
        self._settle(now)
        missing = max(0.0, 1 - self._level)
        return int(missing / self._allowance.rate_per_s * MS_PER_SECOND) + 1

    def hold(self, now: Millis) -> HeldBucket:
        """Return what a new home must know."""
        self._settle(now)
        lots = (
            HeldLot(session, number, lot.amount, lot.spent, lot.lapses_at - now)
            for (session, number), lot in self._lots.items()
        )
        return HeldBucket(self._level, tuple(lots))

    def restore(self, held: HeldBucket, now: Millis) -> None:
        """Go on with what the old home held."""
        self._at = now
        self._level = held.level
        for lot in held.lots:
            lapses_at = Millis(now + wait_out(lot.remaining_ms))
            self._lots[(lot.session_id, lot.number)] = _Lot(lot.amount, lapses_at, lot.spent)
        self._clip()

    def _settle(self, now: Millis) -> None:
        lapsed = [(lot.lapses_at, key) for key, lot in self._lots.items() if lot.lapses_at <= now]
        for lapses_at, key in sorted(lapsed):
            self._refill(lapses_at)
            del self._lots[key]
        self._refill(now)

    def _refill(self, until: Millis) -> None:
        gained = max(0, until - self._at) * self._allowance.rate_per_s / MS_PER_SECOND
        self._level += gained
        self._at = Millis(max(self._at, until))
        self._clip()

    def _clip(self) -> None:
        lent = sum(lot.unspent for lot in self._lots.values())
        self._level = max(0.0, min(self._level, self._allowance.burst - lent))
