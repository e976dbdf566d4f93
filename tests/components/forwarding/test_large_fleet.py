"""Tests of streams in a large fleet, where a daemon rarely has more than one run at an upstream."""

import asyncio

import pytest

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.placement.const import PREEMPT_MS
from goldcreststair.components.placement.service import PLACEMENT
from standins.gateways import FakeResponder, FleetMember, GatewayFleet
from tests.helpers.gateways import async_send, async_submit, run_fleet

VMS = 30
EVENTS = 20


async def async_start(fleet: GatewayFleet) -> list[FleetMember]:
    """Start a fleet and wait until every daemon has received the state of all others."""
    members = await fleet.async_add_many(VMS)
    await fleet.clock.async_sleep(4_000)
    return members


@pytest.mark.parametrize("queue_ms", [300, 600, 900])
def test_full_upstream_is_not_marked_down(queue_ms: int) -> None:
    """Guards against marking upstreams down because a request waits in their queue.

    In the first burst of a quiet day 117 upstreams were marked down and 27 callers got 502. A request
    waited longer than the upstream's known load suggested. Its VM had no other run there, took the silence
    for a crash, reported it to all others and ran the request again.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(3)
        for engine in engines:
            engine.first_ms = queue_ms
        members = await async_start(fleet)
        answers = [async_send(fleet, members[n], "/stream/a") for n in range(12)]
        served = await asyncio.gather(*answers)
        assert all(answer.whole for answer in served)
        assert sum(len(engine.ran) for engine in engines) == len(served)
        for member in members:
            assert not member.core.get(PLACEMENT).controller.upstreams.list_down()

    run_fleet(scenario)


@pytest.mark.parametrize("after_ms", [20, 200])
def test_upstream_that_accepts_no_connection_is_abandoned_within_the_accepted_pause(
    after_ms: int,
) -> None:
    """Guards against callers that wait for an upstream which crashed without closing its connections.

    Several VMs have one stream each there, so none has a second run whose silence would confirm the crash.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        members = await async_start(fleet)
        sending = asyncio.create_task(async_send(fleet, members[0], "/stream/a"))
        await fleet.clock.async_sleep(after_ms)
        gone = next(engine for engine in engines if engine.running)
        gone.unreachable = True
        answer = await sending
        assert answer.whole
        times = [answer.event_times[0], *answer.event_times]
        assert max(b - a for a, b in zip(times, times[1:], strict=False)) < 250
        began = answer.ended_at - answer.event_times[0]
        assert began < EVENTS * 30 + 400

    run_fleet(scenario)


def test_batch_is_preempted_before_a_request_is_late() -> None:
    """Guards against requests that wait for slots held by batch items of other VMs.

    After a loss of all VMs batch jobs of many VMs hold every slot when the next burst comes. The digests
    report an overloaded upstream only after 200 to 300 ms, and by then the first event would be late.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        fleet.engines.events_by_request = {f"j{n}-0": 400 for n in range(8)}
        members = await async_start(fleet)
        for number in range(8):
            await async_submit(fleet, members[number], f"j{number}", 1)
        await fleet.clock.async_sleep(3_000)
        assert engine.running >= engine.slots - 1
        for group in (members[10:14], members[16:20]):
            sent_at = fleet.clock.now()
            sending = [async_send(fleet, member, "/stream/a") for member in group]
            answers = await asyncio.gather(*sending)
            assert all(answer.whole for answer in answers)
            waits = [answer.event_times[0] - sent_at - engine.first_ms for answer in answers]
            assert max(waits) < 2 * PREEMPT_MS

    run_fleet(scenario)


def test_callers_that_return_to_a_restarted_fleet_are_not_refused() -> None:
    """Guards against rate-limit refusals right after all VMs of a large fleet have restarted.

    The callers return before the daemons receive each other's beacons. Each daemon used a thirtieth of the
    quota and refused most of the waiting callers, although nothing had been admitted for a second.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(4)
        fleet.write_catalogue(customers=({"name": "club", "rate_per_s": 5.0, "burst": 5.0},))

        fleet.datagrams.delay_ms = 60
        before = await fleet.async_add_many(VMS)
        await fleet.clock.async_sleep(4_000)
        for member in before:
            await fleet.async_kill(member)
        await fleet.clock.async_sleep(1_000)

        async def async_restart_and_send(number: int) -> FakeResponder | None:
            member = await fleet.async_add(before[number].address)
            await fleet.async_wait(lambda: member.core.get(ENTRY).is_ready(), 2_000)
            return await async_send(fleet, member, "/stream/a") if number % 7 == 0 else None

        answers = await asyncio.gather(*(async_restart_and_send(number) for number in range(VMS)))
        assert all(answer.whole for answer in answers if answer is not None)

    run_fleet(scenario)
