"""Jobs of owners that are lost, leave, or hear of an end too early."""

import asyncio

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.jobs.models import JobKey
from goldcreststair.components.jobs.protocols import JOBS
from standins.gateways import GatewayFleet
from tests.helpers.gateways import CUSTOMER, async_read, async_submit, run_fleet


def test_a_job_of_a_killed_owner_is_finished_by_another() -> None:
    """A digest job was accepted and its VM lost power right after.

    Its items must be finished all the same: another daemon reads the open job, takes it over, and every
    daemon shows the same results.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(2)
        first, second, third = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 5)).accepted
        await fleet.async_kill(first)
        await fleet.clock.async_sleep(12_000)
        pages = [await async_read(member, "digest") for member in (second, third)]
        assert pages[0] == pages[1]
        assert sorted(result.item for result in pages[0].results) == [
            f"digest-{number}" for number in range(5)
        ]
        assert all(result.done for result in pages[0].results)

    run_fleet(scenario)


def test_a_job_that_ends_while_it_is_taken_over_does_not_run() -> None:
    """A caller ended its job, was told so, and items of it ran seconds later.

    Its first owner was lost and another daemon was reading the job's items when the end came: the news
    met a daemon that did not run the job yet, and it began to afterwards.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        first, second, third = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 5)).accepted
        await fleet.async_kill(first)
        # The object of its items takes longer to read than the end takes.
        fleet.store.faults.slow_objects_ms = 300
        key = JobKey(CUSTOMER, "digest")
        owners = [member.core.get(JOBS) for member in (second, third)]
        fleet.add_engines(1)
        await fleet.async_wait(lambda: any(jobs.owns(key) for jobs in owners), 10_000)
        assert (await third.core.get(JOBS).async_end(key)).is_ok()
        await fleet.clock.async_sleep(5_000)
        (engine,) = fleet.engines.by_address.values()
        assert engine.ran == []

    run_fleet(scenario)


def test_a_leaving_owner_hands_its_jobs_over() -> None:
    """A VM was stopped as planned while it ran a job whose items take longer than its grace.

    What runs may end; the rest must go on elsewhere at once and not wait until the VM counts as lost.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        engine.slots = 3
        fleet.register(engine)
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 8)).accepted
        await fleet.clock.async_sleep(100)
        first.core.get(ENTRY).leave()
        await asyncio.wait_for(first.core.get(ENTRY).async_wait(), 8)
        await fleet.async_kill(first)
        await fleet.clock.async_sleep(6_000)
        assert len((await async_read(second, "digest")).results) == 8
        ran = [call.request_id for call in engine.ran]
        assert sorted(set(ran)) == sorted(ran), "no item ran twice"

    run_fleet(scenario)
