"""Tests of streams that callers take up at fleets whose upstreams run several software versions."""

import asyncio
from collections.abc import Iterable

import pytest

from goldcreststair.components.stream_origins.const import TABLE_SOFTWARE
from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import FakeResponder, FleetMember, GatewayFleet
from standins.run_engines import RunEngine, read_software
from tests.components.forwarding.test_software_versions import add_versions
from tests.helpers.gateways import async_send, run_fleet

IDS = tuple(f"first-{number}" for number in range(12))
AT_ONCE_MS = 300


def start_streams(fleet: GatewayFleet, member: FleetMember) -> list[asyncio.Task[FakeResponder]]:
    """Send the requests of all streams to a daemon at once."""
    return [
        asyncio.create_task(async_send(fleet, member, "/stream/a", request_id=each)) for each in IDS
    ]


async def async_begin(fleet: GatewayFleet, member: FleetMember) -> dict[str, str]:
    """Begin streams at a daemon and return the software that began each."""
    sending = start_streams(fleet, member)
    fleet.clock.call_later(60_000, sending.clear)
    await fleet.clock.async_sleep(300)
    engines = fleet.engines.by_address.values()
    return {call.request_id: e.software for e in engines for call in e.ran}


async def async_read_history(fleet: GatewayFleet, member: FleetMember) -> None:
    """Let a daemon read the stored history, which it does for the first stream that it does not know."""
    answers = await async_take_up(fleet, member, ["early"])
    assert answers["early"].whole


async def async_take_up(
    fleet: GatewayFleet, member: FleetMember, ids: Iterable[str] = IDS
) -> dict[str, FakeResponder]:
    """Take up streams at a daemon after event 5, all at the same time."""
    sending = {
        each: asyncio.create_task(async_send(fleet, member, "/stream/a", resumed=(each, 5)))
        for each in ids
    }
    return {each: await task for each, task in sending.items()}


def assert_refused(answer: FakeResponder, began_at: int, retry: bool) -> None:
    """Assert that a stream was refused at once, and whether its caller may come back."""
    assert answer.refusal is not None and answer.refusal.code is RefusalCode.CANNOT_RESUME
    assert answer.refusal.not_run and bool(answer.refusal.retry_after_ms) is retry
    assert answer.ended_at - began_at <= AT_ONCE_MS


def set_software(fleet: GatewayFleet, engine: RunEngine, software: str) -> None:
    """Restart an upstream under its name with other software, without its entry being updated."""
    engine.software, engine.restarts = software, engine.restarts + 1


@pytest.mark.parametrize(
    ("versions", "after_ms", "retry"),
    [
        (("v1", "v1"), 500, False),
        # The daemons from before may be cut off instead of lost, and still know the streams.
        (("v1", "v2"), 500, True),
        (("v1", "v2"), 4_000, False),
    ],
)
def test_streams_after_the_loss_of_all_vms(
    versions: tuple[str, ...], after_ms: int, retry: bool
) -> None:
    """Guards against guessing the version of streams that nobody remembers."""

    async def scenario(fleet: GatewayFleet) -> None:
        add_versions(fleet, *versions)
        members = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(2_000)
        began = await async_begin(fleet, members[0])
        for member in members:
            await fleet.async_kill(member)
        (again,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(after_ms)
        began_at = fleet.clock.now()
        for each, answer in (await async_take_up(fleet, again)).items():
            if len(set(versions)) == 1:
                assert answer.whole and read_software(answer.body) == {began[each]}
            else:
                assert_refused(answer, began_at, retry=retry)

    run_fleet(scenario)


def test_streams_of_a_version_that_is_gone_with_all_vms() -> None:
    """Guards against continuing an older version's streams where the new daemons see one version only."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = add_versions(fleet, "v1", "v2")
        members = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(3_000)
        assert [key.key for key in fleet.store.rows if key.table == TABLE_SOFTWARE] == ["engine"]
        await async_begin(fleet, members[0])
        for member in members:
            await fleet.async_kill(member)
        engines[0].up = False
        fleet.unregister(engines[0])
        (again,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        began_at = fleet.clock.now()
        for answer in (await async_take_up(fleet, again)).values():
            assert_refused(answer, began_at, retry=True)

    run_fleet(scenario)


@pytest.mark.parametrize("seen_ms", [None, 30, 3_000], ids=["unseen", "just seen", "seen"])
@pytest.mark.parametrize("losses", [1, 2])
def test_streams_of_a_version_that_was_replaced_while_no_vm_ran(
    seen_ms: int | None, losses: int
) -> None:
    """Guards against streams joined of two versions after the loss of all VMs during a release.

    All upstreams are replaced before the VMs are back. `seen_ms` is for how long the VMs knew the new
    version before they were lost.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        old, new = add_versions(fleet, "v1", "v2")
        fleet.unregister(new)
        members = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(3_000)
        began = await async_begin(fleet, members[0])
        assert set(began.values()) == {"v1"}
        if seen_ms is not None:
            fleet.register(new)
            await fleet.clock.async_sleep(seen_ms)
        for _ in range(losses):
            for member in members:
                await fleet.async_kill(member)
            old.up = False
            fleet.unregister(old)
            fleet.register(new)
            members = await fleet.async_add_many(2)
            await fleet.clock.async_sleep(500)
        for answer in (await async_take_up(fleet, members[0])).values():
            assert answer.refusal is not None and answer.refusal.not_run

    run_fleet(scenario)


@pytest.mark.parametrize("vms", [3, 30])
def test_vm_that_has_just_started_asks_the_others(vms: int) -> None:
    """Guards against refusing streams that other VMs know, in small fleets and in those with relays."""

    async def scenario(fleet: GatewayFleet) -> None:
        add_versions(fleet, "v1", "v2", "v1", "v2")
        members = await fleet.async_add_many(vms)
        await fleet.clock.async_sleep(5_000)
        began = await async_begin(fleet, members[0])
        await fleet.clock.async_sleep(300)
        await fleet.async_kill(members[0])
        (fresh,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        for each, answer in (await async_take_up(fleet, fresh)).items():
            assert answer.whole and read_software(answer.body) == {began[each]}

    run_fleet(scenario)


def test_streams_of_a_version_without_upstreams_are_refused_at_once() -> None:
    """Guards against callers that wait for a version whose last upstream drains or is gone."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = add_versions(fleet, "v1", "v1", "v2")
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        began = await async_begin(fleet, first)
        await fleet.async_kill(first)
        fleet.register(engines[0], draining=True)
        fleet.unregister(engines[1])
        await fleet.clock.async_sleep(100)
        began_at = fleet.clock.now()
        for each, answer in (await async_take_up(fleet, second)).items():
            if began[each] == "v1":
                assert_refused(answer, began_at, retry=False)
            else:
                assert answer.whole and read_software(answer.body) == {"v2"}

    run_fleet(scenario)


def test_streams_wait_for_a_place_at_their_version() -> None:
    """Guards against refusing a stream whose upstreams are full for a moment only."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = add_versions(fleet, "v1", "v2")
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        began = await async_begin(fleet, first)
        await fleet.async_kill(first)
        engines[0].refuse = engines[1].refuse = True
        fleet.clock.call_later(500, lambda: setattr(engines[0], "refuse", False))
        fleet.clock.call_later(500, lambda: setattr(engines[1], "refuse", False))
        for each, answer in (await async_take_up(fleet, second)).items():
            assert answer.whole and read_software(answer.body) == {began[each]}

    run_fleet(scenario)


@pytest.mark.parametrize("named", [True, False])
def test_cut_vm_does_not_continue_streams_of_versions_it_may_not_know(named: bool) -> None:
    """Guards against a VM cut off from store and fleet, whose list still has one version only."""

    async def scenario(fleet: GatewayFleet) -> None:
        add_versions(fleet, "v1")
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        second.view.cut = True
        fleet.datagrams.cut(first.address, second.address)
        fleet.network.cut(first.address, second.address)
        add_versions(fleet, "v2")
        await fleet.clock.async_sleep(1_200)
        await async_begin(fleet, first)
        ids = IDS if named else ("",)
        for answer in (await async_take_up(fleet, second, ids)).values():
            assert answer.refusal is not None

    run_fleet(scenario)


def test_vm_without_the_store_learns_versions_from_the_others() -> None:
    """Guards against a VM that the store turns away and that continues streams of a version new to it."""

    async def scenario(fleet: GatewayFleet) -> None:
        add_versions(fleet, "v1")
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        await async_read_history(fleet, second)
        second.view.cut = True
        add_versions(fleet, "v2")
        await fleet.clock.async_sleep(4_000)
        began = await async_begin(fleet, first)
        assert set(began.values()) == {"v1", "v2"}
        unannounced = await async_take_up(fleet, second, ["unannounced"])
        assert unannounced["unannounced"].refusal is not None
        await fleet.async_kill(first)
        for each, answer in (await async_take_up(fleet, second)).items():
            if began[each] == "v1":
                assert answer.whole and read_software(answer.body) == {"v1"}
            else:
                assert answer.refusal is not None

    run_fleet(scenario)


def test_vm_with_an_old_list_does_not_trust_that_it_is_complete() -> None:
    """Guards against a VM that the store turns away and that does not hear the VM that began the stream."""

    async def scenario(fleet: GatewayFleet) -> None:
        add_versions(fleet, "v1")
        first, second, _ = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        await async_read_history(fleet, second)
        second.view.cut = True
        fleet.datagrams.cut(first.address, second.address)
        fleet.network.cut(first.address, second.address)
        await fleet.clock.async_sleep(4_000)
        add_versions(fleet, "v2")
        await fleet.clock.async_sleep(500)
        began = await async_begin(fleet, first)
        assert "v2" in began.values()
        await fleet.async_kill(first)
        for each, answer in (await async_take_up(fleet, second)).items():
            if answer.refusal is None:
                assert read_software(answer.body) == {began[each]}

    run_fleet(scenario)


def test_upstream_that_returns_with_other_software_under_its_name() -> None:
    """Guards against an upstream that restarts with a new version while no entry can be updated."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = add_versions(fleet, "v1", "v1")
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        member.view.cut = True
        await fleet.clock.async_sleep(4_000)
        began = asyncio.create_task(async_send(fleet, member, "/stream/a"))
        await fleet.clock.async_sleep(200)
        lost = next(engine for engine in engines if engine.running)
        (other,) = (engine for engine in engines if engine is not lost)
        other.up = False
        await asyncio.gather(*(async_send(fleet, member, "/call/a") for _ in range(8)))
        other.up = True
        set_software(fleet, other, "v2")
        await fleet.clock.async_sleep(100)
        lost.up = False
        answer = await began
        assert len(read_software(answer.body)) == 1 and answer.aborted

    run_fleet(scenario)
