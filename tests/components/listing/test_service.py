"""Few VMs read the platform's list, and all know which VMs are leaving."""

import asyncio

import pytest

from goldcreststair.components import shutdown
from goldcreststair.components.listing.const import (
    ANNOUNCEMENT_LIFETIME_MS,
    FLEET_POLLS_PER_S,
    SET_LEAVING,
)
from goldcreststair.components.listing.models import LEAVING_ADDRESSES
from goldcreststair.components.membership.protocols import SHARED_SETS
from goldcreststair.components.shutdown.models import SHUTDOWN
from goldcreststair.store.models import ListedState, ListedVm
from standins.daemons import CONTROL, FakeDaemons
from tests.helpers.daemons import run_fleet

UPSTREAM = "10.8.0.1"


@pytest.mark.parametrize("count", [1, 10, 40])
def test_leaving_upstream_is_known_to_all_in_seconds(count: int) -> None:
    """An upstream's VM is listed as leaving and stops soon after.

    Every VM has to know of it within 3 s, although the list, which contains thousands of VMs, must
    not be read by every VM all the time.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(count)
        await asyncio.sleep(30)
        before = fleet.platform.counts.list_reads
        await asyncio.sleep(60)
        reads = fleet.platform.counts.list_reads - before
        assert reads <= 60 * FLEET_POLLS_PER_S * 1.5
        fleet.platform.set_vms([ListedVm(UPSTREAM, "dc1", ListedState.LEAVING)])
        await fleet.async_wait(
            lambda: all(
                UPSTREAM in d.core.blackboard.read(LEAVING_ADDRESSES).addresses for d in daemons
            ),
            3000,
        )
        fleet.platform.set_vms([])
        await asyncio.sleep(240)
        for daemon in daemons:
            assert not daemon.core.blackboard.read(LEAVING_ADDRESSES).addresses

    run_fleet(async_test)


def test_vm_does_not_leave_because_of_an_announcement() -> None:
    """A new VM starts at the address of one that left, which others still announce as leaving.

    If the new VM trusted the announcement, it would leave as well, and so would the next.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        fleet.setups = (*CONTROL, shutdown.async_setup)
        daemons = await fleet.async_add_many(3)
        address = daemons[0].address
        fleet.platform.set_vms([ListedVm(address, "dc1", ListedState.LIVE)])
        await asyncio.sleep(20)
        sets = daemons[1].core.get(SHARED_SETS)
        sets.add(SET_LEAVING, f"{address} 1", ANNOUNCEMENT_LIFETIME_MS)
        await asyncio.sleep(80)
        assert not daemons[0].core.blackboard.read(SHUTDOWN).leaving

    run_fleet(async_test)
