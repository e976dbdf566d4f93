"""Estimates of the time that items take."""

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.jobs.estimate import FIRST_EVENT_MS, Pace, WorkEstimate
from goldcreststair.components.jobs.models import JobItem
from goldcreststair.components.jobs.protocols import JOBS
from goldcreststair.components.jobs.registry import ItemProgress, is_late
from goldcreststair.components.jobs.service import JobService
from standins.gateways import GatewayFleet
from tests.components.jobs.test_execution import make_job
from tests.helpers.gateways import async_read, async_submit, run_fleet

ROUTE, OTHER = 1, 2


def make_item(tokens: int, last_event: int = 0, route: int = ROUTE) -> ItemProgress:
    """Return an item."""
    item = ItemProgress(JobItem("i", "/", (), b"", tokens), 0, route)
    item.last_event = last_event
    return item


@pytest.mark.parametrize(
    ("learned", "reported", "remaining_ms"),
    [
        # Without observations the estimate is short, so that the item may start.
        ([], None, FIRST_EVENT_MS + 5 * 30),
        # The first answer counts in full, however far it is from the default.
        ([(200, 20)], None, FIRST_EVENT_MS + 200 * 20),
        ([(200, 20), (100, 10)], None, FIRST_EVENT_MS + 150 * 15),
        # A daemon without observations of its own uses another daemon's pace.
        ([], Pace(0.1, 20), FIRST_EVENT_MS + 200 * 20),
        # Own observations take precedence over reported ones.
        ([(200, 20)], Pace(0.5, 90), FIRST_EVENT_MS + 200 * 20),
    ],
)
def test_remaining_time_is_estimated_by_route(
    learned: list[tuple[int, int]], reported: Pace | None, remaining_ms: float
) -> None:
    estimate = WorkEstimate()
    for events, event_ms in learned:
        estimate.learn(make_item(2_000, events), events, int(FIRST_EVENT_MS) + events * event_ms)
    if reported is not None:
        estimate.apply_reported(ROUTE, reported)
    assert estimate.estimate_remaining_ms(make_item(2_000)) == pytest.approx(remaining_ms)
    assert estimate.estimate_remaining_ms(make_item(2_000, route=OTHER)) == FIRST_EVENT_MS + 5 * 30


def test_without_observations_a_job_is_not_late() -> None:
    """A job waited for ten seconds at a VM with free slots, and was late.

    The VM had just been replaced and had taken the job over. Without observations it used a default
    estimate three times too long, and classified the items as late.
    """
    job = make_job("digest", 1, due_at=12_000)
    job.items[0] = make_item(3_800)
    estimate = WorkEstimate()
    assert not is_late(job, Millis(0), estimate.estimate_remaining_ms(job.items[0]))


def test_daemons_share_their_estimates() -> None:
    """New VMs of a rolling replacement did not know how long items take.

    Until items had finished there, they started items that could not be in time before others that
    could.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        fleet.engines.events_by_request = {f"digest-{n}": 150 for n in range(4)}
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 4, tokens=1_500)).accepted
        await fleet.clock.async_sleep(6_000)
        assert len((await async_read(second, "digest")).results) == 4
        jobs = second.core.get(JOBS)
        assert isinstance(jobs, JobService)
        item = make_item(1_500, route=hash_name("/batch/"))
        assert jobs.estimate.estimate_remaining_ms(item) == pytest.approx(
            FIRST_EVENT_MS + 150 * 30, rel=0.05
        )

    run_fleet(scenario)
