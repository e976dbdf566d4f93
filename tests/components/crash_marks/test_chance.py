"""Crashes of upstreams that no request causes."""

import asyncio
import random

import pytest

from standins.crash_traffic import CrashLoad, CrashTraffic, Outages
from standins.gateways import GatewayFleet
from tests.helpers.crash_plays import async_prepare
from tests.helpers.gateways import run_fleet


@pytest.mark.parametrize(
    ("outages", "load", "vms", "engines"),
    [
        pytest.param(Outages(800), CrashLoad(sound_per_s=25.0), 3, 10, id="one by one"),
        pytest.param(Outages(2_500, together=6), CrashLoad(sound_per_s=25.0), 3, 12, id="racks"),
        pytest.param(Outages(1_500, silent=True), CrashLoad(sound_per_s=25.0), 3, 10, id="silent"),
        pytest.param(Outages(600), CrashLoad(sound_per_s=3.0), 3, 6, id="few requests"),
        pytest.param(
            Outages(700, together=3), CrashLoad(sound_per_s=90.0), 30, 30, id="behind relays"
        ),
    ],
)
def test_no_part_is_refused_for_crashes_that_no_request_causes(
    outages: Outages, load: CrashLoad, vms: int, engines: int
) -> None:
    """Guards against refusing a part that many requests hold, and that is at every crash."""

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, vms, engines)
        quiet = CrashLoad((), load.sound_per_s, 15.0, 15.0)
        traffic = CrashTraffic(fleet, quiet, random.Random(3))
        ending = asyncio.create_task(traffic.async_end_upstreams(outages, random.Random(4)))
        await traffic.async_play()
        ending.cancel()
        pages = [member.core.meters.render() for member in fleet.members]
        assert all(b"goldcreststair_crash_verdicts_total 0.0" in page for page in pages)
        assert any(b"goldcreststair_upstream_crashes_total 0.0" not in page for page in pages)

    run_fleet(scenario)
