"""Plays loads with prompt parts that crash upstreams, on fleets of gateway daemons on virtual time."""

import random
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Final

from goldcreststair.clock import Millis
from goldcreststair.helpers.crash_verdicts import ITEM_TRIAL_PAUSES_MS
from standins.crash_rules import CrashRecord, find_lost_sound, find_over_budget
from standins.crash_traffic import CUSTOMERS, CrashLoad, CrashTraffic
from standins.gateways import GatewayFleet
from tests.helpers.gateways import run_fleet

STABLE_MS: Final = 3_000
SETTLE_MS: Final = 3_000


@dataclass(slots=True)
class CrashPlay:
    """What was seen of one load, and when VMs were disturbed."""

    record: CrashRecord
    calm_until: Millis
    disturbed: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    def is_in_touch(self, vm: str, at: float) -> bool:
        """Return whether a VM was undisturbed for `STABLE_MS` before a time."""
        spans = self.disturbed.get(vm, ())
        return not any(since <= at <= until + STABLE_MS for since, until in spans)

    def list_broken(self) -> list[str]:
        """Return the broken rules."""
        over = find_over_budget(self.record, STABLE_MS, self.is_in_touch)
        lost = find_lost_sound(self.record, STABLE_MS, self.is_in_touch, self.calm_until)
        return [*over, *lost]


def count_trials(within_ms: int) -> int:
    """Return how many trials of items are due within a time after a verdict."""
    return sum(due_ms <= within_ms for due_ms in accumulate(ITEM_TRIAL_PAUSES_MS))


async def async_prepare(fleet: GatewayFleet, vms: int, engines: int) -> None:
    """Start a fleet for two customers, and wait until its VMs know each other."""
    customers = tuple({"name": name} for name in CUSTOMERS)
    fleet.write_catalogue(customers=customers, keys={f"key-{name}": name for name in CUSTOMERS})
    fleet.add_engines(engines)
    await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(SETTLE_MS)


async def async_play(fleet: GatewayFleet, load: CrashLoad, seed: int = 0) -> CrashPlay:
    """Play a load on a fleet that runs."""
    calm_until = Millis(fleet.clock.now() + int(load.calm_s * 1000))
    record = await CrashTraffic(fleet, load, random.Random(seed)).async_play()
    return CrashPlay(record, calm_until)


def play(load: CrashLoad, seed: int = 0, *, vms: int = 3, engines: int = 10) -> CrashPlay:
    """Play a load on a new fleet."""
    plays: list[CrashPlay] = []

    async def scenario(fleet: GatewayFleet) -> None:
        await async_prepare(fleet, vms, engines)
        plays.append(await async_play(fleet, load, seed))

    run_fleet(scenario)
    return plays[0]
