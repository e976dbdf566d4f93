"""Plays prompts with a part that crashes upstreams, and measures what it costs when nothing crashes."""

import logging
import random
import time
from typing import Final

from cyclopts import App

from goldcreststair.clock import LoopClock
from standins.crash_rules import CrashRecord, read_begun_share
from standins.crash_traffic import CUSTOMERS, CrashLoad, CrashTraffic
from standins.gateways import make_fleet
from standins.virtual_time import run_virtual

app = App(help=__doc__)

STABLE_MS: Final = 3_000
SETTLE_MS: Final = 3_000
VMS: Final = 3
ENGINES: Final = 10
LIMIT_S: Final = 600.0
ROUNDS: Final = 100_000


def play(seed: int, vms: int = VMS, engines: int = ENGINES) -> CrashRecord:
    """Play the usual load on virtual time."""
    records: list[CrashRecord] = []

    async def async_run() -> None:
        fleet = make_fleet(LoopClock())
        customers = tuple({"name": name} for name in CUSTOMERS)
        fleet.write_catalogue(customers=customers, keys={f"key-{name}": name for name in CUSTOMERS})
        fleet.add_engines(engines)
        await fleet.async_add_many(vms)
        await fleet.clock.async_sleep(SETTLE_MS)
        traffic = CrashTraffic(fleet, CrashLoad(), random.Random(seed))
        records.append(await traffic.async_play())
        await fleet.async_close()

    run_virtual(async_run(), LIMIT_S)
    return records[0]


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
