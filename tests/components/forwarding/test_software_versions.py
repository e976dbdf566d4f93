"""Tests of streams that continue while upstreams of several software versions serve."""

import asyncio

from standins.gateways import GatewayFleet
from standins.run_engines import RunEngine, read_software
from tests.helpers.gateways import async_send, run_fleet


def add_versions(fleet: GatewayFleet, *versions: str) -> list[RunEngine]:
    """Add an upstream of each of these software versions."""
    engines = fleet.add_engines(len(versions))
    for engine, software in zip(engines, versions, strict=True):
        engine.software = software
        fleet.register(engine)
    return engines


def test_streams_of_a_lost_upstream_stay_at_their_software_version() -> None:
    """Guards against joining the events of two software versions in one answer."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = add_versions(fleet, "v1", "v1", "v1", "v2", "v2", "v2")
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        names = [f"/stream/{number}" for number in range(12)]
        sending = [asyncio.create_task(async_send(fleet, member, name)) for name in names]
        await fleet.clock.async_sleep(200)
        lost = max(engines[:3], key=lambda engine: engine.running)
        assert lost.running
        lost.up = False
        answers = await asyncio.gather(*sending)
        assert all(answer.whole for answer in answers)
        assert all(len(read_software(answer.body)) == 1 for answer in answers)

    run_fleet(scenario)


def test_callers_streams_stay_at_their_software_version_at_another_vm() -> None:
    """Guards against continuing a stream at another version when its caller takes it up elsewhere."""

    async def scenario(fleet: GatewayFleet) -> None:
        add_versions(fleet, "v1", "v2", "v2")
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        ids = [f"first-{number}" for number in range(12)]
        sending = [
            asyncio.create_task(async_send(fleet, first, "/stream/a", request_id=each))
            for each in ids
        ]
        await fleet.clock.async_sleep(300)
        runs = {call.request_id: e for e in fleet.engines.by_address.values() for call in e.ran}
        await fleet.async_kill(first)
        for task in sending:
            task.cancel()
        for each in ids:
            answer = await async_send(fleet, second, "/stream/a", resumed=(each, 5))
            assert answer.whole and read_software(answer.body) == {runs[each].software}

    run_fleet(scenario)
