"""Memory of the results that are not committed yet, and its bound; no I/O.

Designed for outages of the store of up to 9 s: finished results wait in memory while running items
add to them. At the bound, no further item starts.
"""

from dataclasses import dataclass
from typing import Final

from goldcreststair.components.jobs.registry import OwnedJob

MAX_WAITING_BYTES: Final = 8 * 1024 * 1024
"""Maximum bytes of results that wait to be committed at one daemon."""


@dataclass(frozen=True, slots=True)
class WaitingResults:
    """The results that wait to be committed, of one job or of all."""

    count: int = 0
    size: int = 0
    """Bytes of all texts."""
    largest: int = 0
    """Bytes of the longest text."""


class Backlog:
    """Sums up the results that wait to be committed, by job."""

    def __init__(self, max_bytes: int = MAX_WAITING_BYTES) -> None:
        """Start without results."""
        self._max_bytes = max_bytes
        self._by_job: dict[OwnedJob, WaitingResults] = {}
        self.total = WaitingResults()

    def update(self, job: OwnedJob) -> None:
        """Count the finished results of a job anew."""
        sizes = [len(result.text) for _, result in job.finished]
        if sizes:
            self._by_job[job] = WaitingResults(len(sizes), sum(sizes), max(sizes))
        else:
            self._by_job.pop(job, None)
        self._sum_up()

    def remove(self, job: OwnedJob) -> bool:
        """Remove a job whose commits have ended; returns whether results of it were waiting."""
        removed = self._by_job.pop(job, None) is not None
        if removed:
            self._sum_up()
        return removed

    def is_full(self, running: int) -> bool:
        """Return whether the results of one more item might exceed the bound.

        Running items are not stopped, so that each reserves as much as the longest waiting result.
        """
        reserved = (running + 1) * self.total.largest
        return self.total.size + reserved > self._max_bytes

    def _sum_up(self) -> None:
        waiting = self._by_job.values()
        self.total = WaitingResults(
            sum(each.count for each in waiting),
            sum(each.size for each in waiting),
            max((each.largest for each in waiting), default=0),
        )
