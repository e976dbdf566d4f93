"""Replay of a load with one failing upstream of seven, on virtual time."""

import asyncio
from dataclasses import dataclass, field
from itertools import pairwise

from goldcreststair.features import Feature
from standins.gateways import FakeResponder, FleetMember, GatewayFleet
from standins.run_engines import RunEngine
from tests.helpers.gateways import async_send

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


async def async_flap(fleet: GatewayFleet, engine: RunEngine) -> None:
    """Let an upstream go down and come back every second; its entry stays the same."""
    while True:
        engine.up = not engine.up
        await fleet.clock.async_sleep(500)


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
