"""Replay of a load with one failing upstream of seven, on virtual time.

`python -m tests.components.outliers.replay [DAEMONS]` prints the figures of all faults.
"""

import asyncio
import sys
from dataclasses import dataclass, field
from itertools import pairwise

from goldcreststair.features import Feature
from standins.gateways import FakeResponder, FleetMember, GatewayFleet
from standins.run_engines import RunEngine
from tests.helpers.gateways import async_send, run_fleet

UPSTREAMS = 7
DAEMONS = 5
REQUESTS = 500
GAP_MS = 16
"""62 requests a second use 0.7 of all slots."""
OBJECTIVE_MS = 300
"""Limit for the first event and for each pause between events."""
STATUS_FAILED = 500
SETTLE_MS = 2_000
SAMPLES = 16
"""Requests that each daemon gets before the fault begins."""


@dataclass(slots=True)
class Replay:
    """Requests of one replay, and what became of them."""

    fleet: GatewayFleet
    bad: RunEngine
    answers: list[FakeResponder] = field(default_factory=list)
    longest_ms: list[int] = field(default_factory=list)
    """Longest wait of each caller for the next event or the end."""

    @property
    def share_at_bad(self) -> float:
        """Share of all runs at the failing upstream."""
        runs = [len(engine.ran) for engine in self.fleet.engines.by_address.values()]
        return len(self.bad.ran) / sum(runs)

    @property
    def failed(self) -> int:
        """Number of requests without a whole answer, or with a server error."""
        heads = [answer.head if answer.whole else None for answer in self.answers]
        return sum(head is None or head.status >= STATUS_FAILED for head in heads)

    @property
    def late(self) -> int:
        """Number of answers with a first event, refusal or pause beyond the objective."""
        return sum(wait_ms > OBJECTIVE_MS for wait_ms in self.longest_ms)


async def async_start(fleet: GatewayFleet, *, active: bool, daemons: int = DAEMONS) -> Replay:
    """Start daemons and upstreams, and play the load until daemons know the usual first events."""
    fleet.features = Feature.OUTLIER_EJECTION.value if active else ""
    engines = fleet.add_engines(UPSTREAMS)
    await fleet.async_add_many(daemons)
    await fleet.clock.async_sleep(SETTLE_MS)
    await async_play(Replay(fleet, engines[3]), daemons * SAMPLES)
    for engine in engines:
        engine.ran.clear()
    return Replay(fleet, engines[3])


async def async_flap(engine: RunEngine) -> None:
    """Let an upstream go down and come back every second; its entry stays the same."""
    while True:
        engine.up = not engine.up
        await asyncio.sleep(0.5)


def begin_fault(fault: str, engine: RunEngine) -> "asyncio.Task[None] | None":
    """Let an upstream have a fault; returns the task that has to be cancelled, if there is one."""
    if fault == "flapping":
        return asyncio.create_task(async_flap(engine))
    engine.fail_share = 0.45 if fault == "failing" else 0.0
    engine.silent = fault == "hanging"
    engine.pace_percent, engine.reports_pace = (750 if fault == "slow" else None), False
    return None


async def async_request(replay: Replay, member: FleetMember, path: str) -> None:
    """Send one request and record its longest wait."""
    clock = replay.fleet.clock
    times = [clock.now()]
    answer = await async_send(replay.fleet, member, path)
    times += [*answer.event_times, answer.ended_at or clock.now()]
    replay.answers.append(answer)
    replay.longest_ms.append(max(after - before for before, after in pairwise(times)))


async def async_play(replay: Replay, requests: int = REQUESTS, path: str = "/stream/a") -> None:
    """Send requests to all daemons in turn and wait for their ends."""
    tasks = []
    for number in range(requests):
        member = replay.fleet.members[number % len(replay.fleet.members)]
        tasks.append(asyncio.create_task(async_request(replay, member, path)))
        await replay.fleet.clock.async_sleep(GAP_MS)
    await asyncio.gather(*tasks)


def play(fault: str, path: str, *, active: bool, daemons: int = DAEMONS) -> Replay:
    """Return the replay of a fault at one upstream."""
    replays: list[Replay] = []

    async def scenario(fleet: GatewayFleet) -> None:
        replay = await async_start(fleet, active=active, daemons=daemons)
        replays.append(replay)
        task = begin_fault(fault, replay.bad)
        await async_play(replay, path=path)
        if task is not None:
            task.cancel()

    run_fleet(scenario)
    return replays[0]


def main(daemons: int) -> None:
    """Print the figures of each fault without and with the feature."""
    for path in ("/stream/a", "/call/a", "/once/a"):
        for fault in ("none", "failing", "hanging", "slow", "flapping"):
            replays = [play(fault, path, active=each, daemons=daemons) for each in (False, True)]
            shares = " ".join(f"{each.share_at_bad:.3f}" for each in replays)
            failed, late = [each.failed for each in replays], [each.late for each in replays]
            print(f"{path:10s} {fault:9s} share {shares} failed {failed} late {late}", flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if sys.argv[1:] else DAEMONS)
