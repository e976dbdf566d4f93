"""Batch throughput against online time to first token: `python -m standins.measure.batch`.

One engine, three VMs, a job larger than the engine can finish, and online bursts through the real
online components; the same arrivals for every policy. Run from the root of the source tree (it
uses the tests' fakes).
"""

import asyncio
import statistics
from dataclasses import dataclass
from typing import Final

from cyclopts import App

from goldcreststair.clock import Millis
from goldcreststair.components.batch.allowance import AllowanceController
from goldcreststair.components.batch.records import decode_chunk
from standins.measure.batch_online import Online
from standins.measure.batch_policies import POLICIES, MakePolicy, Oracle
from standins.measure.batch_watch import EngineWatch
from tests.helpers.batch_fleet import BatchFleet, make_lines
from tests.helpers.virtual_time import run_virtual

WARM_UP_MS: Final = 3_000
BATCH_TOKENS: Final = 60

app = App(name="measure-batch", help="Measure batch throughput against online latency.")


@dataclass(frozen=True, slots=True)
class Figures:
    """What one policy gave."""

    policy: str
    items_per_s: float
    burst_per_s: float
    """Batch items a second in bursts, by tokens."""
    idle_per_s: float
    """The same out of bursts."""
    streams: float
    """Batch streams running out of bursts, mean."""
    burst_share: float
    p50_ms: float
    p95_ms: float
    p99_ms: float
    yield_ms: float
    """Median time from a burst's start to the last batch stream above the first cut stopping."""
    repeats: float
    """Prefills repeated an item done, because streams were cut."""
    repeated_tokens: float
    commits_per_1000: float
    refused: int

    def describe(self) -> str:
        """Return one line."""
        return (
            f"{self.policy:15} {self.items_per_s:5.1f} items/s ({self.burst_per_s:4.1f} in bursts,"
            f" {self.idle_per_s:4.1f} out, {self.streams:4.1f} streams; bursts"
            f" {self.burst_share:.0%})  p50 {self.p50_ms:4.0f} p95 {self.p95_ms:4.0f}"
            f" p99 {self.p99_ms:4.0f} ms  yield {self.yield_ms:4.0f} ms"
            f"  prefilled again {self.repeats:.2f}/item {self.repeated_tokens:.1f} tokens/item"
            f"  commits/1000 {self.commits_per_1000:3.0f}  refused {self.refused}"
        )


async def async_measure(
    policy: str, seconds: int, make_policy: MakePolicy | None, seed: int = 7
) -> Figures:
    """Run one policy."""
    fleet = BatchFleet(vms=3)
    made: list[AllowanceController] = []

    def make_allowance() -> AllowanceController:
        assert make_policy is not None
        made.append(make_policy(fleet.clock, fleet.engines["e1"]))
        return made[-1]

    fleet.make_allowance = make_allowance if make_policy is not None else None
    await fleet.async_start()
    online = Online(fleet, seed)
    await online.async_open()
    watch = EngineWatch(fleet)
    job = ""
    if make_policy is not None:
        lines = make_lines(seconds * 60, BATCH_TOKENS)
        job = (await fleet.async_submit(lines)).unwrap().job
    await fleet.clock.async_sleep(WARM_UP_MS)
    before, commits = _count_done(fleet, job), _count_commits(fleet)
    watching: list[asyncio.Task[None]] = []

    def on_start(start: Millis) -> None:
        watching.append(asyncio.ensure_future(watch.async_run(start)))
        for allowance in made:
            if isinstance(allowance, Oracle):
                allowance.start = start

    await online.async_run(seconds, on_start)
    watching[0].cancel()
    done, committed = _count_done(fleet, job) - before, _count_commits(fleet) - commits
    await asyncio.gather(*online.tasks)
    await online.async_close()
    await fleet.async_close()
    return make_figures(policy, online, watch, done / seconds, committed / done if done else 0.0)


def make_figures(
    policy: str, online: Online, watch: EngineWatch, rate: float, commits: float
) -> Figures:
    """Return the figures of one run."""
    waits = sorted(online.waits_ms)
    shares = watch.shares
    done = rate * (shares.burst_ms + shares.idle_ms) / 1000
    return Figures(
        policy=policy,
        items_per_s=rate,
        burst_per_s=shares.burst_tokens * 1000 / BATCH_TOKENS / max(1, shares.burst_ms),
        idle_per_s=shares.idle_tokens * 1000 / BATCH_TOKENS / max(1, shares.idle_ms),
        streams=shares.batch_ms / max(1, shares.idle_ms),
        burst_share=shares.burst_ms / max(1, shares.burst_ms + shares.idle_ms),
        p50_ms=statistics.median(waits),
        p95_ms=waits[int(len(waits) * 0.95)],
        p99_ms=waits[int(len(waits) * 0.99)],
        yield_ms=statistics.median(watch.delays_ms) if watch.delays_ms and rate else 0.0,
        repeats=watch.repeats / done if done else 0.0,
        repeated_tokens=watch.repeated_tokens / done if done else 0.0,
        commits_per_1000=commits * 1000,
        refused=online.refused,
    )


def _count_done(fleet: BatchFleet, job: str) -> int:
    if not job:
        return 0
    held = sum(
        len(c.finished) for s in fleet.services.values() for c in s.chunk_owner.chunks.values()
    )
    return held + sum(
        decode_chunk(value).states.count("d")
        for value in fleet.world.find_all(f"chunk/{job}/").values()
    )


def _count_commits(fleet: BatchFleet) -> int:
    return sum(service.chunk_owner.commits for service in fleet.services.values())


@app.default
def run(seconds: int = 120, seed: int = 7, policy: str = "") -> None:
    """Measure all policies, or one, over the same arrivals, `seconds` of virtual time each."""
    for name, make_policy in POLICIES.items():
        if policy in ("", name):
            figures = run_virtual(async_measure(name, seconds, make_policy, seed))
            print(figures.describe(), flush=True)


if __name__ == "__main__":
    app()
