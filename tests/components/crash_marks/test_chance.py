"""Crashes of upstreams that no request causes."""

import asyncio
import functools
import random
from dataclasses import dataclass

import pytest

from standins.crash_traffic import RESTART_MS, CrashLoad, CrashTraffic
from standins.gateways import GatewayFleet
from tests.helpers.crash_plays import async_prepare
from tests.helpers.gateways import run_fleet


@dataclass(frozen=True, slots=True)
class Outages:
    """How upstreams end by themselves."""

    every_ms: int
    together: int = 1
    """Number of upstreams that end at one moment."""
    silent: bool = False


async def async_end_upstreams(
    fleet: GatewayFleet, traffic: CrashTraffic, outages: Outages, chooser: random.Random
) -> None:
    """End upstreams, each of which returns after some time."""
    while True:
        await fleet.clock.async_sleep(int(chooser.expovariate(1 / outages.every_ms)) + 1)
        up = [e for e in fleet.engines.by_address.values() if e.up and not e.unreachable]
        for engine in chooser.sample(up, min(outages.together, max(0, len(up) - 2))):
            engine.up, engine.unreachable = outages.silent, outages.silent
            fleet.clock.call_later(RESTART_MS, functools.partial(traffic.restart, engine))


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
        ending = asyncio.create_task(async_end_upstreams(fleet, traffic, outages, random.Random(4)))
        await traffic.async_play()
        ending.cancel()
        pages = [member.core.meters.render() for member in fleet.members]
        assert all(b"goldcreststair_crash_verdicts_total 0.0" in page for page in pages)
        assert any(b"goldcreststair_upstream_crashes_total 0.0" not in page for page in pages)

    run_fleet(scenario)
