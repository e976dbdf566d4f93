"""Quotas across a fleet: one bucket per customer while daemons start, stop and are cut off."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

from standins.gateways import FakeResponder, GatewayFleet
from standins.measure.quotas import QuotaFigures, async_drive, async_start
from tests.helpers.gateways import async_send, run_fleet

RATE = 34.0
BURST = 34.0
WINDOW_S = 5
BOUND = (RATE * WINDOW_S + BURST) * 1.1 + 20
"""The highest number of requests of one customer that is allowed in any window."""

Event = Callable[[GatewayFleet], Coroutine[Any, Any, None]]


async def async_do_nothing(fleet: GatewayFleet) -> None:
    """Disturb nothing."""


async def async_cut_two(fleet: GatewayFleet) -> None:
    """Cut two daemons off from all others for longer than it takes until their entries expire."""
    await fleet.clock.async_sleep(3_000)
    isolated, others = fleet.members[:2], fleet.members[2:]
    for member in isolated:
        for other in (*others, *isolated):
            fleet.datagrams.cut(member.address, other.address)
    await fleet.clock.async_sleep(12_000)
    fleet.datagrams.clear_cuts()


async def async_halve(fleet: GatewayFleet) -> None:
    """Cut the fleet into two halves."""
    await fleet.clock.async_sleep(3_000)
    middle = len(fleet.members) // 2
    for left in fleet.members[:middle]:
        for right in fleet.members[middle:]:
            fleet.datagrams.cut(left.address, right.address)
    await fleet.clock.async_sleep(9_000)
    fleet.datagrams.clear_cuts()


async def async_cut_from_other_centres(fleet: GatewayFleet) -> None:
    """Cut one daemon off from other data centres; the rest of its own reaches all daemons."""
    await fleet.clock.async_sleep(3_000)
    isolated = fleet.members[0]
    for other in fleet.members[1:]:
        if other.core.settings.data_centre != isolated.core.settings.data_centre:
            fleet.datagrams.cut(isolated.address, other.address)
    await fleet.clock.async_sleep(9_000)
    fleet.datagrams.clear_cuts()


async def async_cut_pair(fleet: GatewayFleet) -> None:
    """Cut two daemons off from each other; the rest reaches both."""
    await fleet.clock.async_sleep(3_000)
    fleet.datagrams.cut(fleet.members[0].address, fleet.members[1].address)
    await fleet.clock.async_sleep(9_000)
    fleet.datagrams.clear_cuts()


async def async_restart_some(fleet: GatewayFleet) -> None:
    """Kill three daemons one after another and restart each at its address."""
    for _ in range(3):
        await fleet.clock.async_sleep(2_500)
        member = fleet.members[0]
        await fleet.async_kill(member)
        await fleet.async_add(member.address)


async def async_restart_all(fleet: GatewayFleet) -> None:
    """Kill all daemons at once and restart them."""
    await fleet.clock.async_sleep(6_000)
    members = list(fleet.members)
    await asyncio.gather(*(fleet.async_kill(member) for member in members))
    await asyncio.gather(*(fleet.async_add(member.address) for member in members))


async def async_store_outage(fleet: GatewayFleet) -> None:
    """Make the store unavailable while a daemon is cut off."""
    await fleet.clock.async_sleep(3_000)
    fleet.store.faults.down = True
    isolated = fleet.members[0]
    for other in fleet.members[1:]:
        fleet.datagrams.cut(isolated.address, other.address)
    await fleet.clock.async_sleep(9_000)
    fleet.store.faults.down = False
    fleet.datagrams.clear_cuts()


@pytest.mark.parametrize(
    "event",
    [
        async_do_nothing,
        async_cut_two,
        async_halve,
        async_cut_from_other_centres,
        async_restart_some,
        async_restart_all,
        async_store_outage,
    ],
)
def test_customer_over_its_rate_is_held_to_its_quota(event: Event) -> None:
    """One customer sent several times its rate and all of it was admitted, to the cost of others.

    VMs applied the quota on their own while some could not reach each other, had just started, or
    used the share of an unreachable daemon. In all these events all VMs together have to stay
    within the bound.
    """
    found: list[QuotaFigures] = []

    async def scenario(fleet: GatewayFleet) -> None:
        await async_start(fleet, 6, RATE, BURST)
        events = asyncio.create_task(event(fleet))
        found.append(await async_drive(fleet, RATE, BURST, RATE * 4, 22, seed=1))
        await events

    run_fleet(scenario)
    assert found[0].most_in_window <= BOUND
    assert found[0].admitted >= 0.5 * found[0].ideal


def test_two_daemons_without_contact_do_not_both_spend_the_rest() -> None:
    """Two VMs lost contact while all others reached both, and a customer got 1.6 times its rate.

    Each of the two used all shares but the other's; the rest counted both and admitted nothing.
    """
    found: list[QuotaFigures] = []

    async def scenario(fleet: GatewayFleet) -> None:
        await async_start(fleet, 4, RATE, BURST)
        cutting = asyncio.create_task(async_cut_pair(fleet))
        found.append(await async_drive(fleet, RATE, BURST, RATE * 8, 14, seed=1))
        await cutting

    run_fleet(scenario)
    assert found[0].most_in_window <= BOUND


def test_customer_within_its_rate_is_not_refused() -> None:
    """One in ten requests of a customer within its rate was refused.

    Its requests reached the VMs unevenly, and each VM had an even share of the quota. With one
    bucket for all VMs, bursts of 1.85 times the mean demand, which is 0.62 of the rate, are all
    admitted.
    """
    found: list[QuotaFigures] = []

    async def scenario(fleet: GatewayFleet) -> None:
        await async_start(fleet, 6, RATE, BURST)
        found.append(await async_drive(fleet, RATE, BURST, RATE * 0.62, 20, seed=2))

    run_fleet(scenario)
    assert found[0].asked > 300
    assert found[0].admitted == found[0].asked


def test_lowered_quota_applies_from_the_next_window_on() -> None:
    found: list[QuotaFigures] = []

    async def scenario(fleet: GatewayFleet) -> None:
        limits = {"name": "club", "rate_per_s": RATE, "burst": BURST}
        fleet.write_catalogue(customers=(limits,))
        await fleet.async_add_many(4)
        await fleet.clock.async_sleep(2_000)
        await async_drive(fleet, RATE, BURST, RATE * 2, 6, seed=3)
        fleet.write_catalogue(2, customers=(limits | {"rate_per_s": 5.0, "burst": 5.0},))
        await fleet.clock.async_sleep(500)
        found.append(await async_drive(fleet, 5.0, 5.0, RATE * 2, 15, seed=4))

    run_fleet(scenario)
    assert found[0].most_in_window <= (5 * WINDOW_S + 5) * 1.1 + 20


def test_request_refused_without_a_run_is_refunded() -> None:
    """In an overload callers were refused with a retry time, and then refused again by their quota.

    Each attempt had been counted before it was known that no upstream had capacity; none of them
    ran.
    """
    refused: list[FakeResponder] = []
    answered: list[FakeResponder] = []

    async def scenario(fleet: GatewayFleet) -> None:
        limits = {"name": "club", "rate_per_s": 1.0, "burst": 5.0}
        fleet.write_catalogue(customers=(limits,))
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(6_000)
        for _ in range(5):
            refused.append(await async_send(fleet, first, "/stream/x"))
        fleet.add_engines(1)
        await fleet.clock.async_sleep(300)
        for member in (first, second, first, second, first):
            answered.append(await async_send(fleet, member, "/stream/x"))

    run_fleet(scenario)
    assert all(r.refusal is not None and r.refusal.not_run for r in refused)
    assert [responder.refusal for responder in answered] == [None] * 5
