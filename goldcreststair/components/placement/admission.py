"""Decides whether a request is placed or refused with a retry time under overload; no I/O.

Designed for bursts beyond the capacity of all upstreams. If all requests were placed, they would
queue at the upstreams in order of arrival, and after a second of such a burst every answer would be
late, including those to requests that arrive after it. A caller that is refused at once with a
retry time is served in time once the burst is over, provided its timeout leaves enough time for a
retry.
"""

import random
from dataclasses import dataclass
from typing import Final

from goldcreststair.components.placement.models import Placement

FIRST_ATTEMPT_SHARE: Final = 0.9
"""A request with at least this share of its timeout left is a first attempt, and can be retried."""
LATE_OBJECTIVE_SHARE: Final = 1.0
"""A first event that is expected later than this share of the objective counts as late."""
MIN_RETRY_MS: Final = 300
"""Shortest retry time: a queue of one run per slot has advanced by about a third in this time."""
RETRY_SPREAD_MS: Final = 900
"""Retries of requests refused together are spread over this time, to avoid a second burst."""
MAX_RETRY_SHARE: Final = 0.3
"""Longest retry time, as a share of the caller's remaining time: callers ignore a retry time of
more than a third of it."""


@dataclass(frozen=True, slots=True)
class TimeBudget:
    """Time limits of one caller's request."""

    objective_ms: int
    """Time to the first event that meets the caller's objective."""
    timeout_ms: int
    """Full timeout of the request."""
    left_ms: int
    """Time left until that timeout."""

    @property
    def is_return(self) -> bool:
        """Whether the caller was refused before and has returned."""
        return self.left_ms < self.timeout_ms * FIRST_ATTEMPT_SHARE


def decide_retry_after(placement: Placement, time: TimeBudget, rng: random.Random) -> int | None:
    """Return the ms after which the caller should retry, or None to place its request now."""
    if placement.wait_ms <= 0 or placement.expected_ms <= time.objective_ms * LATE_OBJECTIVE_SHARE:
        return None
    # After a second refusal the request would time out; a late answer is better than none.
    if time.is_return:
        return None
    return choose_retry_ms(placement.wait_ms, time.left_ms, rng)


def choose_retry_ms(wait_ms: float, left_ms: int, rng: random.Random) -> int:
    """Return the retry time of a caller that would wait this long and has this time left."""
    retry_ms = max(MIN_RETRY_MS, wait_ms) + rng.random() * RETRY_SPREAD_MS
    return int(min(retry_ms, left_ms * MAX_RETRY_SHARE))
