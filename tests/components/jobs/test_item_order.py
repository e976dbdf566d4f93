"""Order of items and choice of runs to preempt where the feature `outage-jobs` is active."""

from dataclasses import dataclass

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.jobs.estimate import FIRST_EVENT_MS, WorkEstimate
from goldcreststair.components.jobs.item_order import (
    ItemOrder,
    choose_least_loss,
    count_unsaved_events,
)
from goldcreststair.components.jobs.models import ItemResult
from goldcreststair.components.jobs.registry import (
    ItemProgress,
    ItemState,
    JobRegistry,
    OwnedJob,
)
from tests.components.jobs.test_execution import make_job


@dataclass
class Run:
    """A run of the only item of a job."""

    job: OwnedJob
    item: ItemProgress
    first_event: int


def estimate_remaining_ms(item: ItemProgress) -> float:
    """Return 10 ms for each remaining event, of 100 in total."""
    return FIRST_EVENT_MS + (100 - item.last_event) * 10.0


def make_run(name: str, due_at: int, first: int, saved: int, last: int) -> Run:
    """Return a run that began after event `first`."""
    job = make_job(name, 1, due_at)
    job.items[0].saved_event, job.items[0].last_event = saved, last
    return Run(job, job.items[0], first)


@pytest.mark.parametrize(
    ("runs", "order"),
    [
        # The run with the least work since its start, not the one with the most left.
        ([("long", 9_000, 0, 0, 40), ("resumed", 9_000, 48, 0, 50)], ["resumed", "long"]),
        # What is saved in the store is not lost.
        ([("unsaved", 9_000, 0, 0, 30), ("saved", 9_000, 0, 38, 40)], ["saved", "unsaved"]),
        # Late items first, as without the feature.
        ([("in time", 9_000, 0, 0, 1), ("late", 100, 0, 0, 50)], ["late", "in time"]),
        # A run near its end frees its slot soon anyway, even if it is late.
        ([("ends", 100, 75, 75, 76), ("works", 9_000, 0, 0, 60)], ["works", "ends"]),
        # Equal losses: the most remaining work.
        ([("short", 9_000, 50, 0, 60), ("long", 9_000, 10, 0, 20)], ["long", "short"]),
    ],
)
def test_run_that_loses_least_is_preempted(
    runs: list[tuple[str, int, int, int, int]], order: list[str]
) -> None:
    chosen = choose_least_loss(
        [make_run(*run) for run in runs], len(runs), Millis(0), estimate_remaining_ms
    )
    assert [run.job.key.job for run in chosen] == order


@pytest.mark.parametrize(
    ("change", "active", "first"),
    [
        ("", True, "soon"),
        # One item of `soon` can no longer be in time, or was given up: the job is not whole.
        ("pause", True, "later"),
        ("give up", True, "later"),
        ("give up", False, "soon"),
    ],
)
def test_items_of_jobs_that_can_be_whole_come_first(change: str, active: bool, first: str) -> None:
    """Slots went to items of jobs that were late as a whole, and two jobs missed their due time."""
    soon, later = make_job("soon", 2, 2_000), make_job("later", 1, 3_000)
    if change == "pause":
        soon.items[0].not_before = Millis(5_000)
    if change == "give up":
        soon.items[0].state = ItemState.FINISHED
        soon.finished.append((soon.items[0], ItemResult("soon0", done=False)))
    registry = JobRegistry()
    registry.jobs = {job.key: job for job in (soon, later)}
    order = ItemOrder(registry, WorkEstimate(), lambda _: active)
    assert order.list_startable(Millis(0))[0].job.key.job == first


def test_unsaved_events_are_computed_again() -> None:
    job = make_job("job", 3, 1_000)
    for item, state in zip(
        job.items, (ItemState.RUNNING, ItemState.FINISHED, ItemState.COMMITTED), strict=True
    ):
        item.state, item.saved_event, item.last_event = state, 30, 50
    assert count_unsaved_events(job) == 40
