"""The return of a whole fleet during a burst, and failures during that return."""

import asyncio

import pytest

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.fleet.models import FLEET, FleetVm
from goldcreststair.components.fleet.sessions import (
    decode_session,
    decode_shared_services,
    encode_session,
)
from goldcreststair.features import Feature
from goldcreststair.helpers.refusals import RefusalCode
from goldcreststair.wire.codec import encode_struct
from goldcreststair.wire.generated.gateway.ttypes import SessionRow
from standins.gateways import FleetMember, GatewayFleet
from tests.components.entry.return_replay import LARGE, SMALL, Deployment, replay
from tests.helpers.gateways import async_send, run_fleet

FEATURE = Feature.FLEET_RETURN.value
VMS = 34
OPEN_WITHIN_MS = 1_300
"""The longest time until admission opens, with the interval of the check."""


@pytest.mark.parametrize("load", [SMALL, LARGE], ids=lambda load: str(load.vms))
def test_more_requests_are_in_time_when_a_fleet_returns(load: Deployment) -> None:
    """Daemons that did not know each other's runs filled the upstreams' queues, or refused quotas."""
    off, on = replay(load, "", 2), replay(load, FEATURE, 2)
    assert on.in_time > off.in_time * 1.2
    assert on.failed < off.failed
    assert on.score > off.score


async def async_start(fleet: GatewayFleet) -> list[str]:
    """Start a fleet with the feature active and return its addresses."""
    fleet.features = FEATURE
    fleet.store.faults.transaction_ms = 5
    fleet.add_engines(6)
    await fleet.async_add_many(VMS)
    await fleet.clock.async_sleep(3_000)
    return [member.address for member in fleet.members]


async def async_lose(fleet: GatewayFleet) -> None:
    """Lose all daemons."""
    for member in tuple(fleet.members):
        await fleet.async_kill(member)


async def async_return(fleet: GatewayFleet, addresses: list[str]) -> list[FleetMember]:
    """Start daemons at these addresses."""
    return [await fleet.async_add(address) for address in addresses]


async def async_check_served(fleet: GatewayFleet) -> None:
    """Check that every daemon opens admission and answers a request."""

    def is_open() -> bool:
        return all(member.core.get(ENTRY).opening.is_open() for member in fleet.members)

    await fleet.async_wait(is_open, OPEN_WITHIN_MS)
    for member in fleet.members[:5]:
        assert (await async_send(fleet, member, "/stream/x")).whole


@pytest.mark.parametrize("returning", [1.0, 0.5, 0.25])
def test_admission_opens_where_a_part_of_the_fleet_stays_down(returning: float) -> None:
    """Daemons that wait for the others for longer than a second would refuse callers without need."""

    async def scenario(fleet: GatewayFleet) -> None:
        addresses = await async_start(fleet)
        await async_lose(fleet)
        await async_return(fleet, addresses[: int(VMS * returning)])
        await async_check_served(fleet)

    run_fleet(scenario)


def test_fleet_that_is_lost_again_during_its_return_serves() -> None:
    """Sessions of the first return stay in the store, as no daemon lived long enough to remove them."""

    async def scenario(fleet: GatewayFleet) -> None:
        addresses = await async_start(fleet)
        for pause_ms in (30, 150):
            await async_lose(fleet)
            await async_return(fleet, addresses)
            await fleet.clock.async_sleep(pause_ms)
        await async_lose(fleet)
        await async_return(fleet, addresses)
        await async_check_served(fleet)
        known = {len(member.read(FLEET).vms) for member in fleet.members}
        assert known == {VMS}

    run_fleet(scenario)


def test_fleet_that_returns_to_a_silent_store_refuses_until_it_answers() -> None:
    """Without a catalogue nothing is known to be allowed; a refusal has to say that nothing ran."""

    async def scenario(fleet: GatewayFleet) -> None:
        addresses = await async_start(fleet)
        await async_lose(fleet)
        fleet.store.faults.down = True
        members = await async_return(fleet, addresses)
        await fleet.clock.async_sleep(2_000)
        refusal = (await async_send(fleet, members[0], "/stream/x")).refusal
        assert refusal is not None and refusal.not_run and refusal.code is RefusalCode.NOT_READY
        fleet.store.faults.down = False
        await fleet.clock.async_sleep(1_500)
        await async_check_served(fleet)

    run_fleet(scenario)


def test_daemon_whose_store_falls_silent_after_its_first_reads_serves() -> None:
    """Its session is not in the store, so that other daemons do not know it."""

    async def scenario(fleet: GatewayFleet) -> None:
        addresses = await async_start(fleet)
        await fleet.async_kill(fleet.members[0])
        member = await fleet.async_add(addresses[0])
        await fleet.clock.async_sleep(10)
        member.view.cut = True
        await fleet.clock.async_sleep(OPEN_WITHIN_MS)
        assert (await async_send(fleet, member, "/stream/x")).whole

    run_fleet(scenario)


def test_refusals_of_a_returning_daemon_and_its_log_and_metrics(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """An operator has to see why a daemon refuses callers after its start, and when it stops."""
    caplog.set_level("INFO")

    async def scenario(fleet: GatewayFleet) -> None:
        addresses = await async_start(fleet)
        await async_lose(fleet)
        member = (await async_return(fleet, addresses))[0]
        await fleet.clock.async_sleep(20)
        sends = [asyncio.ensure_future(async_send(fleet, member, "/stream/x")) for _ in range(3)]
        refused = [sent.refusal for sent in await asyncio.gather(*sends) if sent.refusal]
        assert [(each.code, each.not_run) for each in refused] == [(RefusalCode.OVERLOADED, True)]
        assert 300 <= refused[0].retry_after_ms <= 1_500
        member.core.meters.set_gauge("admission_share", member.core.get(ENTRY).opening.share)
        page = member.core.meters.render().decode()
        assert 'goldcreststair_returned_requests_total{outcome="refused"} 1.0' in page
        assert 'goldcreststair_returned_requests_total{outcome="admitted"} 2.0' in page
        assert "goldcreststair_admission_share 1.0" in page

    run_fleet(scenario)
    assert "Admission open" in caplog.messages


def test_services_on_shared_machines_are_known_after_a_loss_of_all_daemons() -> None:
    """The feature would be inactive in each return, until the first answers report their pace."""

    async def scenario(fleet: GatewayFleet) -> None:
        addresses = await async_start(fleet)
        fleet.members[0].core.get(FEATURES).mark_shared("engine")
        await fleet.clock.async_sleep(2_500)
        assert all(each.core.get(FEATURES).list_shared() for each in fleet.members)
        await async_lose(fleet)
        fleet.features = ""
        for member in await async_return(fleet, addresses):
            await fleet.clock.async_sleep(5)
            assert member.core.get(FEATURES).is_active(Feature.FLEET_RETURN, "engine")

    run_fleet(scenario)


def test_session_row_is_unchanged_without_services_on_shared_machines() -> None:
    """Rows of other deployments stay as they were, and earlier versions read rows of this one."""
    vm = FleetVm("s1", "10.0.0.1", 7000, "10.0.0.1:80", "dc", "r")
    plain = encode_session(vm)
    assert plain == encode_struct(SessionRow("s1", "10.0.0.1", 7000, "10.0.0.1:80", "dc", "r"))
    marked = encode_session(vm, ["a", "b"])
    assert decode_session(marked) == decode_session(plain) == vm
    assert (decode_shared_services(plain), decode_shared_services(marked)) == ([], ["a", "b"])
    assert decode_shared_services(b"\xff") == []
