"""Decides when results are written during and after an outage of the store; no I/O.

Designed for a store that refuses calls or is silent for 4.5 to 9 s, for all VMs or for some, while
jobs run. During the outage one job at a time tries a commit. Afterwards the jobs are written in the
order of their due times, and the daemons start at random times within a second.
"""

import random
from collections.abc import Collection
from dataclasses import dataclass
from enum import Enum, auto
from typing import Final

from goldcreststair.clock import Millis
from goldcreststair.components.jobs.registry import OwnedJob

OUTAGE_FAILURES: Final = 3
"""Consecutive failed commits that count as an outage although the store answers other calls. A
single lost answer must not delay the commits of other jobs."""
PROBE_MS: Final = 300
"""Interval between attempts during an outage."""
SPREAD_MS: Final = 1_000
"""Time over which the daemons of the fleet start to write after an outage."""
URGENT_MS: Final = 300
"""Time that a commit may take: results that are due sooner than this after the random delay are
written at once."""
MAX_TURNS: Final = 4
"""Jobs written at the same time after an outage: a store that has just returned may be slow."""


class Phase(Enum):
    """State of the store as the commits of this daemon show it."""

    NORMAL = auto()
    OUTAGE = auto()
    RETURNED = auto()
    """The store answers again, and results still wait."""


@dataclass(frozen=True, slots=True)
class OutageSummary:
    """What was written after an outage."""

    outage_ms: int
    delay_ms: int
    """Random delay before the first commit."""
    commits: int
    results: int
    size: int
    """Bytes of the results' texts."""


class OutageController:
    """Grants turns: a job that has one may attempt its commit."""

    def __init__(self, rng: random.Random) -> None:
        """Assume that the store is available."""
        self._random = rng
        self._phase = Phase.NORMAL
        self._failures = 0
        """Failed commits since the last one that succeeded."""
        self._began_at = self._failed_at = self._returned_at = self._probe_at = Millis(0)
        self._delay_ms = 0
        self._turns: set[OwnedJob] = set()
        self._commits = self._results = self._size = 0

    @property
    def is_outage(self) -> bool:
        """Whether commits need a turn."""
        return self._phase is not Phase.NORMAL

    def has_turn(self, job: OwnedJob) -> bool:
        """Return whether a job may attempt its commit now."""
        return job in self._turns

    def record_failure(self, job: OwnedJob, began_at: Millis, now: Millis, *, away: bool) -> bool:
        """Record a failed commit that began at `began_at`; returns whether an outage begins.

        `away` tells whether the store has not answered any call for a while.
        """
        self._turns.discard(job)
        self._failures += 1
        if self._phase is Phase.RETURNED and began_at < self._returned_at:
            # The attempt was sent during the outage and says nothing about the store now.
            return False
        self._failed_at, self._probe_at = now, Millis(now + PROBE_MS)
        if self._phase is Phase.NORMAL:
            if not away and self._failures < OUTAGE_FAILURES:
                return False
            self._phase, self._began_at = Phase.OUTAGE, began_at
            self._commits = self._results = self._size = 0
            return True
        self._phase = Phase.OUTAGE
        return False

    def record_success(self, job: OwnedJob, now: Millis, results: int, size: int) -> None:
        """Record a commit that the store accepted."""
        self._turns.discard(job)
        self._failures = 0
        if self._phase is Phase.NORMAL:
            return
        self._commits += 1
        self._results += results
        self._size += size
        if self._phase is Phase.OUTAGE:
            self._begin_return(now)

    def release_turn(self, job: OwnedJob) -> None:
        """End the turn of a job whose commits have ended."""
        self._turns.discard(job)

    def record_contact(self, now: Millis, age_ms: int) -> None:
        """Use the age of the store's last answer to any call, which may follow the last failure."""
        if self._phase is Phase.OUTAGE and now - age_ms > self._failed_at:
            self._begin_return(now)

    def choose(self, waiting: Collection[OwnedJob], now: Millis) -> list[OwnedJob]:
        """Grant turns to waiting jobs, those first whose results are due soonest."""
        # Results that are late already gain nothing from being first.
        ranked = sorted(
            (job for job in waiting if job not in self._turns),
            key=lambda job: (job.due_at < now, job.due_at),
        )
        if self._phase is Phase.OUTAGE:
            chosen = ranked[:1] if not self._turns and now >= self._probe_at else []
        else:
            due = [job for job in ranked if self._may_write(job, now)]
            chosen = due[: max(0, MAX_TURNS - len(self._turns))]
        self._turns.update(chosen)
        return chosen

    def finish(self, now: Millis, *, waiting: bool) -> OutageSummary | None:
        """End the return once no job waits or writes; returns what was written."""
        if self._phase is not Phase.RETURNED or waiting or self._turns:
            return None
        self._phase = Phase.NORMAL
        outage_ms = self._returned_at - self._began_at
        return OutageSummary(outage_ms, self._delay_ms, self._commits, self._results, self._size)

    def _begin_return(self, now: Millis) -> None:
        self._phase, self._returned_at = Phase.RETURNED, now
        # After a short outage few results wait, so that they are spread over less time.
        self._delay_ms = round(self._random.random() * min(SPREAD_MS, now - self._began_at))

    def _may_write(self, job: OwnedJob, now: Millis) -> bool:
        write_at = self._returned_at + self._delay_ms
        return now >= write_at or now <= job.due_at < write_at + URGENT_MS
