"""Streams whose route has moved to another service."""

from collections.abc import Mapping
from typing import Any

import pytest

from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import DEFAULT_ROUTES, GatewayFleet
from standins.run_engines import RunEngine
from tests.components.forwarding.test_software_versions import add_versions
from tests.components.stream_origins.test_fleet import async_begin, async_take_up
from tests.helpers.gateways import run_fleet

SERVICES = ("engine", "other")
MOVED: Mapping[str, Any] = {
    "prefix": "/stream/",
    "kind": "streaming",
    "resumable": True,
    "service": "other",
}
NARROW: Mapping[str, Any] = {**MOVED, "prefix": "/stream/a/"}
OTHERS = tuple(route for route in DEFAULT_ROUTES if route["prefix"] != "/stream/")


def add_other(fleet: GatewayFleet) -> None:
    """Add an upstream of the other service."""
    engine = RunEngine("o1", "10.9.9.1:80", "other", "dc0", 8, software="w1")
    fleet.engines.add(engine)
    fleet.register(engine)


@pytest.mark.parametrize("kills", [True, False])
@pytest.mark.parametrize("after_ms", [200, 3_000])
def test_streams_from_before_a_move_do_not_go_on_at_the_new_service(
    kills: bool, after_ms: int
) -> None:
    """Guards against streams that another VM takes for ones of the only version of the new service."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.write_catalogue(1, services=SERVICES)
        add_versions(fleet, "v1")
        add_other(fleet)
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(3_000)
        began = await async_begin(fleet, first)
        assert set(began.values()) == {"v1"}
        fleet.write_catalogue(2, routes=(MOVED, *OTHERS), services=SERVICES)
        await fleet.clock.async_sleep(after_ms)
        if kills:
            await fleet.async_kill(first)
        for answer in (await async_take_up(fleet, second, began)).values():
            assert answer.refusal is not None
            assert answer.refusal.code is RefusalCode.CANNOT_RESUME and answer.refusal.not_run

    run_fleet(scenario)


def test_streams_from_after_a_move_go_on_at_another_vm() -> None:
    """Guards against refusing streams of the new service when their VM is lost soon after a move."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.write_catalogue(1, services=SERVICES)
        add_versions(fleet, "v1")
        add_other(fleet)
        first, second = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(3_000)
        fleet.write_catalogue(2, routes=(MOVED, *OTHERS), services=SERVICES)
        await fleet.clock.async_sleep(500)
        began = await async_begin(fleet, first)
        assert set(began.values()) == {"w1"}
        await fleet.async_kill(first)
        answers = await async_take_up(fleet, second, began)
        assert all(answer.whole for answer in answers.values())

    run_fleet(scenario)
