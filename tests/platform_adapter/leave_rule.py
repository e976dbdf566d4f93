"""Which requests that are cut around a planned shutdown count as lost."""

from dataclasses import dataclass
from typing import Final

LATE_SEND_S: Final = 3.0
"""A request sent later than this after SIGTERM has to end before the process does."""
LAST_PART: Final = 5 / 6
"""Fraction of the grace period after which an earlier request may be cut."""
LOSS_SLACK_S: Final = 0.2
"""A request that was not passed on may cross the end of its connection for this long."""
AFTER_GRACE_S: Final = 1.0
"""How long after the grace period an end still belongs to the shutdown."""


@dataclass(frozen=True, slots=True)
class CutRequest:
    """A request whose connection ended without a complete answer; times are in s of one clock."""

    sent_at: float
    ended_at: float
    ends_by: float
    """The earlier one of the caller's deadline and the route's timeout."""
    passed_on: bool = True
    """Whether an upstream began it."""
    at_work_until: float = float("-inf")
    """Until when its upstream worked on it."""
    broken_by_upstream: bool = False


def is_lost(cut: CutRequest, sigterm_at: float, grace_s: float) -> bool:
    """Return whether a cut request counts as lost by the shutdown that began at `sigterm_at`.

    >>> is_lost(CutRequest(13.2, 17.2, 18.2, at_work_until=17.2), 10.0, 8.0)
    True
    >>> is_lost(CutRequest(12.9, 17.2, 17.9, at_work_until=17.2), 10.0, 8.0)
    False
    """
    if not sigterm_at <= cut.ended_at <= sigterm_at + grace_s + AFTER_GRACE_S:
        return False
    if cut.broken_by_upstream or cut.ended_at >= cut.ends_by:
        return False
    if not cut.passed_on and cut.ended_at - cut.sent_at <= LOSS_SLACK_S:
        return False
    at_work_late = cut.at_work_until >= sigterm_at + LAST_PART * grace_s
    return not (at_work_late and cut.sent_at <= sigterm_at + LATE_SEND_S)
