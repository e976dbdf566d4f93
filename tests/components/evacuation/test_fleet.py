"""Evacuations across a fleet: work that reaches the upstreams of an evacuated data centre."""

import asyncio

import pytest

from goldcreststair.components.evacuation.models import EVACUATIONS
from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import FakeResponder, FleetMember, GatewayFleet
from standins.run_engines import RunEngine, make_stream
from standins.virtual_time import VirtualTimeLoop
from tests.helpers.gateways import async_read, async_send, async_submit, run_fleet

DATA_CENTRE = "dc1"
KNOWN_MS = 1_000
"""Time until every daemon that reaches the store or other daemons must know of an evacuation."""


async def async_start(fleet: GatewayFleet, vms: int = 4) -> list[RunEngine]:
    """Start daemons, and three engines in one data centre each."""
    engines = fleet.add_engines(3)
    await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(1_500)
    return engines


async def async_load(fleet: GatewayFleet, members: list[FleetMember], times: int = 6) -> None:
    """Send requests of every kind to these daemons, more than the slots of the other engines."""
    paths = ("/stream/1", "/once/1", "/call/1", "/book/1")
    sent = [
        async_send(fleet, each, path) for each in members for path in paths for _ in range(times)
    ]
    await asyncio.gather(*sent)


def count_ran(engines: list[RunEngine]) -> int:
    """Return the number of runs begun by the engines of the evacuated data centre."""
    return sum(len(engine.ran) for engine in engines if engine.data_centre == DATA_CENTRE)


def test_evacuated_data_centre_gets_no_new_work() -> None:
    """Guards against requests that reach upstreams which operators are about to shut down."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_start(fleet)
        fleet.evacuate(DATA_CENTRE)
        await fleet.clock.async_sleep(KNOWN_MS)
        await async_load(fleet, fleet.members)
        await async_submit(fleet, fleet.members[0], "j", 30)
        await fleet.clock.async_sleep(8_000)
        assert count_ran(engines) == 0
        assert (await async_read(fleet.members[1], "j")).total == 30

    run_fleet(scenario)


@pytest.mark.parametrize(
    "how", ["refused by store", "started while refused", "paused", "silent feeds"]
)
def test_daemon_without_the_store_learns_of_an_evacuation(how: str) -> None:
    """Guards against a VM that cannot read the store and keeps using an evacuated data centre."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_start(fleet)
        member = fleet.members[0]
        if how == "silent feeds":
            # Open connections stay silent; new ones work.
            fleet.store.faults.silent_feeds = True
            await fleet.clock.async_sleep(2_600)
            fleet.store.faults.silent_feeds = False
        member.view.cut = how == "refused by store"
        fleet.evacuate(DATA_CENTRE)
        if how == "paused":
            loop = asyncio.get_running_loop()
            assert isinstance(loop, VirtualTimeLoop)
            loop.pause(5.0)
        await fleet.clock.async_sleep(KNOWN_MS if how != "silent feeds" else 4_500)
        if how == "started while refused":
            member = await fleet.async_add()
            await fleet.clock.async_sleep(KNOWN_MS)
            member.view.cut = True
            fleet.end_evacuation(DATA_CENTRE)
            await fleet.clock.async_sleep(KNOWN_MS)
            assert not member.read(EVACUATIONS).data_centres
            fleet.evacuate(DATA_CENTRE)
            await fleet.clock.async_sleep(KNOWN_MS)
        before = count_ran(engines)
        await async_load(fleet, [member], 10)
        assert count_ran(engines) == before

    run_fleet(scenario)


def test_runs_continue_in_an_evacuated_data_centre() -> None:
    """Guards against streams that are aborted by an evacuation."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_start(fleet, 1)
        for engine in engines:
            if engine.data_centre != DATA_CENTRE:
                fleet.unregister(engine)
        await fleet.clock.async_sleep(100)
        sent = asyncio.create_task(async_send(fleet, fleet.members[0], "/stream/1", request_id="r"))
        await fleet.clock.async_sleep(150)
        fleet.evacuate(DATA_CENTRE)
        responder: FakeResponder = await sent
        assert responder.whole and responder.body == make_stream("r", 20)

    run_fleet(scenario)


@pytest.mark.parametrize("path", ["/stream/1", "/book/1"])
def test_requests_are_refused_at_once_while_all_data_centres_are_evacuated(path: str) -> None:
    """Guards against callers that wait for upstreams which may get no work."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_start(fleet)
        for name in ("dc0", "dc1", "dc2"):
            fleet.evacuate(name)
        await fleet.clock.async_sleep(KNOWN_MS)
        responder = await async_send(fleet, fleet.members[0], path)
        refusal = responder.refusal
        assert refusal is not None and refusal.not_run and refusal.retry_after_ms >= 1_000
        assert refusal.code is RefusalCode.NO_UPSTREAM and "evacuated" in refusal.message
        assert not any(engine.ran for engine in engines)

    run_fleet(scenario)


def test_data_centre_is_used_again_after_its_evacuation() -> None:
    """Guards against a data centre that is never used again."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_start(fleet)
        fleet.evacuate(DATA_CENTRE)
        await fleet.clock.async_sleep(5_000)
        fleet.end_evacuation(DATA_CENTRE)
        await fleet.clock.async_sleep(5_000)
        await async_load(fleet, fleet.members)
        assert count_ran(engines) > 0

    run_fleet(scenario)


@pytest.mark.parametrize("members", [4, 30])
def test_evacuation_holds_while_all_vms_are_killed_in_a_burst(members: int) -> None:
    """Guards against daemons that start in a burst and send before they know of an evacuation."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_start(fleet, members)
        fleet.evacuate(DATA_CENTRE)
        await fleet.clock.async_sleep(KNOWN_MS)
        for member in tuple(fleet.members):
            await fleet.async_kill(member)
        before = count_ran(engines)
        fleet.write_catalogue(version=2)
        await fleet.async_add_many(members)
        for _ in range(20):
            await fleet.clock.async_sleep(100)
            await async_load(fleet, fleet.members[:4], 1)
        assert count_ran(engines) == before

    run_fleet(scenario)
