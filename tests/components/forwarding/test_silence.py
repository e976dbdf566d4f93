"""Requests whose last upstream falls silent for a while and then goes on."""

import asyncio

from standins.gateways import FleetMember, GatewayFleet
from standins.run_engines import RunEngine, make_event
from tests.helpers.gateways import async_send, run_fleet

EVENTS = 20
PAUSE_MS = 1_500
SMALL, LARGE = 1, 30


def make_stream(request_id: str) -> bytes:
    """Return a whole stream."""
    return b"".join(make_event(request_id, number) for number in range(1, EVENTS + 1))


async def async_start(fleet: GatewayFleet, vms: int) -> FleetMember:
    """Start a fleet and return one daemon that knows the others and the upstreams."""
    members = await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(4_000 if vms > SMALL else 500)
    return members[0]


async def async_find_running(fleet: GatewayFleet, engines: list[RunEngine]) -> RunEngine:
    """Wait until an upstream runs something, and return it."""
    await fleet.async_wait(lambda: any(engine.running for engine in engines), 2_000)
    return next(engine for engine in engines if engine.running)


async def async_pause(fleet: GatewayFleet, engine: RunEngine) -> None:
    """Let an upstream send nothing for a while."""
    engine.silent = True
    await fleet.clock.async_sleep(PAUSE_MS)
    engine.silent = False


def test_a_stream_on_its_last_attempt_outlasts_a_pause() -> None:
    """Guards against cutting a stream for its silence when no other upstream may run it."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(3)
        member = await async_start(fleet, LARGE)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        lost = await async_find_running(fleet, engines)
        lost.up = False
        others = [engine for engine in engines if engine is not lost]
        last = await async_find_running(fleet, others)
        await fleet.clock.async_sleep(300)
        await async_pause(fleet, last)
        answer = await sending
        assert answer.whole and answer.body == make_stream("r")
        assert sum(len(engine.ran) for engine in engines) == 2

    run_fleet(scenario)
