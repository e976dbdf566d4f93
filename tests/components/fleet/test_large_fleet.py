"""Tests of which daemons are reachable in fleets too large for beacons to all."""

from goldcreststair.components.fleet.models import FLEET
from goldcreststair.components.quotas.controller import FleetShare
from standins.gateways import GatewayFleet
from tests.helpers.gateways import run_fleet

VMS = 40


def test_all_daemons_of_an_idle_large_fleet_stay_reachable() -> None:
    """Guards against VMs that are missing at times from callers' addresses and from quotas.

    Up to six VMs of a fleet of forty were. At that time each beacon went to sixteen other daemons;
    chosen at random, many were passed over for longer than a beacon is valid, and each change of
    reachability was processed by all that follow the fleet.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        members = await fleet.async_add_many(VMS)
        await fleet.clock.async_sleep(4_000)
        counts = []
        for _ in range(30):
            await fleet.clock.async_sleep(100)
            counts += [member.read(FLEET).reachable for member in members]
        assert min(counts) == VMS
        seen = members[0].read(FLEET)
        assert FleetShare(seen.responsive, len(seen.vms)).fraction == 1

    run_fleet(scenario)


def test_silent_daemon_of_a_large_fleet_becomes_unreachable() -> None:
    """Callers must not be sent to a lost VM for longer than its beacons may be delayed."""

    async def scenario(fleet: GatewayFleet) -> None:
        members = await fleet.async_add_many(VMS)
        await fleet.clock.async_sleep(4_000)
        lost = members[-1]
        await fleet.async_kill(lost)
        await fleet.clock.async_sleep(2_400)
        assert all(member.read(FLEET).reachable == VMS - 1 for member in members[:-1])

    run_fleet(scenario)
