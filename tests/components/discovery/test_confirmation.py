"""Tests of what is known of the list of upstreams at a moment."""

import asyncio

import pytest

from goldcreststair.components.discovery.protocols import UPSTREAM_LIST
from standins.gateways import FleetMember, GatewayFleet
from tests.components.forwarding.test_software_versions import add_versions
from tests.helpers.gateways import run_fleet


async def async_start(fleet: GatewayFleet) -> FleetMember:
    """Return a daemon that has read the list."""
    add_versions(fleet, "v1")
    member = await fleet.async_add()
    await fleet.clock.async_sleep(1_000)
    return member


@pytest.mark.parametrize(("asked", "calls"), [(1, 1), (20, 1)])
def test_those_who_come_together_share_a_call(asked: int, calls: int) -> None:
    """Guards against a call of the store for each stream when the callers of a lost VM come back."""

    async def scenario(fleet: GatewayFleet) -> None:
        member = await async_start(fleet)
        upstreams = member.core.get(UPSTREAM_LIST)
        before = member.view.calls["follow"]
        assert all(await asyncio.gather(*(upstreams.async_confirm() for _ in range(asked))))
        assert member.view.calls["follow"] - before == calls

    run_fleet(scenario)


def test_a_call_that_was_sent_before_does_not_count() -> None:
    """Guards against a confirmation that is older than the request that needs it."""

    async def scenario(fleet: GatewayFleet) -> None:
        member = await async_start(fleet)
        upstreams = member.core.get(UPSTREAM_LIST)
        before = member.view.calls["follow"]
        first = asyncio.create_task(upstreams.async_confirm())
        await fleet.clock.async_sleep(1)
        assert await upstreams.async_confirm() and await first
        assert member.view.calls["follow"] - before == 2

    run_fleet(scenario)


@pytest.mark.parametrize("is_silent", [True, False])
def test_list_is_not_confirmed_while_the_store_is_away(is_silent: bool) -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        member = await async_start(fleet)
        fleet.store.faults.silent = is_silent
        fleet.store.faults.down = not is_silent
        assert not await member.core.get(UPSTREAM_LIST).async_confirm()

    run_fleet(scenario)


def test_an_upstream_that_came_and_went_unseen_is_a_gap() -> None:
    """Guards against a version that served between two reads of the list and is in neither."""

    async def scenario(fleet: GatewayFleet) -> None:
        member = await async_start(fleet)
        upstreams = member.core.get(UPSTREAM_LIST)
        followed_since = upstreams.read_followed_since()
        member.view.cut = True
        (brief,) = add_versions(fleet, "v2")
        await fleet.clock.async_sleep(500)
        fleet.unregister(brief)
        member.view.cut = False
        await fleet.clock.async_sleep(1_000)
        assert upstreams.read_followed_since() > followed_since

    run_fleet(scenario)


def test_rows_that_are_read_anew_are_a_gap() -> None:
    """Guards against versions that served in a part of the history that the store has dropped."""

    async def scenario(fleet: GatewayFleet) -> None:
        member = await async_start(fleet)
        upstreams = member.core.get(UPSTREAM_LIST)
        followed_since = upstreams.read_followed_since()
        fleet.store.drop_history()
        await fleet.clock.async_sleep(1_000)
        assert upstreams.read_followed_since() > followed_since

    run_fleet(scenario)
