"""Batch throughput against online time to first token: `python -m standins.measure.batch`.

One engine, three VMs, a job larger than the engine can finish, and online bursts; the same
arrivals for every policy. Run from the root of the source tree (it uses the tests' fakes).
"""

import asyncio
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import orjson
from cyclopts import App

from goldcreststair.clock import Clock
from goldcreststair.components.batch.allowance import AllowanceController, AllowanceParameters
from goldcreststair.components.batch.records import decode_chunk
from goldcreststair.components.batch.service import BatchService
from goldcreststair.components.batch.steward import Steward
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.online_pressure import ONLINE_PRESSURE, OnlinePressure, UpstreamPressure
from goldcreststair.upstreams.models import GenerateCall, StreamChunk, Upstream
from tests.helpers.batch_fleet import BatchFleet, make_lines
from tests.helpers.virtual_time import run_virtual

WARM_UP_MS: Final = 3_000
IDLE_FIRST_TOKEN_MS: Final = 70
"""Time to first token above which the online path speaks of queueing."""
PRESSURE_MS: Final = 200
"""How long one late first token counts as pressure."""
BURST_EVERY_S: Final = 15
BURST_S: Final = 3
BASE_RATE: Final = 5.0
BURST_RATE: Final = 40.0
ONLINE_TOKENS: Final = 40
ONLINE_WORDS: Final = 100
BATCH_TOKENS: Final = 60

app = App(name="measure-batch", help="Measure batch throughput against online latency.")


class FixedAllowance(AllowanceController):
    """A share that neither rises nor yields."""

    def __init__(self, clock: Clock, share: int) -> None:
        """Hold `share` streams."""
        super().__init__(clock, AllowanceParameters())
        self._share = share

    @property
    def limit(self) -> int:
        """The share."""
        return self._share

    @property
    def bound(self) -> int:
        """The share."""
        return self._share


@dataclass(slots=True)
class Online:
    """Online callers of one engine, spread over the VMs."""

    fleet: BatchFleet
    seed: int
    waits_ms: list[int] = field(default_factory=list)
    in_flight: dict[str, int] = field(default_factory=dict)
    queue_ms: dict[str, int] = field(default_factory=dict)
    late: dict[str, int] = field(default_factory=dict)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)
    writers: dict[str, Callable[[OnlinePressure], None]] = field(default_factory=dict)

    def open(self) -> None:
        """Take the place of the online component as writer of the pressure."""
        for name, core in self.fleet.cores.items():
            writer = core.blackboard.open_section(ONLINE_PRESSURE, OnlinePressure())
            self.writers[name] = writer.write

    async def async_run(self, seconds: int) -> None:
        """Send requests at the base rate, and in bursts."""
        source = random.Random(self.seed)
        clock = self.fleet.clock
        start = clock.now()
        number = 0
        while (elapsed_s := (clock.now() - start) / 1000) < seconds:
            in_burst = elapsed_s % BURST_EVERY_S >= BURST_EVERY_S - BURST_S
            rate = BURST_RATE if in_burst else BASE_RATE
            await clock.async_sleep(max(1, round(source.expovariate(rate) * 1000)))
            number += 1
            vm = source.choice(sorted(self.writers))
            task = asyncio.ensure_future(self._async_send(vm, number))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _async_send(self, vm: str, number: int) -> None:
        core = self.fleet.cores[vm]
        upstream = core.blackboard.read(CONFIGURATION).upstreams["e1"]
        prompt = " ".join(f"w{number}x{word}" for word in range(ONLINE_WORDS))
        body = {"model": "small", "prompt": prompt, "max_tokens": ONLINE_TOKENS, "stream": True}
        call = GenerateCall(f"online-{number}", "/v1/completions", orjson.dumps(body), True, 60_000)
        wait = FirstTokenWait(self.fleet.clock)
        timer = self.fleet.clock.call_later(IDLE_FIRST_TOKEN_MS, lambda: self._press(vm))
        wait.on_first = timer.cancel
        self._count(vm, 1)
        await core.upstreams.engines.async_generate(upstream, call, wait)
        self._count(vm, -1)
        self.waits_ms.append(wait.wait_ms)

    def _count(self, vm: str, change: int) -> None:
        self.in_flight[vm] = self.in_flight.get(vm, 0) + change
        self._write(vm)

    def _press(self, vm: str) -> None:
        self.late[vm] = self.late.get(vm, 0) + 1
        count = self.late[vm]
        self.queue_ms[vm] = IDLE_FIRST_TOKEN_MS + count
        self._write(vm)
        self.fleet.clock.call_later(PRESSURE_MS, lambda: self._relax(vm, count))

    def _relax(self, vm: str, count: int) -> None:
        if self.late[vm] == count:
            self.queue_ms[vm] = 0
            self._write(vm)

    def _write(self, vm: str) -> None:
        met = UpstreamPressure(self.in_flight.get(vm, 0), self.queue_ms.get(vm, 0))
        self.writers[vm](OnlinePressure(met.in_flight, {"e1": met}))


class FirstTokenWait:
    """Measures one request's time to first token."""

    def __init__(self, clock: Clock) -> None:
        """Start to wait."""
        self._clock = clock
        self._start = clock.now()
        self.wait_ms = -1
        self.on_first: Callable[[], None] | None = None

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Take a chunk."""
        if self.wait_ms < 0:
            self.wait_ms = self._clock.now() - self._start
            if self.on_first is not None:
                self.on_first()


@dataclass(frozen=True, slots=True)
class Figures:
    """What one policy gave."""

    policy: str
    items_per_s: float
    p50_ms: float
    p99_ms: float
    yield_ms: float
    """Median time from a burst's start to the last batch stream above the first cut stopping."""
    commits_per_1000: float


async def async_measure(
    policy: str,
    seconds: int,
    make_allowance: Callable[[Clock], AllowanceController] | None,
    seed: int = 7,
) -> Figures:
    """Run one policy."""
    fleet = BatchFleet(vms=3)
    if make_allowance is not None:
        fleet.make_allowance = lambda: make_allowance(fleet.clock)
    await fleet.async_start()
    fleet.upstreams.unreachable.add(_upstream(fleet, "e2").address)
    online = Online(fleet, seed)
    online.open()
    job = ""
    if make_allowance is not None:
        lines = make_lines(seconds * 60, BATCH_TOKENS)
        job = (await fleet.async_submit(lines)).unwrap().job
        await fleet.clock.async_sleep(WARM_UP_MS)
    before, commits = _count_done(fleet, job), _count_commits(fleet)
    yields = YieldWatch(fleet)
    watching = asyncio.ensure_future(yields.async_run())
    await online.async_run(seconds)
    watching.cancel()
    done, committed = _count_done(fleet, job) - before, _count_commits(fleet) - commits
    await asyncio.gather(*online.tasks)
    await fleet.async_close()
    return make_figures(
        policy, online.waits_ms, yields.delays_ms, done / seconds, committed / done if done else 0.0
    )


def make_figures(
    policy: str, waits_ms: list[int], delays_ms: list[int], rate: float, commits: float
) -> Figures:
    """Return the figures of one run."""
    waits = sorted(waits_ms)
    p99 = waits[int(len(waits) * 0.99)]
    delay = statistics.median(delays_ms) if delays_ms and rate else 0.0
    return Figures(policy, rate, statistics.median(waits), p99, delay, commits * 1000)


class YieldWatch:
    """Times, for each burst, its start to the last batch stream above the first cut stopping."""

    def __init__(self, fleet: BatchFleet) -> None:
        """Watch a fleet's only engine."""
        self._fleet = fleet
        self.delays_ms: list[int] = []

    async def async_run(self) -> None:
        """Poll each millisecond until cancelled."""
        clock = self._fleet.clock
        start, seen, cut, previous = clock.now(), -1, False, 0
        while True:
            await clock.async_sleep(1)
            elapsed = clock.now() - start
            burst, phase = divmod(elapsed, BURST_EVERY_S * 1000)
            into = phase - (BURST_EVERY_S - BURST_S) * 1000
            bound = self._count_bound()
            if into < 0 or burst == seen:
                cut, previous = False, bound
                continue
            cut = cut or bound < previous * 2 // 3
            previous = bound
            if cut and self._count_streams() <= bound:
                self.delays_ms.append(into)
                seen = burst

    def _count_bound(self) -> int:
        held = [s for service in self._fleet.services.values() for s in _stewards(service)]
        return sum(steward.allowance.bound for steward in held)

    def _count_streams(self) -> int:
        running = self._fleet.engines["e1"]._running
        return sum(1 for one in running if one.request_id.startswith("batch-"))


def _stewards(service: BatchService) -> list[Steward]:
    return [steward for name, steward in service.stewards.by_name.items() if name == "e1"]


def _upstream(fleet: BatchFleet, name: str) -> Upstream:
    return next(iter(fleet.cores.values())).blackboard.read(CONFIGURATION).upstreams[name]


def _count_done(fleet: BatchFleet, job: str) -> int:
    if not job:
        return 0
    held = sum(len(c.finished) for s in fleet.services.values() for c in s.keeper.chunks.values())
    return held + sum(
        decode_chunk(value).states.count("d")
        for value in fleet.world.find_all(f"chunk/{job}/").values()
    )


def _count_commits(fleet: BatchFleet) -> int:
    return sum(service.keeper.commits for service in fleet.services.values())


@app.default
def run(seconds: int = 120, seed: int = 7) -> None:
    """Measure all policies over the same arrivals, `seconds` of virtual time each."""
    policies: dict[str, Callable[[Clock], AllowanceController] | None] = {
        "0 no batch": None,
        "a no yielding": lambda clock: FixedAllowance(clock, 64),
        "b fixed share 16": lambda clock: FixedAllowance(clock, 16),
        "c allowance": lambda clock: AllowanceController(clock, AllowanceParameters()),
    }
    for policy, make_allowance in policies.items():
        figures = run_virtual(async_measure(policy, seconds, make_allowance, seed))
        print(
            f"{figures.policy:18} {figures.items_per_s:6.1f} items/s  "
            f"p50 {figures.p50_ms:4.0f} ms  p99 {figures.p99_ms:5.0f} ms  "
            f"yield {figures.yield_ms:4.0f} ms  commits/1000 {figures.commits_per_1000:5.1f}",
            flush=True,
        )


if __name__ == "__main__":
    app()
