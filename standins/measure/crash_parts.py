"""Plays prompts with a part that crashes upstreams, and measures what it costs when nothing crashes."""

import asyncio
import logging
import random
import re
import time
from dataclasses import dataclass, replace
from typing import Final

from cyclopts import App

from goldcreststair.clock import LoopClock
from standins.crash_rules import CrashRecord, read_begun_share
from standins.crash_traffic import CUSTOMERS, CrashLoad, CrashPart, CrashTraffic, Outages
from standins.gateways import FleetMember, GatewayFleet, make_fleet
from standins.virtual_time import run_virtual
from tests.helpers.gateways import async_read, async_submit

app = App(help=__doc__)

STABLE_MS: Final = 3_000
SETTLE_MS: Final = 3_000
VMS: Final = 3
ENGINES: Final = 10
LIMIT_S: Final = 600.0
ROUNDS: Final = 100_000
VERDICTS: Final = re.compile(rb"crash_verdicts_total (\S+)")
REQUESTS_PER_S: Final = 20.0
PLAY_S: Final = 25.0
ITEMS: Final = 120
ITEM_EVENTS: Final = 200
ITEMS_BEFORE_MS: Final = 2_000
OUTAGES_MS: Final = 6_000
ITEMS_AFTER_MS: Final = 30_000


def play(seed: int, vms: int = VMS, engines: int = ENGINES) -> CrashRecord:
    """Play the usual load on virtual time."""
    records: list[CrashRecord] = []

    async def async_run() -> None:
        fleet = await _async_start_fleet(vms, engines)
        traffic = CrashTraffic(fleet, CrashLoad(), random.Random(seed))
        records.append(await traffic.async_play())
        await fleet.async_close()

    run_virtual(async_run(), LIMIT_S)
    return records[0]


async def _async_start_fleet(vms: int, engines: int) -> GatewayFleet:
    fleet = make_fleet(LoopClock())
    customers = tuple({"name": name} for name in CUSTOMERS)
    fleet.write_catalogue(customers=customers, keys={f"key-{name}": name for name in CUSTOMERS})
    fleet.add_engines(engines)
    await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(SETTLE_MS)
    return fleet


def is_in_touch(_: str, __: float) -> bool:
    """Return True: no VM is disturbed."""
    return True


@app.default
def main(seeds: int = 5, vms: int = VMS, engines: int = ENGINES) -> None:
    """Print crashes, requests past the budget and the share of sound requests that begin, by seed."""
    logging.disable(logging.CRITICAL)
    for seed in range(seeds):
        record = play(seed, vms, engines)
        later = sum(
            record.count_later(part, STABLE_MS, is_in_touch) for part in record.list_parts()
        )
        shares = {
            group: f"{begun}/{total}"
            for group, (begun, total) in read_begun_share(record, STABLE_MS, is_in_touch).items()
        }
        print(f"seed {seed}: {len(record.crashes)} crashes, {later} past the budget, {shares}")


@dataclass(frozen=True, slots=True)
class Direction:
    """One load, and what ends upstreams in it."""

    load: CrashLoad
    outages: Outages | None = None


def make_bad_load(share: float) -> CrashLoad:
    """Return a load of which a share holds a part that crashes upstreams; all hold one other part."""
    part = CrashPart(per_s=REQUESTS_PER_S * share)
    sound_per_s = REQUESTS_PER_S * (1 - share)
    return CrashLoad((part,), sound_per_s, system_parts=("system",), crash_s=PLAY_S)


SOUND_LOAD: Final = CrashLoad((), REQUESTS_PER_S, PLAY_S, 0.0, system_parts=("system",))
DIRECTIONS: Final = {
    "chance, one by one": Direction(SOUND_LOAD, Outages(800)),
    "chance, three at once": Direction(SOUND_LOAD, Outages(1_500, together=3)),
    "chance, few requests": Direction(replace(SOUND_LOAD, sound_per_s=1.0), Outages(400)),
    "bad part in 1 of 100": Direction(make_bad_load(0.01)),
    "bad part in 30 of 100": Direction(make_bad_load(0.3)),
    "bad part in 90 of 100": Direction(make_bad_load(0.9)),
}


ITEM_OUTAGES: Final = {
    "chance, long items, one by one": Outages(800),
    "chance, long items, three at once": Outages(1_500, together=3),
}


def _read_verdicts(member: FleetMember) -> int:
    """Return how many verdicts a VM has found or taken over."""
    found = VERDICTS.search(member.core.meters.render())
    return int(float(found[1])) if found is not None else 0


def play_direction(direction: Direction, seed: int) -> str:
    """Play one load on virtual time, and describe what became of it."""
    found: list[str] = []

    async def async_run() -> None:
        fleet = await _async_start_fleet(VMS, ENGINES)
        traffic = CrashTraffic(fleet, direction.load, random.Random(seed))
        ending = None
        if direction.outages is not None:
            chooser = random.Random(seed + 1)
            ending = asyncio.create_task(traffic.async_end_upstreams(direction.outages, chooser))
        record = await traffic.async_play()
        if ending is not None:
            ending.cancel()
        later = sum(record.count_later(p, STABLE_MS, is_in_touch) for p in record.list_parts())
        sound = [attempt for attempt in record.attempts if attempt.begun]
        verdicts = [_read_verdicts(member) for member in fleet.members]
        found.append(
            f"{len(record.crashes)} crashes by the part, {later} past the budget, verdicts "
            f"{max(verdicts)}, sound begun {len(sound)}/{len(record.attempts)}"
        )
        await fleet.async_close()

    run_virtual(async_run(), LIMIT_S)
    return found[0]


def play_items(outages: Outages, seed: int) -> str:
    """Play a job of long items with one common part while upstreams end by themselves."""
    found: list[str] = []

    async def async_run() -> None:
        fleet = await _async_start_fleet(VMS, ENGINES)
        fleet.engines.events = ITEM_EVENTS
        traffic = CrashTraffic(fleet, SOUND_LOAD, random.Random(seed))
        parts = [f"shared,own{number}" for number in range(ITEMS)]
        await async_submit(fleet, fleet.members[0], "j", ITEMS, parts=parts)
        await fleet.clock.async_sleep(ITEMS_BEFORE_MS)
        ending = traffic.async_end_upstreams(outages, random.Random(seed + 1))
        task = asyncio.create_task(ending)
        await fleet.clock.async_sleep(OUTAGES_MS)
        task.cancel()
        await fleet.clock.async_sleep(ITEMS_AFTER_MS)
        done = len((await async_read(fleet.members[0], "j")).results)
        verdicts = max(_read_verdicts(member) for member in fleet.members)
        found.append(f"verdicts {verdicts}, items done {done}/{ITEMS}")
        await fleet.async_close()

    run_virtual(async_run(), LIMIT_S)
    return found[0]


@app.command
def directions(seeds: int = 5) -> None:
    """Compare chance crashes on a part that all requests hold with a bad part in some of them."""
    logging.disable(logging.CRITICAL)
    for name, direction in DIRECTIONS.items():
        for seed in range(seeds):
            print(f"{name}, seed {seed}: {play_direction(direction, seed)}")
    for name, outages in ITEM_OUTAGES.items():
        for seed in range(seeds):
            print(f"{name}, seed {seed}: {play_items(outages, seed)}")


@app.command
def cost() -> None:
    """Print the time that one request takes while no crash counts, µs."""
    from goldcreststair.components.crash_marks.guard import RequestGuard
    from goldcreststair.components.crash_marks.service import CRASH_TRACKER
    from goldcreststair.helpers.crash_evidence import list_suspects

    async def async_run() -> None:
        fleet = make_fleet(LoopClock())
        (engine,) = fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(SETTLE_MS)
        tracker = member.core.get(CRASH_TRACKER)
        await tracker.async_load(list_suspects("00" * 8, ("a", "b", "c")))
        from goldcreststair.components.placement.service import PLACEMENT

        entry = member.core.get(PLACEMENT).controller.upstreams.find(engine.name)
        assert entry is not None
        began = time.perf_counter()
        for number in range(ROUNDS):
            parts = (f"system-{number % 3}", f"session-{number % 1000}", "own")
            suspects = list_suspects(f"{number:016x}", parts)
            tracker.is_refused(suspects)
            guard: RequestGuard = tracker.open_guard(suspects, lambda: None)
            await guard.async_enter(fleet.clock.now())
            tracker.report_answer(entry, suspects, fleet.clock.now())
            guard.leave()
        took_us = (time.perf_counter() - began) / ROUNDS * 1e6
        print(f"{took_us:.1f} us a request")
        await fleet.async_close()

    run_virtual(async_run(), LIMIT_S)


if __name__ == "__main__":
    app()
