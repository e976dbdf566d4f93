"""Tokens of one customer that the coordinator granted to this VM."""

from dataclasses import dataclass

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import (
    DEMAND_WINDOW_MS,
    GRANT_LIFETIME_MS,
    IDLE_RETURN_MS,
    PREFETCH_MS,
    REPORT_INTERVAL_MS,
    REQUEST_INTERVAL_MS,
)
from goldcreststair.components.limits.models import GrantReport


@dataclass(slots=True)
class _Grant:
    unspent: int
    expires_at: Millis
    spent: int = 0
    finished: bool = False


class GrantedTokens:
    """Spends grants, oldest first, and reports on them; all times are this VM's own."""

    def __init__(self) -> None:
        """Create without grants."""
        self._grants: dict[int, _Grant] = {}
        self._requested_at: dict[int, Millis] = {}
        self._demand = 0.0
        self._demand_at = Millis(0)
        self._last_used_at = Millis(0)
        self._has_unreported_use = False

    def spend(self, now: Millis) -> bool:
        """Spend one token; returns whether there was one."""
        self._drop_expired(now)
        for grant in self._grants.values():
            if grant.unspent > 0:
                grant.unspent -= 1
                grant.spent += 1
                self._last_used_at = now
                self._has_unreported_use = True
                return True
        return False

    def record_demand(self, now: Millis) -> None:
        """Count one request of a caller."""
        self._decay_demand(now)
        self._demand += 1

    def count_wanted(self, waiting: int, now: Millis) -> int:
        """Return how many tokens to request: one per waiting request and a short prefetch."""
        self._decay_demand(now)
        prefetch = self._demand * PREFETCH_MS / DEMAND_WINDOW_MS
        return waiting + int(prefetch) if waiting else 0

    def begin_request(self, number: int, now: Millis) -> tuple[GrantReport, ...]:
        """Begin token request `number`; returns the reports to send with it."""
        self._drop_expired(now)
        if now - self._last_used_at >= IDLE_RETURN_MS:
            for grant in self._grants.values():
                grant.unspent, grant.finished = 0, True
        for grant in self._grants.values():
            grant.finished = grant.finished or grant.unspent == 0
        self._requested_at[number] = now
        self._has_unreported_use = False
        return tuple(
            GrantReport(key, grant.spent, grant.finished) for key, grant in self._grants.items()
        )

    def accept(self, number: int, granted: int, now: Millis) -> None:
        """Apply the answer to token request `number`; a second answer has no effect."""
        requested_at = self._requested_at.pop(number, None)
        # The grant's lifetime starts at the request, which precedes the coordinator's own start: a
        # slow answer shortens it and never makes it outlive the grant at the coordinator.
        if requested_at is not None:
            self._grants = {key: grant for key, grant in self._grants.items() if not grant.finished}
            if granted > 0:
                expires_at = Millis(requested_at + GRANT_LIFETIME_MS)
                self._grants[number] = _Grant(granted, expires_at)
                self._last_used_at = now

    def give_up(self, number: int) -> None:
        """Abandon token request `number`; its grant is never spent and is reported as unused."""
        requested_at = self._requested_at.pop(number, None)
        if requested_at is not None:
            expires_at = Millis(requested_at + GRANT_LIFETIME_MS)
            self._grants[number] = _Grant(0, expires_at, finished=True)

    def has_grants_to_report(self, now: Millis) -> bool:
        """Return whether there are grants that the coordinator needs a report about."""
        self._drop_expired(now)
        return bool(self._grants)

    def get_report_interval(self) -> int:
        """Return the time in ms from the last message to the next report."""
        # The coordinator does not refill for spent tokens until they are reported.
        return REQUEST_INTERVAL_MS if self._has_unreported_use else REPORT_INTERVAL_MS

    def _drop_expired(self, now: Millis) -> None:
        expired = [key for key, grant in self._grants.items() if grant.expires_at <= now]
        for key in expired:
            del self._grants[key]

    def _decay_demand(self, now: Millis) -> None:
        passed = max(0, now - self._demand_at) / DEMAND_WINDOW_MS
        self._demand *= max(0.0, 1 - passed)
        self._demand_at = now
