"""Entries of other writers in the table of upstreams change nothing for the upstreams there."""

from collections.abc import Awaitable, Callable
from typing import Any, Final

import orjson
import pytest

from goldcreststair.components.discovery.const import OUTAGE_MEMORY_MS
from goldcreststair.components.discovery.models import LIVE_UPSTREAMS
from goldcreststair.components.jobs.models import ResultPage
from goldcreststair.store.rows import RowKey
from goldcreststair.upstreams.dialect import RunCall
from goldcreststair.upstreams.runner import RunSink
from standins.gateways import TABLE_ENGINES, FakeResponder, FleetMember, GatewayFleet
from standins.run_engines import RunEngine
from tests.helpers.gateways import async_read, async_send, async_submit, run_fleet

LATER_MS: Final = 1_000_000
HEARTBEAT_MS: Final = 1_200
OUTAGE_MS: Final = 4_000


def make_entry(engine: RunEngine, **changes: Any) -> dict[str, Any]:
    """Return an entry like an engine's own, of an unknown service and with a later start."""
    entry = {
        "service": "audit-agent",
        "address": engine.address,
        "data_centre": engine.data_centre,
        "slots": engine.slots,
        "draining": False,
        "started_ms": LATER_MS,
        "cold_ms": 0,
        "software_version": "v9",
    }
    return {name: value for name, value in (entry | changes).items() if value is not None}


FOREIGN: Final[dict[str, Callable[[RunEngine], bytes]]] = {
    "another service": lambda engine: orjson.dumps(make_entry(engine)),
    "another service, draining": lambda engine: orjson.dumps(make_entry(engine, draining=True)),
    "no address": lambda engine: orjson.dumps(make_entry(engine, service="engine", address=None)),
    "an unknown field": lambda engine: orjson.dumps(make_entry(engine, service="engine", role="x")),
    "a list": lambda _: b"[]",
    "no JSON": lambda _: b"\xff\x00{",
    "nothing": lambda _: b"",
}


def list_live(member: FleetMember) -> list[str]:
    """Return the upstreams that a VM may use."""
    return sorted(member.read(LIVE_UPSTREAMS).by_name)


async def async_put_while_running(fleet: GatewayFleet, key: RowKey, row: bytes) -> None:
    """Write the row while the VMs run."""
    fleet.store.put(key, row)


async def async_put_in_outage(fleet: GatewayFleet, key: RowKey, row: bytes) -> None:
    """Write the row while the store is away, so that it comes with a snapshot."""
    fleet.store.faults.down = True
    await fleet.clock.async_sleep(OUTAGE_MS)
    fleet.store.put(key, row)
    for engine in fleet.engines.by_address.values():
        if engine.name != key.key:
            fleet.register(engine)
    fleet.store.faults.down = False


async def async_put_before_restart(fleet: GatewayFleet, key: RowKey, row: bytes) -> None:
    """Write the row, and replace all VMs; the engines renew their entries."""
    fleet.store.put(key, row)
    for member in tuple(fleet.members):
        await fleet.async_kill(member)
    await fleet.async_add_many(2)
    for engine in fleet.engines.by_address.values():
        if engine.name != key.key:
            fleet.register(engine)


MOMENTS: Final = {
    "running": async_put_while_running,
    "outage": async_put_in_outage,
    "restart": async_put_before_restart,
}
Put = Callable[[GatewayFleet, RowKey, bytes], Awaitable[None]]


@pytest.mark.parametrize("put", MOMENTS.values(), ids=MOMENTS.keys())
@pytest.mark.parametrize("own_name", [False, True], ids=["its own name", "an engine's name"])
@pytest.mark.parametrize("foreign", FOREIGN.values(), ids=FOREIGN.keys())
def test_an_entry_of_another_writer_changes_nothing(
    foreign: Callable[[RunEngine], bytes], own_name: bool, put: Put
) -> None:
    """Guards against an engine that gets no work, as another writer has put an entry at its address or name."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        await fleet.async_add_many(2)
        await fleet.clock.async_sleep(2_000)
        key = RowKey(TABLE_ENGINES, "", engines[0].name if own_name else "agent-0")
        await put(fleet, key, foreign(engines[0]))
        await fleet.clock.async_sleep(HEARTBEAT_MS)
        if put is not async_put_before_restart or not own_name:
            # A VM that starts then knows the engine from its next heartbeat on.
            assert [list_live(member) for member in fleet.members] == [["e0", "e1"]] * 2
        for engine in engines:
            fleet.register(engine)
        await fleet.clock.async_sleep(OUTAGE_MEMORY_MS)
        assert [list_live(member) for member in fleet.members] == [["e0", "e1"]] * 2
        engines[1].refuse = True
        assert (await async_send(fleet, fleet.members[0], "/stream/a")).whole
        fleet.store.drop(RowKey(TABLE_ENGINES, "", "agent-0"))
        await fleet.clock.async_sleep(HEARTBEAT_MS)
        assert [list_live(member) for member in fleet.members] == [["e0", "e1"]] * 2

    run_fleet(scenario)


@pytest.mark.parametrize("own_name", [False, True], ids=["its own name", "an engine's name"])
def test_an_entry_is_used_once_its_service_is_configured(own_name: bool) -> None:
    """Guards against upstreams of a new service that get no work, as they registered before the configuration."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(2_000)
        name = "e0" if own_name else "agent-0"
        entry = make_entry(engines[0], address="10.9.9.9:80")
        fleet.store.put(RowKey(TABLE_ENGINES, "", name), orjson.dumps(entry))
        await fleet.clock.async_sleep(1_000)
        assert member.read(LIVE_UPSTREAMS).by_name.keys() == {"e0", "e1"}
        assert member.read(LIVE_UPSTREAMS).by_name["e0"].service == "engine"
        fleet.write_catalogue(2, services=("engine", "audit-agent"))
        await fleet.clock.async_sleep(1_000)
        live = member.read(LIVE_UPSTREAMS).by_name
        assert live[name].service == "audit-agent" and live.keys() == {"e0", "e1", name}

    run_fleet(scenario)


def test_an_address_returns_to_the_engine_that_renews_its_entry() -> None:
    """Guards against an engine without work, as another entry of its service names its address and a later start."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(2_000)
        entry = make_entry(engines[0], service="engine")
        fleet.store.put(RowKey(TABLE_ENGINES, "", "agent-0"), orjson.dumps(entry))
        await fleet.clock.async_sleep(500)
        assert list_live(member) == ["agent-0"]
        for _ in range(4):
            await fleet.clock.async_sleep(HEARTBEAT_MS)
            fleet.register(engines[0])
        await fleet.clock.async_sleep(500)
        assert list_live(member) == ["e0"]
        assert (await async_send(fleet, member, "/stream/a")).whole

    run_fleet(scenario)


def test_exceptions_at_one_upstream_cost_no_request_and_no_item(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An odd entry of a known service made runs raise: 26 of 40 items were not run any more."""
    page: list[ResultPage] = []
    answers: list[FakeResponder] = []

    async def scenario(fleet: GatewayFleet) -> None:
        odd, _ = fleet.add_engines(2)
        real_run = fleet.engines.async_run

        async def async_run(address: str, call: RunCall, sink: RunSink) -> object:
            if address == odd.address:
                raise OverflowError("port must be 0-65535")
            return await real_run(address, call, sink)

        monkeypatch.setattr(type(fleet.engines), "async_run", staticmethod(async_run))
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(2_000)
        await async_submit(fleet, first, "job", 40)
        for number in range(12):
            member = (first, second)[number % 2]
            answers.append(await async_send(fleet, member, f"/stream/{number}"))
        await fleet.clock.async_sleep(30_000)
        page.append(await async_read(first, "job"))

    run_fleet(scenario)
    assert [answer.refusal for answer in answers] == [None] * 12
    assert all(answer.whole for answer in answers)
    assert len(page[0].results) == 40 and all(result.done for result in page[0].results)
