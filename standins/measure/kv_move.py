"""Moves one stream by prefill or by KV transfer, on virtual time, over lengths of its context."""

import asyncio
from dataclasses import dataclass
from typing import Final

import orjson
from cyclopts import App

from goldcreststair.clock import Clock, LoopClock
from goldcreststair.components.online.departures import MoveMethod
from goldcreststair.upstreams.models import GenerateCall, StreamChunk, Upstream
from standins.engine.client import FakeUpstreams
from standins.engine.model import make_token
from standins.engine.models import EngineParameters
from standins.engine.requests import parse_request
from standins.virtual_time import run_virtual

app = App(help="Measure how a stream's move by prefill or KV transfer depends on its context.")

SOURCE: Final = Upstream("source", "127.0.0.1:1", "dc1", models=("small",))
TARGET: Final = Upstream("target", "127.0.0.1:2", "dc1", models=("small",))
PATH: Final = "/v1/completions"
TOKENS: Final = 400
STREAMED_MS: Final = 1500
AFTER_MS: Final = 2000
BYSTANDERS: Final = 8
LENGTHS: Final = (100, 250, 500, 750, 1000, 1500, 2000, 4000, 8000, 16_000)


class GapSink:
    """Notes when tokens came."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self.last_index = -1
        self.times: list[int] = []
        self._clock = clock

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Note a chunk, if any of it is new."""
        if chunk.last_index > self.last_index:
            self.last_index = chunk.last_index
            self.times.append(self._clock.now())

    def find_gap(self, since: int) -> int:
        """Return the longest pause that ended after a time, in ms."""
        pairs = zip(self.times, self.times[1:], strict=False)
        return max((later - earlier for earlier, later in pairs if later > since), default=0)


@dataclass(frozen=True, slots=True)
class Move:
    """What one move cost, in ms."""

    resumed_ms: int
    """From the decision to the first token from the target."""
    gap_ms: int
    """Longest pause of the moved stream."""
    bystander_ms: int
    """Longest pause of a stream that ran at the target before."""


class Trial:
    """A source with one stream, a target with some others."""

    def __init__(self, parameters: EngineParameters, prompt_tokens: int) -> None:
        """Start both engines; call on a running loop."""
        self.clock = LoopClock()
        self.upstreams = FakeUpstreams(self.clock)
        for upstream in (SOURCE, TARGET):
            self.upstreams.add_engine(upstream.address, ("small",), parameters)
        self.prompt = " ".join(f"word{number}" for number in range(prompt_tokens))
        self.sink = GapSink(self.clock)
        self.tasks: list[asyncio.Task[object]] = []

    def start(self, upstream: Upstream, call: GenerateCall, sink: GapSink) -> asyncio.Task[object]:
        """Begin or resume one stream."""
        task: asyncio.Task[object] = asyncio.create_task(
            self.upstreams.async_generate(upstream, call, sink)
        )
        self.tasks.append(task)
        return task

    def make_call(self, request_id: str, prompt: str, after: int = -1) -> GenerateCall:
        """Return a call that goes on after the tokens received."""
        fields = {"model": "small", "prompt": prompt, "max_tokens": TOKENS, "stream": True}
        body = orjson.dumps(fields)
        seed = parse_request(PATH, request_id, body).generation.seed
        prior = "".join(make_token(seed, index) for index in range(after + 1))
        return GenerateCall(request_id, PATH, body, True, 600_000, after, prior)

    async def async_move(self, method: MoveMethod) -> Move:
        """Stream for a while, move, and stream on."""
        bystanders = [GapSink(self.clock) for _ in range(BYSTANDERS)]
        for number, sink in enumerate(bystanders):
            self.start(TARGET, self.make_call(f"b{number}", f"bystander {number}"), sink)
        attempt = self.start(SOURCE, self.make_call("moved", self.prompt), self.sink)
        while not self.sink.times:
            await self.clock.async_sleep(10)
        await self.clock.async_sleep(STREAMED_MS)
        decided = self.clock.now()
        if method is MoveMethod.KV:
            engines = self.upstreams
            state = (await engines.async_export_kv(SOURCE, "moved")).unwrap()
            (await engines.async_import_kv(TARGET, "moved", state)).unwrap()
        attempt.cancel()
        self.start(TARGET, self.make_call("moved", self.prompt, self.sink.last_index), self.sink)
        given_out, left = len(self.sink.times), self.clock.now()
        while len(self.sink.times) == given_out:
            await self.clock.async_sleep(1)
        resumed = self.sink.times[given_out] - decided
        await self.clock.async_sleep(AFTER_MS)
        harm = max(sink.find_gap(left) for sink in bystanders)
        return Move(resumed, self.sink.find_gap(left), harm)

    async def async_close(self) -> None:
        """Stop all streams and engines."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        await self.upstreams.async_close()


async def async_measure(
    parameters: EngineParameters, prompt_tokens: int, method: MoveMethod
) -> Move:
    """Make one move on engines of its own."""
    trial = Trial(parameters, prompt_tokens)
    try:
        return await trial.async_move(method)
    finally:
        await trial.async_close()


@app.default
def main(
    kv_base_ms: float = 15.0,
    kv_transfer_per_token_ms: float = 0.01,
    prefill_per_token_ms: float = 0.05,
) -> None:
    """Print what a move costs by either method, and from which prompt on KV resumes sooner."""
    parameters = EngineParameters(
        kv_base_ms=kv_base_ms,
        kv_transfer_per_token_ms=kv_transfer_per_token_ms,
        prefill_per_token_ms=prefill_per_token_ms,
    )
    print("prompt tokens: resumed, pause of the caller, pause of bystanders; prefill | kv, ms")
    crossover = 0
    for length in LENGTHS:
        prefill = run_virtual(async_measure(parameters, length, MoveMethod.PREFILL))
        kv = run_virtual(async_measure(parameters, length, MoveMethod.KV))
        print(f"{length}: {_format(prefill)} | {_format(kv)}")
        if not crossover and kv.resumed_ms < prefill.resumed_ms:
            crossover = length
    print(f"kv resumes sooner from {crossover or 'no'} prompt tokens on")


def _format(move: Move) -> str:
    return f"{move.resumed_ms}, {move.gap_ms}, {move.bystander_ms}"


if __name__ == "__main__":
    app()
