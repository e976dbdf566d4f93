"""Batch items and requests that are sound stay owed, however upstreams crash under them."""

import asyncio
from collections.abc import Callable

import pytest

from goldcreststair.components.crash_marks.service import CRASH_TRACKER
from goldcreststair.helpers.crash_evidence import CRASHES_TO_REFUSE, hash_part
from goldcreststair.helpers.crash_verdicts import ITEM_TRIAL_PAUSES_MS, ONLINE_TRIALS_MS
from standins.gateways import GatewayFleet
from standins.run_engines import CrashManner, RunEngine, make_text
from tests.helpers.gateways import async_read, async_send, async_submit, run_fleet

EVENTS = 200
TICK_MS = 1_000
"""Time within which an item starts that may."""


async def async_prepare(fleet: GatewayFleet, vms: int, engines: int) -> list[RunEngine]:
    """Start daemons and engines."""
    added = fleet.add_engines(engines)
    await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(1_000)
    return added


def restart_later(fleet: GatewayFleet, engine: RunEngine, down_ms: int) -> None:
    """End an engine, and start it under another name after some time."""
    engine.up = False

    def restart() -> None:
        fleet.unregister(engine)
        fleet.replace_engine(engine, renamed=True)

    fleet.clock.call_later(down_ms, restart)


async def async_crash_running(fleet: GatewayFleet, times: int) -> None:
    """End, so many times, the engines that run an item, before they write anything."""
    engines = fleet.engines.by_address
    for _ in range(times):
        for engine in engines.values():
            engine.first_ms = 300
        await fleet.async_wait(lambda: any(e.running for e in engines.values()), 10_000)
        await fleet.clock.async_sleep(100)
        for engine in tuple(engines.values()):
            if engine.running:
                restart_later(fleet, engine, 400)
        await fleet.clock.async_sleep(300)
    for engine in engines.values():
        engine.first_ms = 40


@pytest.mark.parametrize("first_crash_ms", [2_000, 3_000, 4_000])
@pytest.mark.parametrize("vms", [1, 2])
def test_items_with_a_common_part_are_done_after_crashes_by_chance(
    first_crash_ms: int, vms: int
) -> None:
    """Guards against items that wait until they expire, as upstreams crashed while they were being written."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.engines.events = EVENTS
        engines = await async_prepare(fleet, vms, 10)
        items = 120
        parts = [f"shared,own{number}" for number in range(items)]
        await async_submit(fleet, fleet.members[0], "j", items, parts=parts)
        await fleet.clock.async_sleep(first_crash_ms)
        for engine in engines[:5]:
            restart_later(fleet, engine, 700)
            await fleet.clock.async_sleep(800)
        await fleet.clock.async_sleep(25_000)
        page = await async_read(fleet.members[-1], "j")
        assert len(page.results) == items and all(result.done for result in page.results)

    run_fleet(scenario)


@pytest.mark.parametrize("parts", [(), ("shared",)])
@pytest.mark.parametrize("crashes", [3, 4, 6])
def test_a_sound_item_is_placed_again_after_crashes(parts: tuple[str, ...], crashes: int) -> None:
    """Guards against a sound item that is never placed again, as upstreams crashed before its first event."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, 2, 6)
        listed = [",".join((*parts, "own"))]
        await async_submit(fleet, fleet.members[0], "j", 1, parts=listed)
        await async_crash_running(fleet, crashes)
        pause_ms = ITEM_TRIAL_PAUSES_MS[crashes - CRASHES_TO_REFUSE]
        await fleet.clock.async_sleep(pause_ms + TICK_MS + 1_000)
        (result,) = (await async_read(fleet.members[1], "j")).results
        assert result.done and result.text == make_text("j-0", 20)

    run_fleet(scenario)


def test_items_of_a_refused_part_run_again_once_one_of_them_has_run() -> None:
    """Guards against a verdict that nothing can refute, as nothing runs under it."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, 2, 6)
        for member in fleet.members:
            member.core.get(CRASH_TRACKER).on_verdict(frozenset((hash_part("shared"),)))
        parts = [f"shared,own{number}" for number in range(20)]
        await async_submit(fleet, fleet.members[0], "j", 20, parts=parts)
        await fleet.clock.async_sleep(ITEM_TRIAL_PAUSES_MS[0] + TICK_MS + 4_000)
        assert len((await async_read(fleet.members[1], "j")).results) == 20
        for member in fleet.members:
            answer = await async_send(fleet, member, "/stream/a", parts=("shared", "own"))
            assert answer.whole

    run_fleet(scenario)


async def async_ask_often(
    fleet: GatewayFleet, part: str, until_ms: int, is_done: Callable[[], bool]
) -> None:
    """Send a request with a part to each VM, twice a second, until a time or a condition."""
    ends_at, number = fleet.clock.now() + until_ms, 0
    while fleet.clock.now() < ends_at and not is_done():
        number += 1
        for member in fleet.members:
            sending = async_send(fleet, member, f"/once/{number}", parts=(part, f"own{number}"))
            asyncio.create_task(sending).add_done_callback(lambda done: done.exception())
        await fleet.clock.async_sleep(500)


def test_a_sound_part_is_not_refused_for_long() -> None:
    """Guards against online requests that a wrong verdict refuses until it expires."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, 3, 6)
        verdict = frozenset((hash_part("shared"),))
        trackers = [member.core.get(CRASH_TRACKER) for member in fleet.members]
        trackers[0].on_verdict(verdict)

        def is_released() -> bool:
            return not any(tracker.is_refused(verdict) for tracker in trackers)

        await fleet.clock.async_sleep(500)
        assert all(tracker.is_refused(verdict) for tracker in trackers)
        await async_ask_often(fleet, "shared", 2 * ONLINE_TRIALS_MS[0], is_released)
        assert is_released()

    run_fleet(scenario)


def test_a_part_that_crashes_upstreams_takes_two_more_in_a_day() -> None:
    """Guards against trials that spend the three requests which may still reach upstreams."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, 3, 6)
        fleet.engines.crash_parts = {"bad": CrashManner.HEAD}
        fleet.engines.on_crash = lambda engine: restart_later(fleet, engine, 2_500)
        fleet.members[0].core.get(CRASH_TRACKER).on_verdict(frozenset((hash_part("bad"),)))
        await fleet.clock.async_sleep(500)
        await async_ask_often(fleet, "bad", ONLINE_TRIALS_MS[-1] + 60_000, lambda: False)
        assert len(fleet.engines.record.arrivals) == len(ONLINE_TRIALS_MS) == 2

    run_fleet(scenario, limit_s=2_000)


@pytest.mark.parametrize("is_served", [False, True])
def test_items_run_freely_once_another_software_version_has_answered(is_served: bool) -> None:
    """Guards against items that run one at a time for minutes, after a release that cut off the runs before it."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_prepare(fleet, 2, 8)
        for engine in engines:
            engine.first_ms, engine.software = 300, "v1"
            fleet.register(engine)
        await fleet.clock.async_sleep(1_000)
        parts = [f"shared,own{number}" for number in range(60)]
        await async_submit(fleet, fleet.members[0], "j", 60, parts=parts)
        await fleet.clock.async_sleep(150)
        for engine in engines[: 6 if is_served else None]:
            engine.software = "v2"
            restart_later(fleet, engine, 700)
            await fleet.clock.async_sleep(30)
        await fleet.clock.async_sleep(15_000)
        assert len((await async_read(fleet.members[1], "j")).results) == 60

    run_fleet(scenario)


@pytest.mark.parametrize("path", ["/once/{}", "/stream/{}"])
def test_a_trial_counts_though_its_crash_is_not_seen(path: str) -> None:
    """Guards against trial after trial, as each upstream that crashes under one is back before it is checked."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, 3, 6)
        fleet.engines.crash_parts = {"bad": CrashManner.HEAD}
        fleet.engines.on_crash = lambda engine: setattr(engine, "up", True)
        fleet.members[0].core.get(CRASH_TRACKER).on_verdict(frozenset((hash_part("bad"),)))
        await fleet.clock.async_sleep(ONLINE_TRIALS_MS[0])
        for number in range(40):
            for member in fleet.members:
                await async_send(fleet, member, path.format(number), parts=("bad", f"own{number}"))
            await fleet.clock.async_sleep(500)
        assert len(fleet.engines.record.arrivals) == 1

    run_fleet(scenario)


def test_a_trial_that_no_upstream_runs_is_repeated() -> None:
    """Guards against a sound part that stays refused, as the upstream of its trial was full."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_prepare(fleet, 2, 2)
        verdict = frozenset((hash_part("shared"),))
        trackers = [member.core.get(CRASH_TRACKER) for member in fleet.members]
        trackers[0].on_verdict(verdict)

        def is_released() -> bool:
            return not any(tracker.is_refused(verdict) for tracker in trackers)

        for engine in engines:
            engine.refuse = True
        await async_ask_often(fleet, "shared", ONLINE_TRIALS_MS[0] + 3_000, is_released)
        assert not is_released()
        for engine in engines:
            engine.refuse = False
        await async_ask_often(fleet, "shared", 5_000, is_released)
        assert is_released()

    run_fleet(scenario)
