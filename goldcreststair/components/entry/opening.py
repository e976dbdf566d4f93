"""Decides how many requests a daemon admits before it knows the runs of the others; no I/O.

Designed for the return of all VMs after a loss during a burst: all callers arrive within moments at
daemons that have not heard of each other. Each would place its requests as if it were alone, so that
they queue at the upstreams and all answers of the next second are late.
"""

import random
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from goldcreststair.clock import Clock
from goldcreststair.components.placement.admission import FIRST_ATTEMPT_SHARE, MAX_RETRY_SHARE

HEARD_FRACTION: Final = 0.5
"""Share of the fleet, this daemon included, whose runs have to be known: the rest is then at most as
large again, as where half of the fleet stays down."""
MAX_OPENING_MS: Final = 1_000
"""Time after its start at which a daemon opens in any case: daemons that are up have been heard by
then, and others run nothing."""
MIN_SLOTS: Final = 2
"""Requests that a daemon may run at least, as fleets may have more daemons than slots."""
MIN_RETRY_MS: Final = 300
"""Shortest retry time: by then daemons know each other's runs, and the first runs may have ended."""


class ReturnOutcome(StrEnum):
    """What became of a request that arrived before admission was open."""

    ADMITTED = "admitted"
    """Within this daemon's share of the slots."""
    RETRIED = "retried"
    """Admitted beyond the share, as its caller may not retry once more."""
    REFUSED = "refused"
    """Refused as not run."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that arrives before admission is open."""

    slots: int
    """Slots of the upstreams of its service."""
    running: int
    """Runs of this daemon at these upstreams."""
    run_ms: float
    """Usual duration of a run."""
    timeout_ms: int
    """Full timeout of the request."""
    left_ms: int
    """Time left until that timeout."""


@dataclass(frozen=True, slots=True)
class OpeningDecision:
    """Whether a request is admitted, and after how many ms its caller should retry if not."""

    outcome: ReturnOutcome
    retry_after_ms: int = 0


class AdmissionOpening:
    """Limits the admitted requests of a daemon that has just started."""

    def __init__(self, clock: Clock, rng: random.Random) -> None:
        """Start closed, without knowledge of other daemons."""
        self._clock = clock
        self._random = rng
        self._started_at = clock.now()
        self._open = False
        self._members = 1
        self._refused = 0

    @property
    def share(self) -> float:
        """The share of the slots that this daemon may use by itself; 1 once admission is open."""
        return 1.0 if self._open else 1 / self._members

    @property
    def age_ms(self) -> int:
        """Time since the start of this daemon."""
        return self._clock.now() - self._started_at

    def is_open(self) -> bool:
        """Return whether admission is open."""
        return self._open

    def apply_fleet(self, responsive: int, members: int, *, loaded: bool) -> bool:
        """Apply how many daemons are heard; returns whether this opens admission.

        `loaded` tells whether `members` comes from the sessions in the store.
        """
        self._members = max(1, responsive, members)
        if self._open:
            return False
        heard = loaded and responsive >= self._members * HEARD_FRACTION
        self._open = heard or self.age_ms >= MAX_OPENING_MS
        return self._open

    def decide(self, arrival: Arrival) -> OpeningDecision:
        """Return whether to admit a request that arrives before admission is open."""
        limit = max(MIN_SLOTS, arrival.slots // self._members)
        if arrival.running < limit:
            return OpeningDecision(ReturnOutcome.ADMITTED)
        # A caller that retries has no further attempt: a late answer is better than none.
        if arrival.left_ms < arrival.timeout_ms * FIRST_ATTEMPT_SHARE:
            return OpeningDecision(ReturnOutcome.RETRIED)
        # Each round of `limit` refused requests gets the time of one more run.
        rounds = 1 + self._refused / limit
        self._refused += 1
        retry_ms = max(MIN_RETRY_MS, (rounds + self._random.random()) * arrival.run_ms)
        longest_ms = arrival.left_ms * MAX_RETRY_SHARE
        if retry_ms > longest_ms:
            # Spread over the time that is left, instead of all at its end.
            retry_ms = MIN_RETRY_MS + self._random.random() * max(0.0, longest_ms - MIN_RETRY_MS)
        return OpeningDecision(ReturnOutcome.REFUSED, int(min(retry_ms, longest_ms)))
