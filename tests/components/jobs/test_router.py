"""Calls about jobs at a VM that the store turns away, or that leaves."""

import pytest

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.jobs.models import JobKey
from goldcreststair.components.jobs.protocols import JOB_ROUTER
from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import FleetMember, GatewayFleet
from tests.helpers.gateways import CUSTOMER, async_submit, run_fleet

KEY = JobKey(CUSTOMER, "digest")


async def async_turn_away(fleet: GatewayFleet, member: FleetMember) -> None:
    """Let the store turn a VM away, and wait until the VM knows."""
    member.view.cut = True
    await fleet.clock.async_sleep(1_500)


async def async_leave(fleet: GatewayFleet, member: FleetMember) -> None:
    """Let a VM leave."""
    member.core.get(ENTRY).leave()
    await fleet.clock.async_sleep(100)


@pytest.mark.parametrize("trouble", [async_turn_away, async_leave])
def test_a_job_is_accepted_by_another_daemon(trouble) -> None:  # type: ignore[no-untyped-def]
    """A digest job reached a VM that the store turned away, and missed its slot.

    The VM waited for the store until the caller had given it up. Another daemon, whose store answers,
    accepts it at once, and the caller never knows.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        await trouble(fleet, first)
        began = fleet.clock.now()
        answer = await async_submit(fleet, first, "digest", 2)
        assert answer.accepted and answer.ended_at - began < 100
        await fleet.clock.async_sleep(3_000)
        for member in (first, second):
            page = await member.core.get(JOB_ROUTER).async_read_results(KEY, 0, 0)
            assert len(page.unwrap().results) == 2

    run_fleet(scenario)


def test_reads_bodies_and_ends_reach_the_job_from_a_vm_without_the_store() -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, second, "digest", 2)).accepted
        await async_turn_away(fleet, first)
        front = first.core.get(JOB_ROUTER)
        assert (await front.async_read_body(KEY, "digest-1")).unwrap() == b"digest-1"
        missing = await front.async_read_results(JobKey(CUSTOMER, "other"), 0, 0)
        assert missing.unwrap_err().problem.value == "missing"
        assert (await front.async_end(KEY)).is_ok()
        fleet.add_engines(1)
        await fleet.clock.async_sleep(3_000)
        (engine,) = fleet.engines.by_address.values()
        assert engine.ran == []

    run_fleet(scenario)


def test_with_the_store_away_everywhere_a_job_is_refused_at_once() -> None:
    """A submission hung for seconds and was refused in the end.

    What cannot be kept anywhere is refused at once, as not run, with a time to come back.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        first, _ = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        fleet.store.faults.down = True
        await fleet.clock.async_sleep(1_500)
        began = fleet.clock.now()
        answer = await async_submit(fleet, first, "digest", 2)
        assert answer.refusal is not None and answer.refusal.not_run
        assert answer.refusal.code is RefusalCode.NOT_READY and answer.refusal.retry_after_ms
        assert answer.ended_at == began
        fleet.store.faults.down = False
        await fleet.clock.async_sleep(1_500)
        assert (await async_submit(fleet, first, "digest", 2)).accepted

    run_fleet(scenario)
