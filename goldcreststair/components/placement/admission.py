"""Whether a request is placed or sent away when every slot is taken; no I/O.

Load it answers: bursts beyond what all upstreams serve. Placed regardless, requests queue at the
upstreams first come, first served, and after a second of it every answer is late, also those that came
after the burst. Sent away at once with a time to come back, a caller is served in time once the burst
is over, as long as it has the time for that.
"""

import random
from dataclasses import dataclass
from typing import Final

from goldcreststair.components.placement.models import Placement

FIRST_ATTEMPT_SHARE: Final = 0.9
"""A caller that has this share of its time left has not been sent away before: it can come back."""
LATE_SHARE: Final = 1.0
"""A first event that is expected after this share of the objective counts as late."""
MIN_RETRY_MS: Final = 300
"""Shortest time to come back: a queue of one run per slot has moved by a third of it."""
SPREAD_MS: Final = 900
"""Those that were sent away together come back spread over this time, not as the next burst."""
MAX_RETRY_SHARE: Final = 0.3
"""Longest time to come back, as a share of what the caller has left: beyond a third of it callers
do not wait as they are told."""


@dataclass(frozen=True, slots=True)
class TimeBudget:
    """What one caller's request has in time."""

    objective_ms: int
    """Time to the first event that the caller counts as good."""
    timeout_ms: int
    """Time that a fresh request has."""
    left_ms: int


def decide_retry_after(placement: Placement, time: TimeBudget, chance: random.Random) -> int | None:
    """Return after how many ms the caller shall come back, or None to place its request now."""
    if placement.wait_ms <= 0 or placement.expected_ms <= time.objective_ms * LATE_SHARE:
        return None
    # Sent away a second time it would get no answer at all, where a late one is still of use.
    if time.left_ms < time.timeout_ms * FIRST_ATTEMPT_SHARE:
        return None
    wanted_ms = max(MIN_RETRY_MS, placement.wait_ms) + chance.random() * SPREAD_MS
    return int(min(wanted_ms, time.left_ms * MAX_RETRY_SHARE))
