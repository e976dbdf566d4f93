"""How soon daemons that start together hear each other."""

import pytest

from goldcreststair.components.fleet.models import FLEET
from goldcreststair.components.quotas.service import QUOTAS
from standins.gateways import GatewayFleet
from tests.helpers.gateways import run_fleet

TRANSACTION_MS = 5
"""How long a part of the store takes for one transaction; others wait."""
FOUND_MS = 1_000
IN_TIME_MS = 300
"""A caller who came just before counts an answer after that as late."""


async def async_return(fleet: GatewayFleet, vms: int) -> None:
    """Start daemons, end all of them, and start them again at their addresses."""
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
def test_a_fleet_that_returns_knows_its_quotas_before_waiting_callers_are_late(vms: int) -> None:
    """Guards against callers who wait, or are refused for a quota, while sessions queue at the store."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_return(fleet, vms)
        await fleet.clock.async_sleep(IN_TIME_MS)
        settled = [
            len(member.read(FLEET).vms) > vms // 2 and not member.core.get(QUOTAS).is_settling()
            for member in fleet.members
        ]
        assert sum(settled) > vms * 0.8

    run_fleet(scenario)


@pytest.mark.parametrize("look_ms", [7, 10, 20, 50])
def test_relays_that_return_together_find_each_other(look_ms: int) -> None:
    """Guards against data centres that for seconds hear only of the few who followed a relay for a moment."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_return(fleet, 78)
        began = fleet.clock.now()
        while fleet.clock.now() < began + FOUND_MS:
            await fleet.clock.async_sleep(look_ms)
        assert {member.read(FLEET).reachable for member in fleet.members} == {78}

    run_fleet(scenario)
