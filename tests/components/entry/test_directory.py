"""Tests that daemons stop returning the addresses of VMs that are gone."""

import pytest

from goldcreststair.components.entry.service import ENTRY
from standins.gateways import FleetMember, GatewayFleet
from tests.helpers.gateways import run_fleet

REMOVED_MS = 2_500
"""Time after which no daemon returns the address of a lost VM; the platform allows several seconds."""


def list_returned(fleet: GatewayFleet) -> set[str]:
    """Return all addresses that any daemon returns to callers of any data centre."""
    return {
        address
        for member in fleet.members
        for data_centre in ("dc0", "dc1", "dc2")
        for address in member.core.get(ENTRY).list_addresses(data_centre, "default")
    }


def choose_lost(fleet: GatewayFleet, what: str) -> list[FleetMember]:
    """Return the daemons to kill."""
    if what == "data centre":
        return [each for each in fleet.members if each.core.settings.data_centre == "dc1"]
    if what == "all but one":
        return fleet.members[1:]
    return list(fleet.members)


@pytest.mark.parametrize("vms", [9, 36])
@pytest.mark.parametrize("store_down", [False, True])
@pytest.mark.parametrize("what", ["data centre", "all but one", "all"])
def test_lost_vms_are_not_returned_to_callers(vms: int, store_down: bool, what: str) -> None:
    """Guards against callers that spend all attempts on VMs that were lost seconds ago."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(3)
        await fleet.async_add_many(vms)
        await fleet.clock.async_sleep(4_000)
        lost = choose_lost(fleet, what)
        fleet.store.faults.down = store_down and what != "all"
        gone = {member.core.settings.front for member in lost}
        for member in lost:
            await fleet.async_kill(member)
        if what == "all":
            await fleet.async_add_many(vms)
            fleet.store.faults.down = store_down
        await fleet.clock.async_sleep(REMOVED_MS)
        for _ in range(20):
            returned = list_returned(fleet)
            assert not returned & gone
            await fleet.clock.async_sleep(500)
        # A daemon that can reach neither the store nor another daemon accepts no callers.
        assert returned or (store_down and what != "data centre")

    run_fleet(scenario)
