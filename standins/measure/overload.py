"""Measures how a fleet decides under its worst loads, and what each mechanism is worth there.

Real gateway daemons on virtual time, before engines with slots and a first-come queue. Callers count an
answer as good if its first event comes within 300 ms, have five seconds, and come back once, when they
were told to. Jobs of some ten items are due after 18 s. A switch turns one mechanism off.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from types import ModuleType
from typing import Any, Final

import pygal
from cyclopts import App

from goldcreststair.clock import Clock, LoopClock
from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.forwarding.protocols import FORWARDING
from goldcreststair.components.jobs import checkpoints, execution, handover, sweeping
from goldcreststair.components.placement import admission, controller
from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.const import MS_PER_SECOND
from standins.gateways import FakeResponder, FleetMember, GatewayFleet, make_fleet
from standins.run_engines import RunEngine
from standins.virtual_time import run_virtual

app = App(help=__doc__)

OBJECTIVE_MS: Final = 300
DEADLINE_MS: Final = 5_000
DUE_MS: Final = 18_000
PERIOD_MS: Final = 6_000
BURST_MS: Final = 2_400
BURST_SHARE: Final = 1.91
LULL_SHARE: Final = 0.39
"""The shape of the users' days: bursts of 2.4 s at 1.91 times the mean, 3.6 s at 0.39 times between."""
REQUEST_EVENTS: Final = 35
ITEM_EVENTS: Final = 200
EVENT_MS: Final = 20
FIRST_MS: Final = 60
REQUEST_WORTH: Final = 3.8
ITEM_WORTH: Final = 23.0
LATE_SHARE: Final = 0.15
"""What a late answer is worth of one in time."""
LATE_ITEM_SHARE: Final = 0.1
START_MS: Final = 1_500
REST_MS: Final = 22_000
"""Time for the last jobs to come to their end."""


@dataclass(frozen=True, slots=True)
class Load:
    """One load: how much comes, and what happens meanwhile."""

    name: str
    requests_per_s: float = 27.0
    jobs_per_s: float = 0.34
    engines: int = 6
    vms: int = 6
    seconds: int = 36
    trouble: Callable[["Play"], Coroutine[Any, Any, None]] | None = None
    """What happens meanwhile."""


@dataclass(frozen=True, slots=True)
class Switch:
    """One mechanism, and the value of its constant at which it does nothing."""

    name: str
    module: ModuleType
    constant: str
    off: Any


SWITCHES: Final = (
    Switch("progress saved", checkpoints, "CHECKPOINT_MS", 10**9),
    Switch("jobs handed over with their runs", handover, "HAND_OVER_MS", 10**9),
    Switch("jobs taken over soon", sweeping, "SWEEP_SOON_MS", 1_490),
    Switch("late items last", execution, "LATE_FREE_SHARE", -1.0),
    Switch("batch stays out of bursts", controller, "BATCH_FREE_SHARE", 0.0),
    Switch("slots kept from batch", controller, "BATCH_RESERVE", 0),
    Switch("pause after giving way", controller, "BATCH_HOLD_MS", 0),
    Switch("late callers sent away", admission, "FRESH_SHARE", 2.0),
)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one call came to."""

    request_id: str
    answer: str
    """`whole`, `accepted`, a refusal's code, `broken` or `none`."""
    asked_at: int
    ended_at: int
    event_times: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Listed:
    """How many results of a job were listed at a time."""

    at: int
    job: str
    count: int


@dataclass(slots=True)
class Figures:
    """What one play came to."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    items: int = 0
    items_in_time: int = 0
    items_late: int = 0
    events_made: int = 0
    """Events of items that engines made."""
    events_kept: int = 0
    """Those that stand in results."""
    firsts_ms: list[int] = field(default_factory=list)
    outcomes: list[Outcome] = field(default_factory=list)
    """Of all calls, in the order of their ends."""
    listed: list[Listed] = field(default_factory=list)
    """Of all jobs, in the order of time."""
    ran: dict[str, list[str]] = field(default_factory=dict)
    """By engine, all runs in the order of their begin."""

    @property
    def online_worth(self) -> float:
        """Share of the online worth that was earned."""
        return (self.in_time + LATE_SHARE * self.late) / max(1, self.requests)

    @property
    def batch_worth(self) -> float:
        """Share of the batch worth that was earned."""
        return (self.items_in_time + LATE_ITEM_SHARE * self.items_late) / max(1, self.items)

    @property
    def worth(self) -> float:
        """Share of all worth that was earned."""
        online, batch = self.requests * REQUEST_WORTH, self.items * ITEM_WORTH
        earned = self.online_worth * online + self.batch_worth * batch
        return earned / max(1.0, online + batch)

    @property
    def wasted(self) -> float:
        """Share of the items' events that were made in vain."""
        return 1 - self.events_kept / max(1, self.events_made)

    def read_first_ms(self, share: float) -> int:
        """Return a percentile of the times to the first event."""
        ranked = sorted(self.firsts_ms) or [0]
        return ranked[min(len(ranked) - 1, int(share * len(ranked)))]


@dataclass(slots=True)
class Play:
    """One load being played."""

    load: Load
    fleet: GatewayFleet
    chance: random.Random
    figures: Figures = field(default_factory=Figures)
    done_at: dict[str, int] = field(default_factory=dict)

    @property
    def clock(self) -> Clock:
        """Its time."""
        return self.fleet.clock

    async def async_run(self) -> None:
        """Play the load to its end."""
        self.fleet.engines.events = REQUEST_EVENTS
        for number in range(self.load.engines):
            engine = self.fleet.add_engines(1)[0]
            engine.first_ms, engine.event_ms, engine.data_centre = (
                FIRST_MS,
                EVENT_MS,
                f"dc{number % 3}",
            )
        await self.fleet.async_add_many(self.load.vms)
        await self.clock.async_sleep(START_MS)
        ends = self.clock.now() + self.load.seconds * MS_PER_SECOND
        tasks = [asyncio.create_task(self._async_jobs(ends))]
        if self.load.trouble is not None:
            tasks.append(asyncio.create_task(self.load.trouble(self)))
        await self._async_requests(ends, tasks)
        await self.clock.async_sleep(REST_MS)
        for task in tasks:
            task.cancel()
        self._count_events()

    async def _async_requests(self, ends: int, tasks: list[asyncio.Task[None]]) -> None:
        began = self.clock.now()
        while self.clock.now() < ends:
            in_burst = (self.clock.now() - began) % PERIOD_MS >= PERIOD_MS - BURST_MS
            rate = self.load.requests_per_s * (BURST_SHARE if in_burst else LULL_SHARE)
            await self.clock.async_sleep(round(self.chance.expovariate(rate) * MS_PER_SECOND))
            tasks.append(asyncio.create_task(self._async_request()))

    async def _async_request(self) -> None:
        figures, asked = self.figures, self.clock.now()
        figures.requests += 1
        for attempt in range(2):
            left_ms = asked + DEADLINE_MS - self.clock.now()
            answer = await self._async_send("/stream/x", b"", left_ms)
            if answer is not None and answer.whole:
                first_ms = answer.event_times[0] - asked
                figures.firsts_ms.append(first_ms)
                figures.in_time += first_ms <= OBJECTIVE_MS
                figures.late += first_ms > OBJECTIVE_MS
                return
            refusal = answer.refusal if answer is not None else None
            if attempt or (refusal is not None and not refusal.not_run):
                return
            pause_ms = refusal.retry_after_ms if refusal is not None else 50
            await self.clock.async_sleep(min(pause_ms, max(0, left_ms // 3)))

    async def _async_send(
        self, path: str, body: bytes, left_ms: int, request_id: str = ""
    ) -> FakeResponder | None:
        """Send a request to any VM; None if there is none or it ended before its answer."""
        if not self.fleet.members or left_ms <= 0:
            return None
        asked = self.clock.now()
        request = self.fleet.make_request(path, body, left_ms, request_id)
        responder = await self._async_serve(request)
        outcome = Outcome(request.request_id, "none", asked, self.clock.now())
        if responder is not None:
            events = tuple(responder.event_times)
            outcome = replace(outcome, answer=_describe(responder), event_times=events)
        self.figures.outcomes.append(outcome)
        return responder

    async def _async_serve(self, request: CallerRequest) -> FakeResponder | None:
        member = self.chance.choice(self.fleet.members)
        responder = FakeResponder(self.clock)
        served = asyncio.ensure_future(
            member.core.get(FORWARDING).async_forward(request, responder)
        )
        while not served.done():
            await asyncio.wait({served}, timeout=0.02)
            if member not in self.fleet.members and not served.done():
                served.cancel()
                return None
        return responder

    async def _async_jobs(self, ends: int) -> None:
        number = 0
        while True:
            pause_s = self.chance.expovariate(self.load.jobs_per_s)
            await self.clock.async_sleep(round(pause_s * MS_PER_SECOND))
            if self.clock.now() >= ends:
                return
            number += 1
            asyncio.create_task(self._async_job(f"job{number}"))  # noqa: RUF006

    async def _async_job(self, name: str) -> None:
        asked = self.clock.now()
        count = max(2, round(self.chance.gauss(10, 4)))
        self.figures.items += count
        for number in range(count):
            events = max(50, round(self.chance.gauss(ITEM_EVENTS, ITEM_EVENTS / 4)))
            self.fleet.engines.events_of[f"{name}-{number}"] = events
        lines = "\n".join(f"{name}-{number} 2000" for number in range(count)).encode()
        for _ in range(2):
            answer = await self._async_send(f"/batch/{name}", lines, DEADLINE_MS, name)
            if answer is not None and answer.accepted:
                break
            await self.clock.async_sleep(MS_PER_SECOND)
        await self._async_watch(name, count, asked)

    async def _async_watch(self, name: str, count: int, asked: int) -> None:
        listed = 0
        while listed < count:
            await self.clock.async_sleep(200)
            rows = [row for row in self.fleet.store.rows if row.table == "job_results"]
            found = sum(row.key.startswith(f"{name}/") for row in rows)
            age_ms = self.clock.now() - asked
            in_time = found - listed if age_ms <= DUE_MS else 0
            self.figures.items_in_time += in_time
            self.figures.items_late += found - listed - in_time
            if found != listed:
                self.figures.listed.append(Listed(self.clock.now(), name, found))
            listed = found

    def _count_events(self) -> None:
        engines = self.fleet.engines
        self.figures.events_made = sum(engines.made.values())
        for row in self.fleet.store.rows.values():
            if row.key.table == "job_results":
                self.figures.events_kept += row.value.count(b"\n") + 1
        self.figures.ran = {
            engine.name: [f"{call.request_id} after {call.resume_after}" for call in engine.ran]
            for engine in engines.by_address.values()
        }


def _describe(responder: FakeResponder) -> str:
    if responder.refusal is not None:
        return responder.refusal.code
    if responder.accepted:
        return "accepted"
    return "whole" if responder.whole else "broken"


async def lose_an_engine(play: Play) -> None:
    """Lose an engine at the begin of a burst, for good."""
    await play.clock.async_sleep(PERIOD_MS + 3_700)
    engine = next(iter(play.fleet.engines.by_address.values()))
    engine.up = False
    await play.clock.async_sleep(3_000)
    play.fleet.store.drop(next(k for k in play.fleet.store.rows if k.key == engine.name))


async def slow_an_engine(play: Play) -> None:
    """Let one engine take 2.6 times as long for 8 s."""
    await play.clock.async_sleep(PERIOD_MS)
    engine: RunEngine = next(iter(play.fleet.engines.by_address.values()))
    before = engine.first_ms, engine.event_ms
    engine.first_ms, engine.event_ms = round(before[0] * 2.6), round(before[1] * 2.6)
    await play.clock.async_sleep(8_000)
    engine.first_ms, engine.event_ms = before


async def replace_vms_in_turn(play: Play) -> None:
    """Stop every VM gracefully, two seconds apart, and start it again."""
    await play.clock.async_sleep(2_000)
    replacing = []
    for member in tuple(play.fleet.members):
        replacing.append(asyncio.create_task(_async_replace(play.fleet, member)))
        await play.clock.async_sleep(2_000)
    await asyncio.gather(*replacing)


async def _async_replace(fleet: GatewayFleet, member: FleetMember) -> None:
    entry = member.core.get(ENTRY)
    entry.leave()
    await entry.async_wait()
    await fleet.async_kill(member)
    await fleet.clock.async_sleep(500)
    await fleet.async_add(member.address)


async def lose_all_vms(play: Play) -> None:
    """Let all VMs lose power for a second in the middle of a burst."""
    await play.clock.async_sleep(2 * PERIOD_MS + 4_600)
    members = tuple(play.fleet.members)
    for member in members:
        await play.fleet.async_kill(member)
    await play.clock.async_sleep(1_000)
    for member in members:
        await play.fleet.async_add(member.address)


LOADS: Final = (
    Load("bursts within capacity"),
    Load("bursts beyond capacity", engines=4, jobs_per_s=0.7),
    Load("an engine lost in a burst", engines=5, jobs_per_s=0.8, trouble=lose_an_engine),
    Load("one engine of six slow", jobs_per_s=0.6, trouble=slow_an_engine),
    Load("VMs replaced in turn", engines=4, jobs_per_s=0.7, trouble=replace_vms_in_turn),
    Load("all VMs lost at once", engines=5, jobs_per_s=0.8, trouble=lose_all_vms),
    Load("six times the jobs", jobs_per_s=2.0, seconds=18),
)


@contextmanager
def turn_off(switch: Switch | None) -> Iterator[None]:
    """Play without one mechanism."""
    if switch is None:
        yield
        return
    before = getattr(switch.module, switch.constant)
    setattr(switch.module, switch.constant, switch.off)
    try:
        yield
    finally:
        setattr(switch.module, switch.constant, before)


def measure(load: Load, seed: int, switch: Switch | None = None) -> Figures:
    """Play a load once."""

    async def async_run() -> Figures:
        play = Play(load, make_fleet(LoopClock()), random.Random(seed))
        try:
            await play.async_run()
            return play.figures
        finally:
            await play.fleet.async_close()

    with turn_off(switch):
        return run_virtual(async_run())


def print_figures(name: str, found: list[Figures]) -> None:
    """Print one row: the means over all seeds."""

    def mean(read: Callable[[Figures], float]) -> float:
        return sum(read(each) for each in found) / len(found)

    print(
        f"{name:34s} {mean(lambda f: f.worth):6.3f} {mean(lambda f: f.online_worth):6.3f} "
        f"{mean(lambda f: f.batch_worth):6.3f} {mean(lambda f: f.wasted):7.1%} "
        f"{mean(lambda f: f.read_first_ms(0.5)):6.0f} {mean(lambda f: f.read_first_ms(0.99)):6.0f}",
        flush=True,
    )


def draw(rows: dict[str, list[float]], path: Path) -> None:
    """Write a picture (SVG) of the worth by load, with all mechanisms and without each."""
    chart = pygal.Bar(title="Share of the worth that was earned", x_label_rotation=30)
    chart.x_labels = [load.name for load in LOADS]
    for name, worths in rows.items():
        chart.add(name, worths)
    path.write_bytes(chart.render())


@app.default
def main(
    seeds: int = 2,
    load: str = "",
    ablation: bool = False,
    first_seed: int = 1,
    plot: Path | None = None,
) -> None:
    """Print worth by load; `--load` keeps loads whose names hold it, `--ablation` turns off by one."""
    rows: dict[str, list[float]] = {}
    chosen = [each for each in LOADS if load in each.name]
    for switch in (None, *SWITCHES) if ablation else (None,):
        name = f"without: {switch.name}" if switch else "all mechanisms"
        print(f"\n{name}\n{'load':34s}  worth online  batch  wasted p50 ms p99 ms")
        for each in chosen:
            found = [measure(each, first_seed + number, switch) for number in range(seeds)]
            print_figures(each.name, found)
            rows.setdefault(name, []).append(sum(f.worth for f in found) / len(found))
    if plot is not None:
        draw(rows, plot)


if __name__ == "__main__":
    app()
