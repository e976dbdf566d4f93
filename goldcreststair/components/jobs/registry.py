"""The jobs that this daemon runs, which item goes next and which gives way; no I/O.

Load it answers: jobs of some ten items arrive all day while online bursts take every slot for
seconds. What has begun goes on first, and the rest by when its job is due: taken in turns, all items of
an overload would be late together. What cannot be in time any more goes after all that can.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol, TypeVar

from goldcreststair.clock import Millis
from goldcreststair.components.jobs.models import ItemResult, JobItem, JobKey, JobRecord, OpenJob


class ItemState(StrEnum):
    """How far an item is."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    """Its result is known and not listed."""
    COMMITTED = "committed"


@dataclass(slots=True)
class ItemProgress:
    """One item of an owned job."""

    item: JobItem
    number: int
    """Its place in the job."""
    route: int = 0
    """Names the route of its job, by the hash that beacons carry."""
    state: ItemState = ItemState.WAITING
    failures: int = 0
    """Runs that an upstream answered with a failure."""
    lost_runs: int = 0
    """Runs in a row that brought nothing and no answer."""
    silent_runs: int = 0
    """Runs in a row that were given up as silent."""
    not_before: Millis = Millis(0)
    last_event: int = 0
    data: list[bytes] = field(default_factory=list)
    """Data of the events so far, kept when a run gives way or is lost."""
    saved_event: int = 0
    """Events so far that stand in the store as well."""

    def resume(self, last_event: int, text: bytes) -> None:
        """Go on after what an earlier owner's runs had brought."""
        self.last_event = self.saved_event = last_event
        self.data = [text]


@dataclass(slots=True, eq=False)
class OwnedJob:
    """A job that this daemon runs; one that comes back is another."""

    record: JobRecord
    open: OpenJob
    items: list[ItemProgress]
    due_at: Millis
    """When all results are due, on this daemon's clock."""
    expires_at: Millis
    """When items may be given up, on this daemon's clock."""
    finished: list[tuple[ItemProgress, ItemResult]] = field(default_factory=list)
    """Results in the order in which they will be listed."""
    committed: list[ItemResult] = field(default_factory=list)
    route_missing_since: Millis | None = None
    """Since when its route is missing here."""
    lost: bool = False
    """Whether another daemon owns it, or it has ended."""

    @property
    def key(self) -> JobKey:
        """Its name."""
        return self.record.key

    @property
    def is_complete(self) -> bool:
        """Whether every item is listed."""
        return len(self.committed) == len(self.items)

    def find(self, item: str) -> ItemProgress | None:
        """Return one item."""
        return next((found for found in self.items if found.item.item == item), None)


EstimateRemaining = Callable[[ItemProgress], float]
"""Returns how many ms an item takes from a start now to its end."""


@dataclass(frozen=True, slots=True)
class RankedItem:
    """An item that may start."""

    job: OwnedJob
    item: ItemProgress
    late: bool
    """Whether it cannot be in time any more."""


class JobRegistry:
    """All jobs that this daemon runs."""

    def __init__(self) -> None:
        """Start with none."""
        self.jobs: dict[JobKey, OwnedJob] = {}

    def list_startable(
        self, now: Millis, estimate_remaining_ms: EstimateRemaining
    ) -> list[RankedItem]:
        """Return the items that may start, the most urgent first."""
        found = [
            RankedItem(job, item, is_late(job, now, estimate_remaining_ms(item)))
            for job in self.jobs.values()
            if not job.lost
            for item in job.items
            if item.state is ItemState.WAITING and item.not_before <= now
        ]
        return sorted(found, key=_rank)

    def list_expired(self, now: Millis) -> Iterator[tuple[OwnedJob, ItemProgress]]:
        """Yield the items whose time to wait is over and that do not run."""
        for job in self.jobs.values():
            if job.lost or now < job.expires_at:
                continue
            for item in job.items:
                if item.state is ItemState.WAITING:
                    yield job, item


def is_late(job: OwnedJob, now: Millis, remaining_ms: float) -> bool:
    """Return whether an item that takes so long cannot be in time."""
    return now + remaining_ms > job.due_at


def _rank(ranked: RankedItem) -> tuple[bool, bool, int, int]:
    item = ranked.item
    return ranked.late, item.last_event == 0, ranked.job.due_at, item.number


class RunningItem(Protocol):
    """A run of an item."""

    job: OwnedJob
    item: ItemProgress


R = TypeVar("R", bound=RunningItem)


def choose_preempted(
    running: Iterable[R], count: int, now: Millis, estimate_remaining_ms: EstimateRemaining
) -> list[R]:
    """Return the runs that give way: what is hopeless first, then what has most left to do."""

    def rank(run: R) -> tuple[bool, float]:
        remaining_ms = estimate_remaining_ms(run.item)
        return is_late(run.job, now, remaining_ms), remaining_ms

    return sorted(running, key=rank, reverse=True)[:count]
