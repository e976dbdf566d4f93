"""Token bucket of one customer at its coordinator: the level and the granted tokens."""

from collections.abc import Iterable
from dataclasses import dataclass

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import GRANT_LIFETIME_MS, wait_out
from goldcreststair.components.limits.models import (
    Allowance,
    BucketSnapshot,
    GrantReport,
    GrantSnapshot,
)
from goldcreststair.const import MS_PER_SECOND


@dataclass(slots=True)
class _Grant:
    amount: int
    expires_at: Millis
    spent: int = 0

    @property
    def unspent(self) -> int:
        return self.amount - self.spent


class CoordinatorBucket:
    """Keeps level + unspent granted tokens within the burst; times are the coordinator's own."""

    def __init__(self, allowance: Allowance, now: Millis, level: float = 0.0) -> None:
        """Create a bucket at `level` that refills from `now` on."""
        self._allowance = allowance
        self._level = level
        self._refilled_at = now
        self._grants: dict[tuple[str, int], _Grant] = {}

    def change(self, allowance: Allowance, now: Millis) -> None:
        """Apply a new rate and burst; granted tokens stay counted."""
        if allowance != self._allowance:
            self._advance(now)
            self._allowance = allowance
            self._clip()

    def spend(self, now: Millis) -> bool:
        """Spend one token for a request on the coordinator's VM; returns whether there was one."""
        self._advance(now)
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def grant_tokens(self, session_id: str, number: int, wanted: int, now: Millis) -> int:
        """Grant up to `wanted` tokens as grant `number`; a repeated request gets 0."""
        self._advance(now)
        key = (session_id, number)
        amount = min(wanted, int(self._level))
        if amount < 1 or key in self._grants:
            return 0
        self._level -= amount
        expires_at = Millis(now + wait_out(GRANT_LIFETIME_MS))
        self._grants[key] = _Grant(amount, expires_at)
        return amount

    def report(self, session_id: str, reports: Iterable[GrantReport], now: Millis) -> None:
        """Apply a VM's reports on its grants; late and repeated reports are harmless."""
        # Refill first, while the tokens still count as granted. Otherwise a grant spent just now
        # would make room for the refill of earlier time, and both would be spent in one window.
        self._advance(now)
        for report in reports:
            key = (session_id, report.number)
            grant = self._grants.get(key)
            if grant is None:
                continue
            grant.spent = min(grant.amount, max(grant.spent, report.spent))
            if report.finished:
                self._level += grant.unspent
                del self._grants[key]
        self._clip()

    def get_retry_after(self, now: Millis) -> int:
        """Return the time in ms until a token may be available."""
        self._advance(now)
        missing = max(0.0, 1 - self._level)
        return int(missing / self._allowance.rate_per_s * MS_PER_SECOND) + 1

    def take_snapshot(self, now: Millis) -> BucketSnapshot:
        """Return the state that a new coordinator needs."""
        self._advance(now)
        grants = (
            GrantSnapshot(session, number, grant.amount, grant.spent, grant.expires_at - now)
            for (session, number), grant in self._grants.items()
        )
        return BucketSnapshot(self._level, tuple(grants))

    def restore(self, snapshot: BucketSnapshot, now: Millis) -> None:
        """Continue from the state of the old coordinator's bucket."""
        self._refilled_at = now
        self._level = snapshot.level
        for grant in snapshot.grants:
            expires_at = Millis(now + wait_out(grant.remaining_ms))
            self._grants[(grant.session_id, grant.number)] = _Grant(
                grant.amount, expires_at, grant.spent
            )
        self._clip()

    def _advance(self, now: Millis) -> None:
        expired = [
            (grant.expires_at, key)
            for key, grant in self._grants.items()
            if grant.expires_at <= now
        ]
        for expires_at, key in sorted(expired):
            self._refill(expires_at)
            del self._grants[key]
        self._refill(now)

    def _refill(self, until: Millis) -> None:
        gained = max(0, until - self._refilled_at) * self._allowance.rate_per_s / MS_PER_SECOND
        self._level += gained
        self._refilled_at = Millis(max(self._refilled_at, until))
        self._clip()

    def _clip(self) -> None:
        granted = sum(grant.unspent for grant in self._grants.values())
        self._level = max(0.0, min(self._level, self._allowance.burst - granted))
