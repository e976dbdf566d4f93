"""Plays of a fleet whose callers send prompts with a part that crashes each upstream that answers on it."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

import pytest

from goldcreststair.components.crash_marks.const import LOAD_TIMEOUT_MS, TABLE, YOUNG_MS
from goldcreststair.components.crash_marks.service import CRASH_TRACKER, CrashTracker
from goldcreststair.helpers.crash_evidence import Suspects, hash_part
from goldcreststair.helpers.refusals import RefusalCode
from standins.crash_traffic import RESTART_MS, SYSTEM_PARTS, CrashLoad, CrashPart
from standins.gateways import FleetMember, GatewayFleet
from standins.run_engines import CrashManner, RunEngine
from tests.helpers.crash_plays import (
    STABLE_MS,
    CrashPlay,
    async_play,
    async_prepare,
    count_trials,
    play,
)
from tests.helpers.gateways import async_read, async_send, async_submit, run_fleet

BUDGET = 5


SHORT = CrashLoad(calm_s=6.0, crash_s=12.0)
LOADS = {
    "second part": SHORT,
    "first part": replace(SHORT, parts=(CrashPart(first=True),)),
    "after events": replace(SHORT, parts=(CrashPart(manner=CrashManner.EVENTS),)),
    "answer without a length": replace(SHORT, parts=(CrashPart(manner=CrashManner.NO_LENGTH),)),
    "silent upstream": replace(SHORT, parts=(CrashPart(manner=CrashManner.SILENT),)),
    "calls that are not resumed": replace(SHORT, path="/once/a"),
    "calls that are not streamed": replace(SHORT, path="/call/a"),
    "two parts": replace(SHORT, parts=(CrashPart("p1"), CrashPart("p2", first=True, per_s=3.0))),
    "no answers before": replace(SHORT, calm_s=0.0, parts=(CrashPart(first=True),)),
    "upstreams keep their names": replace(SHORT, renames=False),
    "many requests": replace(SHORT, sound_per_s=40.0, parts=(CrashPart(per_s=15.0),)),
    "few other requests": replace(SHORT, sound_per_s=1.0, parts=(CrashPart(per_s=2.0),)),
}


def test_requests_with_a_part_that_crashes_upstreams_stop_reaching_them() -> None:
    """Guards against different requests with one common part that crash upstream after upstream."""
    seen = play(CrashLoad())
    assert 3 <= len(seen.record.crashes) <= BUDGET
    assert not any("later than" in broken for broken in seen.list_broken())


def test_sound_requests_begin_while_a_part_crashes_upstreams() -> None:
    """Guards against sound requests that get no answer because others crash their upstreams."""
    assert play(CrashLoad()).list_broken() == []


@pytest.mark.parametrize("load", LOADS.values(), ids=LOADS.keys())
def test_a_part_is_refused_and_its_companions_are_not(load: CrashLoad) -> None:
    """Guards against a way in which upstreams crash, or in which requests come, that is not recognised."""
    seen = play(load, 1)
    assert len(seen.record.crashes) >= 3
    assert seen.list_broken() == []


@pytest.mark.parametrize("vms", [1, 30])
def test_a_part_is_refused_in_fleets_of_other_sizes(vms: int) -> None:
    """Guards against crashes that a single VM does not attribute, or that relays do not pass on."""
    seen = play(replace(SHORT, sound_per_s=40.0), vms=vms, engines=30)
    assert seen.list_broken() == []


def schedule_restart(fleet: GatewayFleet, engine: RunEngine) -> None:
    """Start an engine that crashed again under its name, after some time."""

    def restart() -> None:
        fleet.replace_engine(engine, renamed=False)

    fleet.clock.call_later(RESTART_MS, restart)


async def async_play_disturbed(
    fleet: GatewayFleet, load: CrashLoad, disturbed: FleetMember, since_s: float, until_s: float
) -> CrashPlay:
    """Play a load while a VM is cut off from the store and from the other VMs for some time."""
    began_at = fleet.clock.now()
    playing = asyncio.create_task(async_play(fleet, load))
    await fleet.clock.async_sleep(int(since_s * 1000))
    others = [each for each in fleet.members if each is not disturbed]
    disturbed.view.cut = True
    for other in others:
        fleet.datagrams.cut(disturbed.address, other.address)
        fleet.network.cut(disturbed.address, other.address)
    await fleet.clock.async_sleep(int((until_s - since_s) * 1000))
    disturbed.view.cut = False
    fleet.datagrams.clear_cuts()
    fleet.network.clear_cuts()
    seen = await playing
    span = (began_at + since_s * 1000, began_at + until_s * 1000)
    seen.disturbed[disturbed.address] = [span]
    return seen


def test_a_vm_that_was_cut_off_takes_over_the_verdict() -> None:
    """Guards against a VM that was cut off while a part was recognised, and sends requests with it on."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, 4, 10)
        load = replace(SHORT, crash_s=16.0)
        seen = await async_play_disturbed(fleet, load, fleet.members[3], 4.0, 12.0)
        assert seen.list_broken() == []

    run_fleet(scenario)


def test_a_part_is_refused_while_the_store_is_away() -> None:
    """Guards against a verdict that needs the store."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, 3, 10)
        playing = asyncio.create_task(async_play(fleet, replace(SHORT, renames=False)))
        await fleet.clock.async_sleep(5_000)
        fleet.store.faults.down = True
        await fleet.clock.async_sleep(8_000)
        fleet.store.faults.down = False
        seen = await playing
        assert seen.list_broken() == []
        assert len(seen.record.crashes) <= BUDGET
        # The verdict reaches the store once that is back.
        await fleet.clock.async_sleep(3_000)
        assert [key for key in fleet.store.rows if key.table == TABLE]

    run_fleet(scenario)


def test_verdicts_outlive_all_vms() -> None:
    """Guards against a part that crashes five more upstreams after the loss of all VMs."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, 3, 10)
        await async_play(fleet, SHORT)
        for member in tuple(fleet.members):
            await fleet.async_kill(member)
        await fleet.async_add_many(3)
        await fleet.clock.async_sleep(500)
        before = len(fleet.engines.record.arrivals)
        answers = [
            await async_send(fleet, member, "/stream/a", parts=("system-0", "crash", f"own{n}"))
            for n, member in enumerate(fleet.members)
        ]
        codes = [answer.refusal.code for answer in answers if answer.refusal is not None]
        assert codes == [RefusalCode.QUARANTINED] * 3
        assert len(fleet.engines.record.arrivals) == before

    run_fleet(scenario)


def test_a_vm_that_was_cut_off_takes_over_more_verdicts_than_a_beacon_holds() -> None:
    """Guards against verdicts that only the store or earlier beacons hold, at a VM that had neither."""

    async def scenario(fleet: GatewayFleet) -> None:
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        fleet.datagrams.cut(first.address, second.address)
        fleet.store.faults.down = True
        verdicts = [frozenset((hash_part(f"part-{n}"),)) for n in range(100)]
        for verdict in verdicts:
            first.core.get(CRASH_TRACKER).on_verdict(verdict)
        await fleet.clock.async_sleep(YOUNG_MS + 1_000)
        fleet.datagrams.clear_cuts()
        await fleet.clock.async_sleep(STABLE_MS)
        tracker = second.core.get(CRASH_TRACKER)
        assert all(tracker.is_refused(verdict | {b"other123"}) for verdict in verdicts)

    run_fleet(scenario)


def test_requests_are_not_delayed_while_the_store_is_away() -> None:
    """Guards against requests that each wait for verdicts which the store does not return."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(2)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        fleet.store.faults.silent = True
        waits = []
        for number in range(3):
            sent_at = fleet.clock.now()
            parts = ("shared", f"own{number}")
            answer = await async_send(fleet, member, f"/stream/{number}", parts=parts)
            assert answer.whole
            waits.append(answer.event_times[0] - sent_at)
        assert waits[0] <= waits[1] + LOAD_TIMEOUT_MS
        assert max(waits[1:]) < LOAD_TIMEOUT_MS

    run_fleet(scenario)


def test_items_with_a_part_that_crashes_upstreams_wait_and_do_not_hold_up_others() -> None:
    """Guards against items whose runs crash upstream after upstream, and against jobs that never end."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(6)
        fleet.engines.crash_parts = {"bad": CrashManner.HEAD}
        fleet.engines.on_crash = lambda engine: schedule_restart(fleet, engine)
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        parts = ["shared,bad,own0", "shared,other,own1", "shared,other,own2"]
        for number, member in enumerate((first, second, first)):
            job = f"job{number}"
            assert (await async_submit(fleet, member, job, 3, parts=parts)).accepted
        await fleet.clock.async_sleep(20_000)
        assert len(fleet.engines.record.crashes) <= BUDGET + count_trials(20_000)
        for number in range(3):
            page = await async_read(second, f"job{number}")
            assert {r.item_id for r in page.results} == {f"job{number}-1", f"job{number}-2"}
        await fleet.clock.async_sleep(60_000)
        assert len(fleet.engines.record.crashes) <= BUDGET + count_trials(80_000)
        page = await async_read(first, "job0")
        assert [(r.item_id, r.done) for r in page.results][-1] == ("job0-0", False)

    run_fleet(scenario)


def test_requests_that_wait_are_refused_when_the_verdict_falls() -> None:
    """Guards against requests that are queued, here or at an upstream, and crash it after the verdict."""

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        engine.slots, fleet.engines.events = 1, 100
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        parts = ("shared", "bad")
        sound = asyncio.create_task(async_send(fleet, member, "/stream/s", parts=("shared", "own")))
        await fleet.clock.async_sleep(200)
        waiting = [
            asyncio.create_task(
                async_send(fleet, member, f"/stream/{n}", parts=(*parts, f"own{n}"))
            )
            for n in range(6)
        ]
        await fleet.clock.async_sleep(300)
        assert engine.waiting
        member.core.get(CRASH_TRACKER).on_verdict(frozenset((hash_part("bad"),)))
        await fleet.clock.async_sleep(50)
        assert not engine.waiting and all(task.done() for task in waiting)
        refusals = [task.result().refusal for task in waiting]
        assert {r.code for r in refusals if r is not None} == {RefusalCode.QUARANTINED}
        assert all(r is not None and r.not_run == (r.status == 503) for r in refusals)
        assert (await sound).whole

    run_fleet(scenario)


def test_a_stream_that_its_caller_takes_up_is_refused() -> None:
    """Guards against a resumption that takes a crashing part to another upstream."""

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        member.core.get(CRASH_TRACKER).on_verdict(frozenset((hash_part("bad"),)))
        parts = ("bad", "own")
        answer = await async_send(fleet, member, "/stream/a", resumed=("r0", 3), parts=parts)
        assert answer.refusal is not None and answer.refusal.code is RefusalCode.QUARANTINED
        assert not engine.ran

    run_fleet(scenario)


def is_refused_nowhere(_: CrashTracker, __: Suspects) -> bool:
    """Return False: no verdict is applied."""
    return False


def is_refused_at_one_vm(tracker: CrashTracker, suspects: Suspects) -> bool:
    """Return what the first VM decides, and False at the others."""
    return tracker is FIRST_TRACKER[0] and tracker._verdicts.find(suspects) is not None


def is_refused_by_first_part(tracker: CrashTracker, suspects: Suspects) -> bool:
    """Return whether a request has the first part of those that crash upstreams."""
    has_verdict = tracker._verdicts.set_hash is not None
    return has_verdict and any(hash_part(name) in suspects for name in SYSTEM_PARTS)


FIRST_TRACKER: list[CrashTracker] = []


@pytest.mark.parametrize(
    ("planted", "expected"),
    [
        (is_refused_nowhere, "later than"),
        (is_refused_at_one_vm, "later than"),
        (is_refused_by_first_part, "sound requests"),
    ],
)
def test_the_rules_notice_a_planted_fault(
    planted: Callable[[CrashTracker, Suspects], bool],
    expected: str,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against checks that pass whatever the daemons do."""
    monkeypatch.setattr(CrashTracker, "is_refused", planted)
    plays: list[CrashPlay] = []

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, 3, 10)
        FIRST_TRACKER[:] = [fleet.members[0].core.get(CRASH_TRACKER)]
        plays.append(await async_play(fleet, CrashLoad(), 1))

    run_fleet(scenario)
    assert any(expected in broken for broken in plays[0].list_broken())
