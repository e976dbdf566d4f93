"""Turns of commits during and after an outage of the store, and the bound of waiting results."""

import random

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.jobs.backlog import Backlog
from goldcreststair.components.jobs.models import ItemResult
from goldcreststair.components.jobs.outage import (
    MAX_TURNS,
    OUTAGE_FAILURES,
    PROBE_MS,
    SPREAD_MS,
    OutageController,
)
from goldcreststair.components.jobs.registry import OwnedJob
from tests.components.jobs.test_execution import make_job

BEGAN, BACK = Millis(10_000), Millis(15_000)


def make_outage(job: OwnedJob, seed: int = 1) -> OutageController:
    """Return a controller in an outage that began with a failed commit of a job."""
    outage = OutageController(random.Random(seed))
    assert outage.record_failure(job, BEGAN, BEGAN, away=True)
    return outage


def make_jobs(*due: int) -> list[OwnedJob]:
    """Return jobs of one item that are due at these times."""
    return [make_job(f"job{number}", 1, due_at) for number, due_at in enumerate(due)]


@pytest.mark.parametrize(
    ("failures", "away", "began"),
    # A lost answer must not delay the commits of other jobs.
    [(1, False, False), (OUTAGE_FAILURES, False, True), (1, True, True)],
)
def test_outage_begins_after_several_failures_or_without_contact(
    failures: int, away: bool, began: bool
) -> None:
    outage = OutageController(random.Random(1))
    (job,) = make_jobs(20_000)
    for _ in range(failures):
        outage.record_failure(job, BEGAN, BEGAN, away=away)
    assert outage.is_outage == began


def test_one_job_at_a_time_tries_during_an_outage() -> None:
    """Every job repeated its commit by itself: 280 refused commits were logged in one outage."""
    jobs = make_jobs(30_000, 20_000, 40_000)
    outage = make_outage(jobs[0])
    assert outage.choose(jobs, Millis(BEGAN + PROBE_MS - 1)) == []
    assert outage.choose(jobs, Millis(BEGAN + PROBE_MS)) == [jobs[1]]
    assert outage.choose(jobs, Millis(BEGAN + 2 * PROBE_MS)) == []
    outage.record_failure(jobs[1], BEGAN, Millis(BEGAN + 1_000), away=True)
    assert outage.choose(jobs, Millis(BEGAN + 1_000 + PROBE_MS)) == [jobs[1]]


def test_jobs_are_written_in_the_order_of_their_due_times() -> None:
    """Late results come last, and a store that has just returned gets few commits at once."""
    jobs = make_jobs(60_000, 14_000, 50_000, 40_000, 30_000)
    outage = make_outage(jobs[0])
    outage.record_contact(BACK, 100)
    at = Millis(BACK + SPREAD_MS)
    assert outage.choose(jobs, at) == [jobs[4], jobs[3], jobs[2], jobs[0]][:MAX_TURNS]
    assert outage.choose(jobs, at) == []
    outage.record_success(jobs[4], at, 3, 300)
    assert outage.choose([job for job in jobs if job is not jobs[4]], at) == [jobs[1]]
    for job in jobs[:4]:
        outage.record_success(job, at, 1, 100)
    summary = outage.finish(at, waiting=False)
    assert summary is not None and (summary.commits, summary.results, summary.size) == (5, 7, 700)
    assert not outage.is_outage


@pytest.mark.parametrize(
    ("outage_ms", "spread_ms"), [(9_000, SPREAD_MS), (200, 200)], ids=["long", "short"]
)
def test_daemons_start_to_write_at_random_times(outage_ms: int, spread_ms: int) -> None:
    """All daemons wrote in the same moment after an outage, and the store refused some again."""
    starts = []
    for seed in range(40):
        (job,) = make_jobs(90_000)
        outage = make_outage(job, seed)
        back = Millis(BEGAN + outage_ms)
        outage.record_contact(back, 0)
        starts.append(next(ms for ms in range(2_000) if outage.choose([job], Millis(back + ms))))
    assert max(starts) <= spread_ms
    assert min(starts) < spread_ms / 4 and max(starts) > spread_ms * 3 / 4


def test_results_due_soon_do_not_wait_for_the_random_delay() -> None:
    soon, later = make_jobs(BACK + 100, 90_000)
    outage = make_outage(soon, seed=2)
    outage.record_contact(BACK, 0)
    assert outage.choose([later, soon], BACK) == [soon]


def test_attempt_sent_during_the_outage_does_not_renew_it() -> None:
    """A commit to a silent store fails a second after the store has returned."""
    jobs = make_jobs(90_000, 90_000)
    outage = make_outage(jobs[0])
    outage.record_contact(BACK, 0)
    outage.record_failure(jobs[0], Millis(BACK - 500), Millis(BACK + 500), away=False)
    assert len(outage.choose(jobs, Millis(BACK + SPREAD_MS))) == 2
    outage.record_failure(jobs[0], Millis(BACK + SPREAD_MS), Millis(BACK + 1_100), away=False)
    outage.release_turn(jobs[1])
    assert outage.choose(jobs, Millis(BACK + 1_200)) == []


def test_backlog_reserves_memory_for_running_items() -> None:
    """Running items are not stopped: their results must fit when the bound is reached."""
    backlog = Backlog(max_bytes=100)
    jobs = make_jobs(1, 2)
    assert not backlog.is_full(running=50)
    for job, size in zip(jobs, (10, 20), strict=True):
        job.finished.append((job.items[0], ItemResult("i", True, b"x" * size)))
        backlog.update(job)
    assert (backlog.total.count, backlog.total.size) == (2, 30)
    assert not backlog.is_full(running=2) and backlog.is_full(running=3)
    assert backlog.remove(jobs[1]) and not backlog.remove(jobs[1])
    jobs[0].finished.clear()
    backlog.update(jobs[0])
    assert backlog.total.count == 0 and not backlog.is_full(running=50)
