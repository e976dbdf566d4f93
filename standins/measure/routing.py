"""Time to first token under three ways of routing, in process on virtual time."""

import asyncio
import hashlib
import random
from collections import Counter
from dataclasses import dataclass, field
from typing import Final

import orjson
from cyclopts import App
from result import Err, Result

from goldcreststair.clock import LoopClock
from goldcreststair.components.configuration.models import CONFIGURATION, Configuration
from goldcreststair.components.routing.controller import AffinityRouter
from goldcreststair.components.routing.poller import UpstreamPoller
from goldcreststair.components.routing.protocols import RouteQuery
from goldcreststair.upstreams.errors import UpstreamError
from goldcreststair.upstreams.models import (
    GenerateCall,
    GenerateEnd,
    StreamChunk,
    Upstream,
)
from standins.engine.client import FakeUpstreams
from standins.engine.models import EngineParameters
from tests.helpers.cores import make_core
from tests.helpers.virtual_time import run_virtual

app = App(help="Compare ways of routing; takes under a minute.")

VMS: Final = 5
ENGINES: Final = 9
PREFIX_WORDS: Final = 1500
TOKENS: Final = 60
REPORT_LAG_MS: Final = 2000
WARM_UP_S: Final = 10.0
POLICIES: Final = ("affinity", "random", "least_own")


@dataclass(frozen=True, slots=True)
class Workload:
    """Which prompts come; engines together hold about 290 prefixes."""

    name: str
    prefixes: int
    skew: float
    """Exponent of a Pareto distribution over prefixes; 0 for all alike."""

    def draw(self, source: random.Random) -> int:
        """Return the number of one prefix."""
        if not self.skew:
            return source.randrange(self.prefixes)
        return min(int(source.paretovariate(self.skew)) - 1, self.prefixes - 1)


WORKLOADS: Final = (Workload("few popular prefixes", 150, 0.8), Workload("many alike", 250, 0.0))


@dataclass(slots=True)
class Outcomes:
    """What the requests of one run met."""

    first_token_ms: list[int] = field(default_factory=list)
    failed: int = 0

    def describe(self) -> str:
        """Return the quantiles."""
        times = sorted(self.first_token_ms)
        p50, p99 = (times[int(len(times) * quantile)] for quantile in (0.5, 0.99))
        return f"p50 {p50} ms, p99 {p99} ms, {len(times)} requests, {self.failed} failed"


class FirstToken:
    """A sink that knows when the first chunk came."""

    def __init__(self, clock: LoopClock) -> None:
        """Start waiting."""
        self.at: int | None = None
        self._clock = clock

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Take a chunk."""
        if self.at is None:
            self.at = self._clock.now()


class Vm:
    """One daemon's router and the policy that it follows."""

    def __init__(self, number: int, policy: str, upstreams: FakeUpstreams, seed: int) -> None:
        """Know all engines."""
        core = make_core(upstreams=upstreams, session_id=f"vm{number}", seed=seed * 100 + number)
        addresses = list(upstreams.engines)
        self.upstreams = [
            Upstream(f"e{index}", address, "dc1", models=("small",))
            for index, address in enumerate(addresses)
        ]
        by_name = {upstream.name: upstream for upstream in self.upstreams}
        core.blackboard.open_section(CONFIGURATION, Configuration(1, upstreams=by_name))
        self.router = AffinityRouter(core)
        self.poller = UpstreamPoller(core, self.router)
        self.own: Counter[str] = Counter()
        self._policy = policy
        self._random = core.random
        self._engines = core.upstreams.engines

    def choose(self, prefix: str) -> Upstream:
        """Choose as the policy says."""
        if self._policy == "random":
            return self._random.choice(self.upstreams)
        if self._policy == "least_own":
            self._random.shuffle(self.upstreams)
            return min(self.upstreams, key=lambda upstream: self.own[upstream.name])
        query = RouteQuery(model="small", prefix=prefix, admitted=True)
        return self.router.choose(query).unwrap()

    async def async_send(
        self, call: GenerateCall, prefix: str, sink: FirstToken
    ) -> Result[GenerateEnd, UpstreamError]:
        """Route and run one request."""
        upstream = self.choose(prefix)
        self.own[upstream.name] += 1
        self.router.begin(upstream.name)
        try:
            return await self._engines.async_generate(upstream, call, sink)
        finally:
            self.own[upstream.name] -= 1
            self.router.end(upstream.name, ok=True)


async def async_run(
    policy: str, workload: Workload, rate_per_s: float, run_s: float, seed: int
) -> Outcomes:
    """Send requests at random times from several VMs."""
    clock = LoopClock()
    upstreams = FakeUpstreams(clock)
    for number in range(ENGINES):
        parameters = EngineParameters(report_lag_ms=REPORT_LAG_MS)
        upstreams.add_engine(f"127.0.0.1:{9000 + number}", parameters=parameters, seed=number)
    vms = [Vm(number, policy, upstreams, seed) for number in range(VMS)]
    for vm in vms:
        await vm.poller.async_start()
    arrivals, outcomes = random.Random(seed), Outcomes()
    began = clock.now()

    async def async_request(number: int) -> None:
        prefix = workload.draw(arrivals)
        words = " ".join(f"p{prefix}w{index}" for index in range(PREFIX_WORDS))
        body = {"model": "small", "prompt": f"{words} {number}", "max_tokens": TOKENS}
        call = GenerateCall(
            f"r{number}", "/v1/completions", orjson.dumps(body | {"stream": True}), True, 60_000
        )
        digest = hashlib.sha256(str(prefix).encode()).hexdigest()[:16]
        sink, sent_at = FirstToken(clock), clock.now()
        outcome = await arrivals.choice(vms).async_send(call, digest, sink)
        if isinstance(outcome, Err) or sink.at is None:
            outcomes.failed += 1
        elif sent_at - began > WARM_UP_S * 1000:
            outcomes.first_token_ms.append(sink.at - sent_at)

    running: list[asyncio.Task[None]] = []
    while clock.now() - began < run_s * 1000:
        running.append(asyncio.create_task(async_request(len(running))))
        await asyncio.sleep(arrivals.expovariate(rate_per_s))
    await asyncio.gather(*running)
    for vm in vms:
        await vm.poller.async_close()
    await upstreams.async_close()
    return outcomes


@app.default
def main(run_s: float = 25.0, rate_per_s: float = 70.0, seeds: int = 1) -> None:
    """Compare over two workloads, `run_s` virtual seconds each."""
    print(f"{VMS} VMs, {ENGINES} engines, {rate_per_s:.0f} requests/s, lag {REPORT_LAG_MS} ms")
    for workload in WORKLOADS:
        for policy in POLICIES:
            for seed in range(1, seeds + 1):
                run = async_run(policy, workload, rate_per_s, run_s, seed)
                print(f"{workload.name}, {policy}: {run_virtual(run).describe()}", flush=True)


if __name__ == "__main__":
    app()
