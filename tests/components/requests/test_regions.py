"""Tests that requests stay in the regions allowed by their route and customer.

This covers upstreams, job owners and the addresses that callers receive.
"""

import asyncio
from collections.abc import Mapping
from typing import Any

import pytest

from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.jobs.protocols import JOBS
from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import DEFAULT_ROUTES, HOST, FakeResponder, FleetMember, GatewayFleet
from standins.run_engines import RunEngine
from tests.helpers.gateways import async_read, async_send, async_submit, run_fleet

REGIONS = {"dc0": "r0", "dc1": "r1", "dc2": "r2"}
PLACES = [
    (["r1"], [], {"dc1"}),
    ([], ["r1", "r2"], {"dc1", "dc2"}),
    (["r0", "r1"], ["r1", "r2"], {"dc1"}),
]
"""Allowed regions of the routes and of the customer, and the data centres that satisfy both."""


def make_routes(regions: list[str]) -> tuple[Mapping[str, Any], ...]:
    """Return the default routes restricted to some regions."""
    return tuple({**route, "regions": regions} for route in DEFAULT_ROUTES)


async def async_start(
    fleet: GatewayFleet, routes: list[str], customer: list[str], vms: int = 6
) -> list[RunEngine]:
    """Start daemons and two engines in each of three regions."""
    fleet.regions = REGIONS
    customers = ({"name": "club", "regions": customer},)
    fleet.write_catalogue(routes=make_routes(routes), customers=customers)
    engines = fleet.add_engines(6)
    await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(2_500)
    return engines


def list_used_data_centres(engines: list[RunEngine]) -> set[str]:
    """Return the data centres whose engines ran anything."""
    return {engine.data_centre for engine in engines if engine.ran}


def list_job_outcomes(member: FleetMember) -> str:
    """Return the metrics of a daemon that say what became of jobs there."""
    lines = member.core.meters.render().decode().splitlines()
    return "\n".join(line for line in lines if "batch_jobs_total" in line)


async def async_load(fleet: GatewayFleet) -> list[FakeResponder]:
    """Send requests of each kind to all daemons, more than the engines of one region have slots for."""
    paths = ("/stream/1", "/once/1", "/call/1", "/book/1")
    sent = [async_send(fleet, each, path) for each in fleet.members for path in paths * 5]
    return await asyncio.gather(*sent)


@pytest.mark.parametrize(("routes", "customer", "allowed"), PLACES)
def test_upstreams_of_other_regions_get_no_requests(
    routes: list[str], customer: list[str], allowed: set[str]
) -> None:
    """Guards against requests that overflow or are retried into a region that is not allowed."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_start(fleet, routes, customer)
        engines[1].reset = engines[4].refuse = True
        await async_load(fleet)
        engines[1].reset = engines[4].refuse = False
        await async_submit(fleet, fleet.members[0], "j", 20)
        await fleet.clock.async_sleep(10_000)
        assert list_used_data_centres(engines) == allowed
        assert (await async_read(fleet.members[1], "j")).total == 20

    run_fleet(scenario)


def test_request_without_upstream_in_its_regions_is_refused_at_once() -> None:
    """Guards against callers that wait although no allowed region has an upstream."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_start(fleet, ["r9"], [])
        for responder in await async_load(fleet):
            assert responder.refusal is not None and responder.refusal.not_run
            assert responder.refusal.code is RefusalCode.NO_UPSTREAM
            assert responder.refusal.retry_after_ms > 0
        assert not list_used_data_centres(engines)

    run_fleet(scenario)


def test_jobs_are_taken_over_within_their_regions() -> None:
    """Guards against a takeover by a VM of a region that may not read the job's bodies."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_start(fleet, ["r1"], [], 9)
        inside = [each for each in fleet.members if each.core.settings.region == "r1"]
        for engine in fleet.engines.by_address.values():
            fleet.unregister(engine)
        await fleet.clock.async_sleep(100)
        for number in range(6):
            await async_submit(fleet, inside[0], f"j{number}", 2)
        await fleet.async_kill(inside[0])
        await fleet.clock.async_sleep(8_000)
        owners = {
            each.core.settings.region for each in fleet.members if each.core.get(JOBS).count_owned()
        }
        assert owners == {"r1"}

    run_fleet(scenario)


@pytest.mark.parametrize("is_relayed", [False, True])
def test_jobs_of_a_removed_customer_stay_within_its_regions(is_relayed: bool) -> None:
    """Guards against items and bodies that leave the regions of a customer which the catalogue no longer names."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_start(fleet, [], ["r1"], 9)
        for engine in engines:
            engine.slots = 2
            fleet.register(engine)
        outside = next(each for each in fleet.members if each.core.settings.region == "r2")
        outside.view.cut = is_relayed
        await fleet.clock.async_sleep(3_500)
        inside = [each for each in fleet.members if each.core.settings.region == "r1"]
        for number in range(6):
            member = outside if is_relayed else inside[0]
            assert (await async_submit(fleet, member, f"j{number}", 10)).accepted
        fleet.write_catalogue(2, customers=({"name": "other"},), keys={})
        await fleet.clock.async_sleep(300)
        for each in inside[:2]:
            await fleet.async_kill(each)
        await fleet.clock.async_sleep(15_000)
        assert list_used_data_centres(engines) == {"dc1"}
        taken = [each for each in fleet.members if "taken_over" in list_job_outcomes(each)]
        assert {each.core.settings.region for each in taken} == {"r1"}

    run_fleet(scenario)


def test_submission_is_relayed_within_its_regions() -> None:
    """Guards against a VM without the store that relays a job into a region that is not allowed."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_start(fleet, ["r1"], [])
        member = next(each for each in fleet.members if each.core.settings.region == "r2")
        member.view.cut = True
        await fleet.clock.async_sleep(3_500)
        for number in range(8):
            assert (await async_submit(fleet, member, f"j{number}", 1)).accepted
        await fleet.clock.async_sleep(100)
        owners = [each for each in fleet.members if each.core.get(JOBS).count_owned()]
        assert {each.core.settings.region for each in owners} <= {"r1"}

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("host", "region", "named"),
    [
        (HOST, "r0", {"r0"}),
        (HOST, "r1", {"r1"}),
        ("other.example", "r0", {"r0"}),
        (HOST, "r9", {"r1"}),
        ("other.example", "r9", {"r0", "r1", "r2"}),
    ],
)
def test_callers_get_addresses_of_their_own_or_an_allowed_region(
    host: str, region: str, named: set[str]
) -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        await async_start(fleet, ["r1"], [])
        entry = fleet.members[0].core.get(ENTRY)
        addresses = entry.list_addresses("dc9", region, host)
        by_front = {each.core.settings.front: each.core.settings.region for each in fleet.members}
        assert {by_front[address] for address in addresses} == named

    run_fleet(scenario)


def test_no_address_is_returned_when_the_allowed_regions_have_no_vm() -> None:
    """Guards against sending callers to a region where their request may not be handled."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_start(fleet, ["r9"], [])
        assert fleet.members[0].core.get(ENTRY).list_addresses("dc9", "r8", HOST) == []

    run_fleet(scenario)
