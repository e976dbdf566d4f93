"""Calls about jobs at a VM that the store rejects, or that leaves."""

import pytest

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.jobs.models import JobKey
from goldcreststair.components.jobs.protocols import JOB_ROUTER
from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import FleetMember, GatewayFleet
from tests.helpers.gateways import CUSTOMER, async_submit, run_fleet

KEY = JobKey(CUSTOMER, "digest")


async def async_reject(fleet: GatewayFleet, member: FleetMember) -> None:
    """Let the store reject a VM, and wait until the VM has noticed."""
    member.view.cut = True
    await fleet.clock.async_sleep(1_500)


async def async_leave(fleet: GatewayFleet, member: FleetMember) -> None:
    """Start a planned leave of a VM."""
    member.core.get(ENTRY).leave()
    await fleet.clock.async_sleep(100)


@pytest.mark.parametrize("trouble", [async_reject, async_leave])
def test_job_is_accepted_by_another_daemon(trouble) -> None:  # type: ignore[no-untyped-def]
    """A job reached a VM that the store rejected, and missed its due time.

    The VM waited for the store until the caller gave up. Another daemon that can reach the store
    must accept the job at once, unnoticed by the caller.
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


def test_calls_at_a_vm_without_the_store_reach_the_job() -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, second, "digest", 2)).accepted
        await async_reject(fleet, first)
        router = first.core.get(JOB_ROUTER)
        assert (await router.async_read_body(KEY, "digest-1")).unwrap() == b"digest-1"
        missing = await router.async_read_results(JobKey(CUSTOMER, "other"), 0, 0)
        assert missing.unwrap_err().problem.value == "missing"
        assert (await router.async_end(KEY)).is_ok()
        fleet.add_engines(1)
        await fleet.clock.async_sleep(3_000)
        (engine,) = fleet.engines.by_address.values()
        assert engine.ran == []

    run_fleet(scenario)


def test_job_is_refused_at_once_if_no_daemon_can_reach_the_store() -> None:
    """A submission hung for seconds before it was refused.

    A job that no daemon can store must be refused at once, as not run and with a retry delay.
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
