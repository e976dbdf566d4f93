"""Who is heard in fleets that are too large for beacons to all."""

from goldcreststair.components.fleet.models import FLEET
from goldcreststair.components.quotas.controller import FleetShare
from standins.gateways import GatewayFleet
from tests.helpers.gateways import run_fleet

VMS = 40


def test_every_daemon_of_a_calm_large_fleet_is_heard_all_the_time() -> None:
    """In a fleet of forty VMs up to six were missing from callers' addresses at any moment, and from quotas.

    Each beacon goes to sixteen others. Chosen at random, many were passed over for longer than a beacon
    counts; every change of whom a daemon hears was worked through by all that follow the fleet.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        members = await fleet.async_add_many(VMS)
        await fleet.clock.async_sleep(4_000)
        heard = []
        for _ in range(30):
            await fleet.clock.async_sleep(100)
            heard += [member.read(FLEET).reachable for member in members]
        assert min(heard) == VMS
        seen = members[0].read(FLEET)
        assert FleetShare(seen.responsive, len(seen.vms)).fraction == 1

    run_fleet(scenario)


def test_a_silent_daemon_of_a_large_fleet_is_noticed() -> None:
    """Callers must not be sent to a lost VM for longer than its turn in the beacons takes."""

    async def scenario(fleet: GatewayFleet) -> None:
        members = await fleet.async_add_many(VMS)
        await fleet.clock.async_sleep(4_000)
        lost = members[-1]
        await fleet.async_kill(lost)
        await fleet.clock.async_sleep(2_400)
        assert all(member.read(FLEET).reachable == VMS - 1 for member in members[:-1])

    run_fleet(scenario)
