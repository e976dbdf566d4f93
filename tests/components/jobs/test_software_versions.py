"""Tests of items that continue while upstreams of several software versions serve."""

from standins.gateways import GatewayFleet
from standins.run_engines import read_software
from tests.components.forwarding.test_software_versions import add_versions
from tests.helpers.gateways import async_read, async_submit, run_fleet

ITEMS = 12


def test_items_of_a_lost_owner_hold_one_software_version() -> None:
    """Guards against a result whose first part another software version wrote than its last."""

    async def scenario(fleet: GatewayFleet) -> None:
        add_versions(fleet, "v1", "v2", "v3")
        fleet.engines.events = 120
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        await async_submit(fleet, first, "job", ITEMS)
        await fleet.clock.async_sleep(2_500)
        await fleet.async_kill(first)
        await fleet.clock.async_sleep(25_000)
        page = await async_read(second, "job")
        assert [result.done for result in page.results] == [True] * ITEMS
        assert all(len(read_software(result.text)) == 1 for result in page.results)

    run_fleet(scenario)
