"""Tests with a request that crashes each upstream that runs it."""

import asyncio

import pytest

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.helpers.crash_evidence import CRASHES_TO_REFUSE
from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import GatewayFleet
from tests.helpers.crash_plays import count_trials
from tests.helpers.gateways import async_read, async_send, async_submit, run_fleet

POISON = b"crash"


def test_request_that_crashes_upstreams_is_refused_everywhere() -> None:
    """Guards against one request that brings down all engines, and all streams on them.

    A caller's request crashes each engine that runs it, and its client sends it again, each time to
    another VM and with another id. After three crashes no VM runs it any more, while requests that
    ran on the same engines complete.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(6)
        fleet.engines.poison = POISON
        members = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        concurrent = [
            asyncio.create_task(async_send(fleet, members[n % 3], f"/stream/{n}", b"%d" % n))
            for n in range(12)
        ]
        answers = []
        for attempt in range(6):
            answers.append(await async_send(fleet, members[attempt % 3], "/stream/p", POISON))
            await fleet.clock.async_sleep(500)
            fleet.restart_engines()
        assert fleet.engines.crashes <= CRASHES_TO_REFUSE + 1
        last = answers[-1].refusal
        assert last is not None and last.code is RefusalCode.QUARANTINED and last.not_run
        for member in members:
            answer = await async_send(fleet, member, "/stream/p", POISON)
            assert answer.refusal is not None and answer.refusal.code is RefusalCode.QUARANTINED
        assert all(answer.whole for answer in await asyncio.gather(*concurrent))
        assert (await async_send(fleet, members[0], "/stream/q", b"other")).whole

    run_fleet(scenario)


def test_batch_item_that_crashes_upstreams_does_not_block_others() -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(4)
        fleet.engines.poison = b"digest-1"
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, member, "digest", 4)).accepted
        for _ in range(20):
            await fleet.clock.async_sleep(500)
            fleet.restart_engines()
        assert fleet.engines.crashes <= CRASHES_TO_REFUSE + 1 + count_trials(10_000)
        done = {result.item_id for result in (await async_read(member, "digest")).results}
        assert done == {"digest-0", "digest-2", "digest-3"}

    run_fleet(scenario)


def test_item_that_ran_during_crashes_completes() -> None:
    """Guards against an innocent item that is left waiting although upstreams are free.

    It was running at the three crashes that other requests caused.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(6)
        fleet.engines.events = 100
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, member, "digest", 1)).accepted
        for _ in range(CRASHES_TO_REFUSE):
            await fleet.async_wait(lambda: any(engine.running for engine in engines), 3_000)
            await fleet.clock.async_sleep(100)
            for engine in engines:
                engine.up = engine.up and not engine.running
            await fleet.clock.async_sleep(300)
            fleet.restart_engines()
        await fleet.clock.async_sleep(25_000)
        assert len((await async_read(member, "digest")).results) == 1

    run_fleet(scenario)


@pytest.mark.parametrize("leaves", [False, True])
def test_item_that_crashes_upstreams_is_tried_more_and_more_rarely(leaves: bool) -> None:
    """Guards against an item that is sent to one upstream after the other and crashes each, until it expires."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(4)
        fleet.engines.poison = b"digest-0"
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        assert (await async_submit(fleet, first, "digest", 1)).accepted
        for number in range(116):
            await fleet.clock.async_sleep(500)
            if not any(engine.running for engine in engines):
                fleet.restart_engines()
            if leaves and number == 60:
                first.core.get(ENTRY).leave()
        assert fleet.engines.crashes <= CRASHES_TO_REFUSE + 3 + count_trials(58_000)
        page = await async_read(second, "digest")
        assert not page.results
        await fleet.clock.async_sleep(6_000)
        page = await async_read(second, "digest")
        assert [result.done for result in page.results] == [False]

    run_fleet(scenario)


def test_broken_connection_does_not_count_as_crash() -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        for _ in range(5):
            sending = asyncio.create_task(async_send(fleet, member, "/once/a", b"same"))
            await fleet.clock.async_sleep(100)
            engine.up = False
            await fleet.clock.async_sleep(35)
            engine.up = True
            await sending
            await fleet.clock.async_sleep(500)
        assert (await async_send(fleet, member, "/once/a", b"same")).whole

    run_fleet(scenario)


def test_log_of_a_crash_names_the_prompt_parts(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against crashes whose cause cannot be told from the logs."""

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        sending = asyncio.create_task(
            async_send(fleet, member, "/once/a", request_id="r", parts=("a", "b", "own"))
        )
        await fleet.clock.async_sleep(100)
        engine.up = False
        await sending
        await fleet.clock.async_sleep(200)
        assert b"goldcreststair_upstream_crashes_total 1.0" in member.core.meters.render()

    run_fleet(scenario)
    (crash,) = [record for record in caplog.records if "Upstream crashed" in record.message]
    lost = vars(crash)["lost"]
    assert [run["request"] for run in lost] == ["r"]
    assert lost[0]["parts"] == ("a", "b", "own") and lost[0]["events"] > 0
