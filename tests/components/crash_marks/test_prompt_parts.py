"""Plays of a fleet whose callers send prompts with a part that crashes each upstream that answers on it."""

import random
from dataclasses import dataclass

from goldcreststair.clock import Millis
from standins.crash_rules import CrashRecord, find_lost_sound, find_over_budget
from standins.crash_traffic import CUSTOMERS, CrashLoad, CrashTraffic
from standins.gateways import GatewayFleet
from tests.helpers.gateways import run_fleet

STABLE_MS = 3_000
SETTLE_MS = 3_000
VMS = 3
ENGINES = 10


@dataclass(frozen=True, slots=True)
class Play:
    """What was seen of one load."""

    record: CrashRecord
    calm_until: Millis


def is_in_touch(_: str, __: float) -> bool:
    """Return True: no VM of these plays is disturbed."""
    return True


async def async_play(fleet: GatewayFleet, load: CrashLoad, seed: int, vms: int = VMS) -> Play:
    """Play a load on a new fleet."""
    customers = tuple({"name": name} for name in CUSTOMERS)
    keys = {f"key-{name}": name for name in CUSTOMERS}
    fleet.write_catalogue(customers=customers, keys=keys)
    fleet.add_engines(ENGINES)
    await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(SETTLE_MS)
    calm_until = Millis(fleet.clock.now() + int(load.calm_s * 1000))
    record = await CrashTraffic(fleet, load, random.Random(seed)).async_play()
    return Play(record, calm_until)


def play(load: CrashLoad, seed: int) -> Play:
    """Play a load on virtual time."""
    plays: list[Play] = []

    async def scenario(fleet: GatewayFleet) -> None:
        plays.append(await async_play(fleet, load, seed))

    run_fleet(scenario)
    return plays[0]


def test_requests_with_a_part_that_crashes_upstreams_stop_reaching_them() -> None:
    """Guards against different requests with one common part that crash upstream after upstream."""
    record = play(CrashLoad(), 0).record
    assert len(record.crashes) >= 3
    assert list(find_over_budget(record, STABLE_MS, is_in_touch)) == []


def test_sound_requests_begin_while_a_part_crashes_upstreams() -> None:
    """Guards against sound requests that get no answer because others crash their upstreams."""
    seen = play(CrashLoad(), 0)
    lost = find_lost_sound(seen.record, STABLE_MS, is_in_touch, seen.calm_until)
    assert list(lost) == []
