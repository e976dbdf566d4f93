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
from goldcreststair.const import MS_PER_SECOND
from standins.crash_rules import CrashRecord, read_begun_share
from standins.crash_traffic import (
    CUSTOMERS,
    RESTART_MS,
    CrashLoad,
    CrashPart,
    CrashTraffic,
    Outages,
)
from standins.gateways import FleetMember, GatewayFleet, make_fleet
from standins.run_engines import RunEngine
from standins.virtual_time import run_virtual
from tests.helpers.gateways import async_read, async_send, async_submit

app = App(help=__doc__)

STABLE_MS: Final = 3_000
SETTLE_MS: Final = 3_000
VMS: Final = 3
ENGINES: Final = 10
LIMIT_S: Final = 600.0
ROUNDS: Final = 100_000
VERDICTS: Final = re.compile(rb"crash_verdicts_total (\S+)")
REFUSED: Final = re.compile(rb'requests_total{kind="[a-z_]+",outcome="quarantined"} (\S+)')
EVENTS: Final = 20
LIMIT_MS: Final = 300_000
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
    events: int = EVENTS
    """Events of each answer."""


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


LONG_EVENTS: Final = 130
"""An answer takes 3.9 s, of 5 s that a request may take."""
LONG_LOAD: Final = replace(SOUND_LOAD, sound_per_s=8.0, path="/once/a")
LONG_DIRECTIONS: Final = {
    "chance, long streams, one by one": Direction(LONG_LOAD, Outages(800), LONG_EVENTS),
    "chance, long streams, three at once": Direction(
        LONG_LOAD, Outages(1_500, together=3), LONG_EVENTS
    ),
    "chance, few long streams": Direction(
        replace(LONG_LOAD, sound_per_s=1.0), Outages(400), LONG_EVENTS
    ),
    "chance, resumable long streams": Direction(
        replace(LONG_LOAD, path="/stream/a"), Outages(800), LONG_EVENTS
    ),
}


@dataclass(frozen=True, slots=True)
class FewItems:
    """A job of a few very long items, and what ends upstreams meanwhile."""

    items: int
    outages: Outages
    events: int = 600
    """An item takes 18 s if nothing ends it."""
    lasts_ms: int = 30_000


FEW_ITEMS: Final = {
    "chance, one item of 18 s": FewItems(1, Outages(400)),
    "chance, four items of 18 s": FewItems(4, Outages(400)),
    "chance, 40 items of 18 s": FewItems(40, Outages(600)),
    "chance, 40 items of 18 s, three at once": FewItems(40, Outages(1_500, together=3)),
}


@dataclass(frozen=True, slots=True)
class LateCrash:
    """A request that crashes upstreams late in its answer, and comes again and again."""

    after_ms: int
    every_ms: int = 1_500


LATE_CRASHES: Final = {
    f"bad request, {after_ms} ms after its first event, every {every_ms} ms": LateCrash(
        after_ms, every_ms
    )
    for after_ms, every_ms in (
        (100, 1_500),
        (1_300, 1_500),
        (1_300, 300),
        (1_300, 10_000),
        (3_000, 1_500),
    )
}
LATE_BODY: Final = b"crash"
LATE_PLAY_MS: Final = 60_000
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
        fleet.engines.events = direction.events
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
        refused = _count_refused(fleet)
        verdicts = [_read_verdicts(member) for member in fleet.members]
        found.append(
            f"{len(record.crashes)} crashes by the part, {later} past the budget, verdicts "
            f"{max(verdicts)}, sound begun {len(sound)}/{len(record.attempts)}, refused for "
            f"crashes {refused}"
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


def play_few_items(few: FewItems, seed: int) -> str:
    """Play a job of a few very long items while upstreams end by themselves."""
    found: list[str] = []

    async def async_run() -> None:
        fleet = await _async_start_fleet(VMS, ENGINES)
        fleet.engines.events = few.events
        traffic = CrashTraffic(fleet, SOUND_LOAD, random.Random(seed))
        parts = [f"shared,own{number}" for number in range(few.items)]
        began_at = fleet.clock.now()
        await async_submit(fleet, fleet.members[0], "j", few.items, parts=parts)
        ending = traffic.async_end_upstreams(few.outages, random.Random(seed + 1))
        task = asyncio.create_task(ending)
        asyncio.get_running_loop().call_later(few.lasts_ms / MS_PER_SECOND, task.cancel)
        page = await async_read(fleet.members[0], "j")
        while len(page.results) < few.items and fleet.clock.now() < began_at + LIMIT_MS:
            await fleet.clock.async_sleep(100)
            page = await async_read(fleet.members[0], "j")
        done = sum(result.done for result in page.results)
        verdicts = max(_read_verdicts(member) for member in fleet.members)
        took_s = (fleet.clock.now() - began_at) / MS_PER_SECOND
        found.append(f"verdicts {verdicts}, items done {done}/{few.items} after {took_s:.1f} s")
        await fleet.async_close()

    run_virtual(async_run(), LIMIT_S)
    return found[0]


def play_late_crash(late: LateCrash, seed: int) -> str:
    """Play a request that crashes upstreams late, beside sound long streams."""
    found: list[str] = []

    async def async_run() -> None:
        fleet = await _async_start_fleet(VMS, ENGINES)
        world = fleet.engines
        world.events, world.poison, world.poison_after_ms = LONG_EVENTS, LATE_BODY, late.after_ms
        traffic = CrashTraffic(fleet, replace(LONG_LOAD, calm_s=60.0), random.Random(seed))

        def restart_later(engine: RunEngine) -> None:
            fleet.clock.call_later(RESTART_MS, lambda: traffic.restart(engine))

        world.on_crash = restart_later
        sound = asyncio.create_task(traffic.async_play())
        async with asyncio.TaskGroup() as tasks:
            for number in range(LATE_PLAY_MS // late.every_ms):
                member = fleet.members[number % VMS]
                sending = async_send(
                    fleet, member, "/once/bad", LATE_BODY, parts=("system", "own"), key="key-club"
                )
                tasks.create_task(sending)
                await fleet.clock.async_sleep(late.every_ms)
        record = await sound
        crashes, begun = world.poison_crashes, [a for a in record.attempts if a.begun]
        ends_at = crashes[2] + STABLE_MS if len(crashes) > 2 else fleet.clock.now()
        later = sum(at > ends_at for at in world.poison_arrivals)
        found.append(
            f"{len(crashes)} crashes, {later} requests later than {STABLE_MS} ms after the third, "
            f"sound begun {len(begun)}/{len(record.attempts)}, refused for crashes "
            f"{_count_refused(fleet)}"
        )
        await fleet.async_close()

    run_virtual(async_run(), LIMIT_S)
    return found[0]


def _count_refused(fleet: GatewayFleet) -> int:
    """Return how many requests were refused because they may crash upstreams."""
    pages = [member.core.meters.render() for member in fleet.members]
    return sum(int(float(found[1])) for page in pages for found in REFUSED.finditer(page))


@app.command
def late(seeds: int = 5) -> None:
    """Compare crashes late in long answers: of one request that causes them, and by chance."""
    logging.disable(logging.CRITICAL)
    for name, crash in LATE_CRASHES.items():
        for seed in range(seeds):
            print(f"{name}, seed {seed}: {play_late_crash(crash, seed)}", flush=True)
    for name, direction in LONG_DIRECTIONS.items():
        for seed in range(seeds):
            print(f"{name}, seed {seed}: {play_direction(direction, seed)}", flush=True)
    for name, few in FEW_ITEMS.items():
        for seed in range(seeds):
            print(f"{name}, seed {seed}: {play_few_items(few, seed)}", flush=True)


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
    from goldcreststair.helpers.crash_evidence import RequestSuspects, Written, list_suspects

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
            request = RequestSuspects(suspects)
            guard: RequestGuard = tracker.open_guard(request, lambda: None)
            await guard.async_enter(fleet.clock.now())
            tracker.report_answer(entry, request, Written(fleet.clock.now()))
            guard.leave()
        took_us = (time.perf_counter() - began) / ROUNDS * 1e6
        print(f"{took_us:.1f} us a request")
        await fleet.async_close()

    run_virtual(async_run(), LIMIT_S)


if __name__ == "__main__":
    app()
