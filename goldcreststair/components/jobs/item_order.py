"""Decides which items start first and which runs are preempted; no I/O.

Designed for jobs beside online bursts during an outage of the store, when no progress can be saved:
the items of jobs that can still be completed whole come first, and the runs are preempted that lose
least. Outside of outages both rules cost items in time under overload, so that they do not apply.
"""

from collections.abc import Callable, Iterable, Sequence
from typing import Final, Protocol, TypeVar

from goldcreststair.clock import Millis
from goldcreststair.components.jobs.estimate import FIRST_EVENT_MS, WorkEstimate
from goldcreststair.components.jobs.registry import (
    EstimateRemaining,
    ItemProgress,
    ItemState,
    JobRegistry,
    OwnedJob,
    RankedItem,
    choose_preempted,
    is_late,
)

NEAR_END_MS: Final = 300
"""A run that ends within this time is preempted last: its slot becomes free soon anyway."""


class ResumedRun(Protocol):
    """A run of an item from an event on."""

    job: OwnedJob
    item: ItemProgress
    first_event: int
    """Last event of the item when the run began."""


R = TypeVar("R", bound=ResumedRun)


class ItemOrder:
    """Orders the items of all jobs, by the rules of the feature for those in an outage."""

    def __init__(
        self,
        registry: JobRegistry,
        estimate: WorkEstimate,
        is_outage_for: Callable[[OwnedJob], bool],
    ) -> None:
        """Order the items of `registry`; `is_outage_for` tells whether the rules apply."""
        self._registry = registry
        self._estimate_ms = estimate.estimate_remaining_ms
        self._is_outage_for = is_outage_for

    def list_startable(self, now: Millis) -> list[RankedItem]:
        """Return the items that may start, the most urgent first.

        Among the items that can be in time, those of jobs that can be completed whole come first.
        Jobs to which this rule does not apply rank as if they could be completed.
        """
        ranked = self._registry.list_startable(now, self._estimate_ms)
        incomplete = {
            job.key
            for job in self._registry.jobs.values()
            if self._is_outage_for(job) and not can_be_whole(job, now, self._estimate_ms)
        }
        if not incomplete:
            return ranked
        return sorted(ranked, key=lambda each: (each.late, each.job.key in incomplete))

    def choose_preempted(self, running: Sequence[R], count: int, now: Millis) -> list[R]:
        """Return the `count` runs at an upstream to preempt."""
        active = any(self._is_outage_for(run.job) for run in running)
        choose = choose_least_loss if active else choose_preempted
        return choose(running, count, now, self._estimate_ms)


def can_be_whole(job: OwnedJob, now: Millis, estimate_remaining_ms: EstimateRemaining) -> bool:
    """Return whether all items of a job can be done by its due time."""
    results = [*job.committed, *(result for _, result in job.finished)]
    if not all(result.done for result in results):
        return False
    return not any(
        is_late(job, max(now, item.not_before), estimate_remaining_ms(item))
        for item in job.items
        if item.state in (ItemState.WAITING, ItemState.RUNNING)
    )


def choose_least_loss(
    running: Iterable[R], count: int, now: Millis, estimate_remaining_ms: EstimateRemaining
) -> list[R]:
    """Return the `count` runs to preempt.

    Runs near their end come last and runs of late items first, then those that lose the fewest
    events; among equal losses, those with the most remaining work.
    """

    def rank(run: R) -> tuple[bool, bool, int, float]:
        remaining_ms = estimate_remaining_ms(run.item)
        # The estimate is for a new run, which waits for its first event.
        near_end = remaining_ms - FIRST_EVENT_MS <= NEAR_END_MS
        late = is_late(run.job, now, remaining_ms)
        return near_end, not late, count_lost_events(run), -remaining_ms

    return sorted(running, key=rank)[:count]


def count_lost_events(run: ResumedRun) -> int:
    """Return the events since the start of a run that are not saved in the store."""
    return run.item.last_event - max(run.first_event, run.item.saved_event)


def count_unsaved_events(job: OwnedJob) -> int:
    """Return the events that another owner of a job has to compute again."""
    return sum(
        item.last_event - item.saved_event
        for item in job.items
        if item.state is not ItemState.COMMITTED
    )
