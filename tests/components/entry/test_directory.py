"""Addresses of VMs that are gone, as any daemon names them."""

import pytest

from goldcreststair.components.entry.service import ENTRY
from standins.gateways import FleetMember, GatewayFleet
from tests.helpers.gateways import run_fleet

FORGOTTEN_MS = 2_500
"""By when no daemon names a VM that is gone; the platform allows several seconds."""


def list_named(fleet: GatewayFleet) -> set[str]:
    """Return all addresses that any daemon names to callers of any data centre."""
    return {
        address
        for member in fleet.members
        for data_centre in ("dc0", "dc1", "dc2")
        for address in member.core.get(ENTRY).list_addresses(data_centre, "default")
    }


def choose_lost(fleet: GatewayFleet, what: str) -> list[FleetMember]:
    """Return the daemons that are killed."""
    if what == "data centre":
        return [each for each in fleet.members if each.core.settings.data_centre == "dc1"]
    if what == "all but one":
        return fleet.members[1:]
    return list(fleet.members)


@pytest.mark.parametrize("vms", [9, 36])
@pytest.mark.parametrize("store_away", [False, True])
@pytest.mark.parametrize("what", ["data centre", "all but one", "all"])
def test_callers_are_not_led_to_vms_that_are_gone(vms: int, store_away: bool, what: str) -> None:
    """Guards against callers whose every attempt goes to VMs that were lost seconds ago."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(3)
        await fleet.async_add_many(vms)
        await fleet.clock.async_sleep(4_000)
        lost = choose_lost(fleet, what)
        fleet.store.faults.down = store_away and what != "all"
        gone = {member.core.settings.front for member in lost}
        for member in lost:
            await fleet.async_kill(member)
        if what == "all":
            await fleet.async_add_many(vms)
            fleet.store.faults.down = store_away
        await fleet.clock.async_sleep(FORGOTTEN_MS)
        for _ in range(20):
            named = list_named(fleet)
            assert not named & gone
            await fleet.clock.async_sleep(500)
        # A daemon that hears neither the store nor another one takes no callers.
        assert named or (store_away and what != "data centre")

    run_fleet(scenario)
