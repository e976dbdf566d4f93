"""Streams that are taken up at a VM that is out of step while upstreams of a new version join."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from enum import StrEnum

import pytest
from hypothesis import HealthCheck, Phase, given, settings
from hypothesis import strategies as st

from standins.gateways import FakeResponder, FleetMember, GatewayFleet
from standins.run_engines import read_software
from standins.virtual_time import VirtualTimeLoop
from tests.components.forwarding.test_software_versions import add_versions
from tests.components.stream_origins.test_fleet import (
    IDS,
    async_begin,
    async_read_history,
    async_take_up,
    set_software,
    start_streams,
)
from tests.helpers.gateways import async_send, run_fleet

VMS = 3
RELAYED_VMS = 30
"""Size of a fleet in which only relays receive the beacons of others."""
EXAMPLES = 100
RELAYED_EXAMPLES = 8
LATE_MS = 400
JOINED = "joined"
WHOLE = "went on"
REFUSED = "refused"
REFUSED_KNOWN = "refused, of the version from before"


class Trouble(StrEnum):
    """What keeps one VM from being up to date."""

    STORE = "cut off from the store"
    PEERS = "cut off from the other VMs"
    BOTH = "cut off from both"
    DEAF = "cut off from the store, and hears no other VM"
    MUTE = "cut off from the store, and no other VM hears it"
    LATE = "cut off from the store, and datagrams are late"
    STILL = "stands still"
    OUTAGE = "all VMs are cut off from the store"


@dataclass(frozen=True, slots=True)
class Play:
    """A VM out of step, a version that joins, and streams of it that break; times in ms."""

    trouble: Trouble
    joins_ms: int
    """From the beginning of the trouble until an upstream of another version joins."""
    begins_ms: int
    """From then until streams begin at another VM."""
    breaks_ms: int
    """From then until they break."""
    returns_ms: int
    """From then until their callers take them up at the VM that is out of step."""
    kills: bool = True
    """Whether they break because their VM is lost."""
    software: str = "v2"
    """Version of the upstream that joins; all upstreams that are there before run v1."""


PLAYS = st.builds(
    Play,
    st.sampled_from(Trouble),
    st.integers(0, 6_000),
    st.integers(10, 1_500),
    st.integers(20, 300),
    st.integers(1, 500),
    st.booleans(),
)


def disturb(fleet: GatewayFleet, member: FleetMember, play: Play) -> None:
    """Put a VM out of step until the end of a play; one that stands still wakes when it is asked."""
    others = [each.address for each in fleet.members if each is not member]
    trouble, datagrams = play.trouble, fleet.datagrams
    if trouble is Trouble.STILL:
        until = fleet.clock.now() + play.joins_ms + play.begins_ms
        until += play.breaks_ms + play.returns_ms
        member.view.held_until = datagrams.held_until[member.address] = until + 1
        return
    if trouble is not Trouble.PEERS:
        member.view.cut = True
    if trouble is Trouble.OUTAGE:
        fleet.store.faults.down = True
    if trouble is Trouble.LATE:
        datagrams.late[member.address] = LATE_MS
    for other in others:
        if trouble in (Trouble.PEERS, Trouble.BOTH):
            datagrams.cut(other, member.address)
            fleet.network.cut(other, member.address)
        elif trouble is Trouble.DEAF:
            datagrams.cut_one_way(other, member.address)
        elif trouble is Trouble.MUTE:
            datagrams.cut_one_way(member.address, other)


async def async_play(fleet: GatewayFleet, play: Play, vms: int) -> Counter[str]:
    """Return how often streams went on, were refused and were joined of two versions."""
    add_versions(fleet, "v1")
    members = await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(3_000)
    # Neither is a relay in a large fleet.
    first, second = members[-1], members[-2]
    await async_read_history(fleet, second)
    disturb(fleet, second, play)
    await fleet.clock.async_sleep(play.joins_ms)
    add_versions(fleet, play.software)
    await fleet.clock.async_sleep(play.begins_ms)
    sending = start_streams(fleet, first)
    await fleet.clock.async_sleep(play.breaks_ms)
    engines = fleet.engines.by_address.values()
    began = {call.request_id: e.software for e in engines for call in e.ran}
    if play.kills:
        await fleet.async_kill(first)
    await fleet.clock.async_sleep(play.returns_ms)
    found = Counter(
        judge(answer, began[each])
        for each, answer in (await async_take_up(fleet, second, began.keys() & IDS)).items()
    )
    await asyncio.gather(*sending, return_exceptions=True)
    return found


def judge(answer: FakeResponder, began: str) -> str:
    """Return what became of a stream that was taken up."""
    if answer.refusal is not None:
        assert answer.refusal.not_run
        return REFUSED_KNOWN if began == "v1" else REFUSED
    software = read_software(answer.body)
    return WHOLE if software <= {began} else JOINED


def play_out(play: Play, vms: int = VMS) -> Counter[str]:
    """Return the figures of one play on a new fleet."""
    found: list[Counter[str]] = []

    async def scenario(fleet: GatewayFleet) -> None:
        found.append(await async_play(fleet, play, vms))

    run_fleet(scenario)
    return found[0]


@pytest.mark.parametrize("vms", [VMS, RELAYED_VMS])
@pytest.mark.parametrize("trouble", Trouble)
def test_vm_out_of_step_joins_no_versions(trouble: Trouble, vms: int) -> None:
    """Guards against a list that was complete a moment ago and is taken for complete."""
    for joins_ms in (200, 4_000):
        play = Play(trouble, joins_ms, begins_ms=200, breaks_ms=100, returns_ms=20)
        assert play_out(play, vms)[JOINED] == 0


@pytest.mark.parametrize("trouble", [Trouble.STORE, Trouble.MUTE, Trouble.LATE])
def test_streams_go_on_where_another_vm_confirms_the_only_version(trouble: Trouble) -> None:
    """Guards against refusing streams of a lost VM at one that the store turns away."""
    play = Play(trouble, 2_000, begins_ms=200, breaks_ms=100, returns_ms=20, software="v1")
    assert play_out(play) == {WHOLE: len(IDS)}


def test_taking_up_streams_of_the_only_version_costs_a_call_of_the_store() -> None:
    """Guards against calls of the store for each stream while nothing is out of step."""

    async def scenario(fleet: GatewayFleet) -> None:
        add_versions(fleet, "v1")
        _, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        await async_read_history(fleet, second)
        await fleet.clock.async_sleep(100)
        calls = Counter(second.view.calls)
        taking_up = asyncio.create_task(async_take_up(fleet, second))
        await fleet.clock.async_sleep(30)
        made = Counter(second.view.calls) - calls
        assert made["follow"] == 1 and not made["read"]
        assert all(answer.whole for answer in (await taking_up).values())

    run_fleet(scenario)


@pytest.mark.parametrize("drops_history", [False, True])
def test_streams_of_a_version_that_came_and_went_unseen(drops_history: bool) -> None:
    """Guards against a history that lacks a version between two reads of the list."""

    async def scenario(fleet: GatewayFleet) -> None:
        add_versions(fleet, "v1")
        first, second, _ = await fleet.async_add_many(VMS)
        await fleet.clock.async_sleep(3_000)
        await async_read_history(fleet, second)
        disturb(fleet, second, Play(Trouble.BOTH, 0, 0, 0, 0))
        (brief,) = add_versions(fleet, "v2")
        await fleet.clock.async_sleep(200)
        began = await async_begin(fleet, first)
        assert "v2" in began.values()
        await fleet.clock.async_sleep(1_000)
        await fleet.async_kill(first)
        brief.up = False
        fleet.unregister(brief)
        if drops_history:
            fleet.store.drop_history()
        second.view.cut = False
        fleet.datagrams.clear_cuts()
        await fleet.clock.async_sleep(600)
        for each, answer in (await async_take_up(fleet, second, began.keys() & IDS)).items():
            assert judge(answer, began[each]) != JOINED

    run_fleet(scenario)


@settings(
    max_examples=EXAMPLES,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
    suppress_health_check=[HealthCheck.too_slow],
)
@given(PLAYS)
def test_no_versions_are_joined_in_any_play(play: Play) -> None:
    """A stream goes on at the version that began it, or is refused, whatever a VM has missed."""
    assert play_out(play)[JOINED] == 0


@settings(
    max_examples=RELAYED_EXAMPLES,
    deadline=None,
    derandomize=True,
    phases=(Phase.generate,),
    suppress_health_check=[HealthCheck.too_slow],
)
@given(PLAYS)
def test_no_versions_are_joined_in_a_fleet_with_relays(play: Play) -> None:
    """The same where a VM hears of others through relays only."""
    assert play_out(play, RELAYED_VMS)[JOINED] == 0


@pytest.mark.parametrize("stood_ms", [700, 800, 1_500, 2_800])
def test_upstreams_that_restarted_while_this_process_stood_still(stood_ms: int) -> None:
    """Guards against going on at an upstream that has other software under its name since the pause."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = add_versions(fleet, "v1", "v1")
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        began = asyncio.create_task(async_send(fleet, member, "/stream/a"))
        await fleet.clock.async_sleep(200)
        lost = next(engine for engine in engines if engine.running)
        (other,) = (engine for engine in engines if engine is not lost)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualTimeLoop)
        loop.pause(stood_ms / 1_000)
        # What the upstreams sent is read before what the store sent.
        member.view.held_until = fleet.clock.now() + 200
        set_software(fleet, other, "v2")
        fleet.register(other)
        lost.up = False
        assert len(read_software((await began).body)) == 1

    run_fleet(scenario)


@pytest.mark.parametrize("held_ms", [0, 500, 2_000])
def test_upstreams_that_restarted_while_the_list_did_not_arrive(held_ms: int) -> None:
    """Guards against going on at the version that an upstream ran before it restarted under its name."""

    async def scenario(fleet: GatewayFleet) -> None:
        kept, restarted = add_versions(fleet, "v1", "v1")
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        kept.up = restarted.up = False
        await async_send(fleet, member, "/stream/a")
        member.view.held_until = fleet.clock.now() + held_ms
        set_software(fleet, restarted, "v2")
        fleet.register(restarted)
        kept.up = restarted.up = True
        await fleet.clock.async_sleep(1_500)
        sending = start_streams(fleet, member)
        await fleet.clock.async_sleep(200)
        assert restarted.running
        restarted.up = False
        for answer in await asyncio.gather(*sending):
            assert len(read_software(answer.body)) <= 1

    run_fleet(scenario)


def test_streams_go_on_at_upstreams_that_returned_while_the_list_did_not_change() -> None:
    """Guards against waiting for the next change of the list before an upstream is trusted again."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = add_versions(fleet, "v1", "v1")
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(3_000)
        for engine in engines:
            engine.up = False
        await async_send(fleet, member, "/stream/a")
        for engine in engines:
            engine.up = True
        await fleet.clock.async_sleep(1_900)
        sending = start_streams(fleet, member)
        await fleet.clock.async_sleep(200)
        lost = next(engine for engine in engines if engine.running)
        lost.up = False
        assert all(answer.whole for answer in await asyncio.gather(*sending))

    run_fleet(scenario)
