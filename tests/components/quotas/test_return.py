"""Quotas in the moments after the return of a whole fleet."""

import asyncio

import pytest

from goldcreststair.components.quotas.return_share import ReturnShare, count_return_tokens
from goldcreststair.features import Feature
from standins.gateways import GatewayFleet
from standins.measure.quotas import QuotaFigures, async_drive, async_start
from tests.helpers.gateways import run_fleet

WINDOW_S = 5


@pytest.mark.parametrize(("daemons", "burst"), [(1, 3), (6, 4), (6, 34), (34, 4), (89, 200)])
def test_shares_of_all_daemons_add_up_to_the_initial_tokens(daemons: int, burst: int) -> None:
    """Daemons that disagree about their shares would together exceed the customer's limit."""
    addresses = frozenset(f"10.0.0.{number} 7000" for number in range(daemons))
    total = count_return_tokens(daemons, burst)
    shares = [ReturnShare(address, addresses).count_own("club", total) for address in addresses]
    assert sum(shares) == total <= 20
    assert max(shares) - min(shares) <= 1


@pytest.mark.parametrize("vms", [6, 34, 89])
@pytest.mark.parametrize(("rate", "burst"), [(2.0, 4.0), (34.0, 34.0), (4.0, 40.0)])
@pytest.mark.parametrize("losses", [1, 2])
def test_returning_fleet_holds_a_customer_to_its_limit(
    vms: int, rate: float, burst: float, losses: int
) -> None:
    """At least one request at each of 89 daemons is more than a small customer may send."""
    found: list[QuotaFigures] = []

    async def async_lose(fleet: GatewayFleet) -> None:
        await fleet.clock.async_sleep(2_000)
        for _ in range(losses):
            members = tuple(fleet.members)
            await asyncio.gather(*(fleet.async_kill(member) for member in members))
            await fleet.clock.async_sleep(900)
            for member in members:
                await fleet.async_add(member.address)
            await fleet.clock.async_sleep(400)

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.features = Feature.FLEET_RETURN.value
        fleet.store.faults.transaction_ms = 5
        await async_start(fleet, vms, rate, burst)
        losing = asyncio.create_task(async_lose(fleet))
        found.append(await async_drive(fleet, rate, burst, max(60.0, rate * 7.5), 7, seed=1))
        await losing

    run_fleet(scenario)
    assert found[0].most_in_window <= (rate * WINDOW_S + burst) * 1.1 + 20
