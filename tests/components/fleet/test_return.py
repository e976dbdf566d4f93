"""Tests of how soon daemons that start together reach each other."""

import pytest

from goldcreststair.components.fleet.models import FLEET
from goldcreststair.components.quotas.service import QUOTAS
from standins.gateways import GatewayFleet
from tests.helpers.gateways import run_fleet

TRANSACTION_MS = 5
"""How long a part of the store takes for one transaction; others wait."""
DISCOVERY_MS = 1_000
IN_TIME_MS = 300
"""A caller that sent its request just before counts an answer after this time as late."""


async def async_restart_fleet(fleet: GatewayFleet, vms: int) -> None:
    """Start daemons, kill all of them, and start them again at their addresses."""
    fleet.store.faults.transaction_ms = TRANSACTION_MS
    fleet.add_engines(6)
    await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(5_000)
    addresses = [member.address for member in fleet.members]
    for member in tuple(fleet.members):
        await fleet.async_kill(member)
    await fleet.clock.async_sleep(1_000)
    for address in addresses:
        await fleet.async_add(address)


@pytest.mark.parametrize("vms", [11, 80])
def test_restarted_fleet_settles_quotas_in_time_for_waiting_callers(vms: int) -> None:
    """Guards against callers that wait or are refused for a quota while sessions are written."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_restart_fleet(fleet, vms)
        await fleet.clock.async_sleep(IN_TIME_MS)
        settled = [
            len(member.read(FLEET).vms) > vms // 2 and not member.core.get(QUOTAS).is_settling()
            for member in fleet.members
        ]
        assert sum(settled) > vms * 0.8

    run_fleet(scenario)


@pytest.mark.parametrize("poll_ms", [7, 10, 20, 50])
def test_restarted_relays_find_each_other(poll_ms: int) -> None:
    """Guards against data centres that for seconds know only the few followers of an old relay."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_restart_fleet(fleet, 78)
        began = fleet.clock.now()
        while fleet.clock.now() < began + DISCOVERY_MS:
            await fleet.clock.async_sleep(poll_ms)
        assert {member.read(FLEET).reachable for member in fleet.members} == {78}

    run_fleet(scenario)
