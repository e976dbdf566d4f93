"""Measures quotas while counters are late or lost, customers or daemons come and go, or limits change.

One customer sends 7.5 times its rate in bursts; each event lasts some seconds within the run.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Any, Final

from cyclopts import App

from goldcreststair.clock import LoopClock
from standins.gateways import GatewayFleet, make_fleet
from standins.measure.quotas import CUSTOMER, WINDOW_MS, QuotaFigures, async_drive, async_start
from standins.virtual_time import run_virtual

app = App(help=__doc__)

DEMAND_FACTOR: Final = 7.5
SECONDS: Final = 20.0
EVENT_START_MS: Final = 3_000
EVENT_MS: Final = 9_000
LOWERED_SHARE: Final = 0.2
LOWERED_SETTLE_MS: Final = 3_000
"""How long after a limit was lowered the windows begin that it binds."""


@dataclass(frozen=True, slots=True)
class Limit:
    """A customer's limit and the fleet that it is measured in."""

    vms: int
    rate_per_s: float
    burst: float

    @property
    def bound(self) -> float:
        """Return the highest number of requests that is allowed in any window."""
        return (self.rate_per_s * WINDOW_MS / 1_000 + self.burst) * 1.1 + 20

    @property
    def customer(self) -> dict[str, Any]:
        """Return the customer as a catalogue holds it."""
        return {"name": CUSTOMER, "rate_per_s": self.rate_per_s, "burst": self.burst}


Event = Callable[[GatewayFleet, Limit], Awaitable[None]]


async def async_do_nothing(fleet: GatewayFleet, limit: Limit) -> None:
    """Disturb nothing."""


async def async_delay(fleet: GatewayFleet, limit: Limit, *, delay_ms: int) -> None:
    """Deliver all datagrams late; none is lost."""
    await fleet.clock.async_sleep(EVENT_START_MS)
    before, fleet.datagrams.delay_ms = fleet.datagrams.delay_ms, delay_ms
    await fleet.clock.async_sleep(EVENT_MS)
    fleet.datagrams.delay_ms = before


async def async_delay_some(fleet: GatewayFleet, limit: Limit, *, delay_ms: int) -> None:
    """Let every third daemon send and receive late, as on an overloaded machine."""
    await fleet.clock.async_sleep(EVENT_START_MS)
    slow = [member.address for member in fleet.members[::3]]
    fleet.datagrams.late.update(dict.fromkeys(slow, delay_ms))
    await fleet.clock.async_sleep(EVENT_MS)
    fleet.datagrams.late.clear()


async def async_lose(fleet: GatewayFleet, limit: Limit, *, share: float) -> None:
    """Lose a share of all datagrams."""
    await fleet.clock.async_sleep(EVENT_START_MS)
    fleet.datagrams.loss = share
    await fleet.clock.async_sleep(EVENT_MS)
    fleet.datagrams.loss = 0.0


async def async_leave_out(
    fleet: GatewayFleet, limit: Limit, *, times: int, missing_ms: int, present_ms: int = 1_500
) -> None:
    """Leave the customer out of a version of the catalogue, and add it again."""
    await fleet.clock.async_sleep(EVENT_START_MS)
    version = 2
    for _ in range(times):
        fleet.write_catalogue(version, customers=())
        await fleet.clock.async_sleep(missing_ms)
        fleet.write_catalogue(version + 1, customers=(limit.customer,))
        await fleet.clock.async_sleep(present_ms)
        version += 2


async def async_kill(
    fleet: GatewayFleet, limit: Limit, *, share: float, up_ms: int, down_ms: int
) -> None:
    """Kill a share of the daemons four times, and start them again."""
    await fleet.clock.async_sleep(EVENT_START_MS)
    for _ in range(4):
        members = list(fleet.members)[: round(len(fleet.members) * share)]
        await asyncio.gather(*(fleet.async_kill(member) for member in members))
        await fleet.clock.async_sleep(down_ms)
        await asyncio.gather(*(fleet.async_add(member.address) for member in members))
        await fleet.clock.async_sleep(up_ms)


EVENTS: Final[Mapping[str, Event]] = {
    "calm": async_do_nothing,
    "late 400 ms": partial(async_delay, delay_ms=400),
    "late 800 ms": partial(async_delay, delay_ms=800),
    "late 1500 ms": partial(async_delay, delay_ms=1_500),
    "a third late 800 ms": partial(async_delay_some, delay_ms=800),
    "40% lost": partial(async_lose, share=0.4),
    "70% lost": partial(async_lose, share=0.7),
    "missing 0.2 s": partial(async_leave_out, times=1, missing_ms=200),
    "missing 2.5 s": partial(async_leave_out, times=1, missing_ms=2_500),
    "missing six times": partial(async_leave_out, times=6, missing_ms=1_500),
    "all killed four times": partial(async_kill, share=1.0, up_ms=700, down_ms=400),
    "55% killed four times": partial(async_kill, share=0.55, up_ms=3_000, down_ms=1_200),
}


def measure_event(
    limit: Limit, event: Event, seed: int, demand_factor: float = DEMAND_FACTOR
) -> QuotaFigures:
    """Measure one fleet in virtual time while `event` goes on."""

    async def async_run() -> QuotaFigures:
        fleet = make_fleet(LoopClock())
        await async_start(fleet, limit.vms, limit.rate_per_s, limit.burst)
        running = asyncio.ensure_future(event(fleet, limit))
        demand = limit.rate_per_s * demand_factor
        try:
            figures = await async_drive(fleet, limit.rate_per_s, limit.burst, demand, SECONDS, seed)
            await running
            return figures
        finally:
            running.cancel()
            await fleet.async_close()

    return run_virtual(async_run())


def measure_lowered(limit: Limit, seed: int) -> QuotaFigures:
    """Measure the windows that begin some time after the limit was lowered to a fifth."""

    async def async_run() -> QuotaFigures:
        fleet = make_fleet(LoopClock())
        await async_start(fleet, limit.vms, limit.rate_per_s, limit.burst)
        demand = limit.rate_per_s * DEMAND_FACTOR
        try:
            await async_drive(fleet, limit.rate_per_s, limit.burst, demand, 4, seed)
            lowered = lower(limit)
            fleet.write_catalogue(2, customers=(lowered.customer,))
            before_s = LOWERED_SETTLE_MS / 1_000
            await async_drive(fleet, lowered.rate_per_s, lowered.burst, demand, before_s, seed + 1)
            return await async_drive(
                fleet, lowered.rate_per_s, lowered.burst, demand, SECONDS, seed + 2
            )
        finally:
            await fleet.async_close()

    return run_virtual(async_run())


def lower(limit: Limit) -> Limit:
    """Return the limit after it was lowered."""
    return Limit(limit.vms, limit.rate_per_s * LOWERED_SHARE, limit.burst * LOWERED_SHARE)


@app.default
def main(
    vms: int = 11,
    rate: float = 30.0,
    burst: float = 30.0,
    seeds: int = 2,
    demand: float = DEMAND_FACTOR,
    only: str = "",
) -> None:
    """Print a row for each event whose name begins with `only`: the highest of all seeds."""
    logging.basicConfig(level=logging.ERROR)
    limit = Limit(vms, rate, burst)
    print(f"{vms} VMs, {rate:g}/s, burst {burst:g}; {limit.bound:.0f} allowed in 5 s")
    print("event                     most in 5 s  wrongly refused  admitted of one bucket")
    for name, event in EVENTS.items():
        if not name.startswith(only):
            continue
        runs = [measure_event(limit, event, seed, demand) for seed in range(seeds)]
        refused = sum(run.wrongly_refused for run in runs) / sum(run.asked for run in runs)
        admitted = sum(run.admitted for run in runs) / max(1, sum(run.ideal for run in runs))
        most = max(run.most_in_window for run in runs)
        flag = " *" if most > limit.bound else ""
        print(f"{name:25s} {most:11d}{flag:2s}  {refused:14.2%}  {admitted:14.3f}", flush=True)
    if "lowered".startswith(only):
        lowered = [measure_lowered(limit, seed) for seed in range(seeds)]
        most = max(run.most_in_window for run in lowered)
        print(f"{'lowered to a fifth':25s} {most:11d}, {lower(limit).bound:.1f} allowed")


if __name__ == "__main__":
    app()
