"""In-memory registry of the jobs that this daemon owns: start order and preemption order; no I/O.

Jobs of about ten items arrive all day, while online bursts take every slot for seconds. Items that
have already run resume first, the others start in the order of their job's due time: with round
robin, all items would be late in an overload. Items that can no longer finish in time come last.
"""

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol, TypeVar

from goldcreststair.clock import Millis
from goldcreststair.components.jobs.models import (
    ItemResult,
    JobItem,
    JobKey,
    JobRecord,
    OpenJob,
    SavedProgress,
)
from goldcreststair.components.stream_origins.models import StreamOrigin
from goldcreststair.helpers.crash_evidence import Suspects


class ItemState(StrEnum):
    """State of an item at its owner."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    """Its result is known but not yet committed to the store."""
    COMMITTED = "committed"


@dataclass(slots=True)
class ItemProgress:
    """Progress of one item of an owned job."""

    spec: JobItem
    """The item as submitted."""
    number: int
    """Index of the item in its job."""
    route: int = 0
    """Hash of the route's name, as beacons carry it."""
    state: ItemState = ItemState.WAITING
    failures: int = 0
    """Runs that an upstream answered with a failure."""
    lost_runs: int = 0
    """Consecutive runs that ended without a conclusive answer."""
    silent_runs: int = 0
    """Consecutive runs that were aborted because the upstream went silent."""
    not_before: Millis = Millis(0)
    last_event: int = 0
    data: list[bytes] = field(default_factory=list)
    """Data of the events received so far; kept when a run is preempted or lost."""
    saved_event: int = 0
    """Last event whose data is saved in the store."""
    origin: StreamOrigin | None = None
    """The software that made the events; None if it is not known."""
    suspects: Suspects | None = None
    """Everything about the item that may crash upstreams; None before it is needed."""
    held_since: Millis | None = None
    """Since when no upstream of `origin` has had a free slot, while others had."""

    def resume(self, saved: SavedProgress) -> None:
        """Continue after the progress that an earlier owner saved."""
        self.last_event = self.saved_event = saved.last_event
        self.data = [saved.text]
        self.origin = saved.origin

    def start_over(self) -> None:
        """Drop the events received so far, as they cannot be continued."""
        self.last_event = self.saved_event = 0
        self.data = []
        self.origin = None
        self.held_since = None


@dataclass(slots=True, eq=False)
class OwnedJob:
    """A job that this daemon runs.

    Compared by identity: a job that is taken over again is a new object.
    """

    record: JobRecord
    open: OpenJob
    items: list[ItemProgress]
    due_at: Millis
    """Time by which all results are due, on this daemon's clock."""
    expires_at: Millis
    """Time from which unfinished items may be given up, on this daemon's clock."""
    finished: list[tuple[ItemProgress, ItemResult]] = field(default_factory=list)
    """Results to commit, in the order in which readers will see them."""
    committed: list[ItemResult] = field(default_factory=list)
    route_missing_since: Millis | None = None
    """Time since which the job's route is missing from the catalogue here."""
    lost: bool = False
    """Whether another daemon owns the job now, or the job has ended."""
    body_bytes: int = field(init=False)
    """Length of the bodies of all items, which are held until the job is complete."""

    def __post_init__(self) -> None:
        """Add up the bodies."""
        self.body_bytes = sum(len(item.spec.body) for item in self.items)

    @property
    def key(self) -> JobKey:
        """Key of the job."""
        return self.record.key

    @property
    def is_complete(self) -> bool:
        """Whether the results of all items are committed."""
        return len(self.committed) == len(self.items)

    def find(self, item: str) -> ItemProgress | None:
        """Return an item by its id, or None."""
        return next((found for found in self.items if found.spec.item_id == item), None)


EstimateRemaining = Callable[[ItemProgress], float]
"""Returns the ms that an item would take from a start now to its end."""


@dataclass(frozen=True, slots=True)
class RankedItem:
    """An item that may start."""

    job: OwnedJob
    item: ItemProgress
    late: bool
    """Whether the item can no longer finish by the job's due time."""


class JobRegistry:
    """The jobs that this daemon owns, by key."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self.jobs: dict[JobKey, OwnedJob] = {}

    def count_body_bytes(self) -> int:
        """Return the length of the bodies of all jobs."""
        return sum(job.body_bytes for job in self.jobs.values())

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
        """Yield the waiting items of expired jobs; running items are left out."""
        for job in self.jobs.values():
            if job.lost or now < job.expires_at:
                continue
            for item in job.items:
                if item.state is ItemState.WAITING:
                    yield job, item


def is_late(job: OwnedJob, now: Millis, remaining_ms: float) -> bool:
    """Return whether an item that still takes `remaining_ms` would finish after its due time."""
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
    """Return the `count` runs to preempt.

    Runs of late items come first, then those with the most remaining work.
    """

    def rank(run: R) -> tuple[bool, float]:
        remaining_ms = estimate_remaining_ms(run.item)
        return is_late(run.job, now, remaining_ms), remaining_ms

    return sorted(running, key=rank, reverse=True)[:count]
