"""Added latency, relayed tokens and requests a second a core, and memory of one daemon."""

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Final

import orjson
from cyclopts import App
from result import Ok

from goldcreststair.http_exchange import Exchange, async_exchange
from standins.demo.__main__ import wait_ready
from standins.demo.fleet import Fleet, FleetPlan
from standins.demo.process import ChildProcess

app = App(help="Measure the relay on loopback; takes under a minute.")

KEY: Final = "key-measure"
CUSTOMERS: Final = {"measure": {"rate_per_s": 1_000_000, "burst": 1_000_000}}
PAGE_BYTES: Final = 4096
TICKS_PER_S: Final = 100
ENGINES: Final = 3
TOKENS: Final = 370
"""Tokens of a stream: 13 million a second over 35,000 requests a second."""


@dataclass(frozen=True, slots=True)
class Load:
    """What a process used during one run."""

    elapsed_s: float
    processor_s: float
    tokens: int
    requests: int

    def describe(self) -> str:
        """Return the figures a second of processor time."""
        share = self.processor_s / self.elapsed_s
        return (
            f"{self.tokens / self.processor_s:,.0f} tokens/s a core, "
            f"{self.requests / self.processor_s:,.0f} requests/s a core "
            f"({share:.0%} of a core over {self.elapsed_s:.1f} s)"
        )


def read_processor_s(pid: int) -> float:
    """Return the processor seconds a process used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def read_memory_mb(pid: int) -> float:
    """Return a process's resident memory."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES / 1e6


async def async_send(address: str, tokens: int, pace_ms: float = 0) -> tuple[float, int]:
    """Send one streamed request (or a whole one for 0 tokens); returns seconds and events."""
    events = 0

    def count(data: bytes) -> None:
        nonlocal events
        events += data.count(b"id: ")

    fields = {"model": "small", "prompt": "x", "stream": tokens > 0, "pace_ms": pace_ms}
    body = orjson.dumps(fields | {"max_tokens": max(1, tokens)})
    headers = {"Authorization": f"Bearer {KEY}", "X-Request-Id": "r"}
    began = time.perf_counter()
    outcome = await async_exchange(
        Exchange(address, "POST", "/v1/completions", 60_000, headers, body), on_data=count
    )
    assert isinstance(outcome, Ok), outcome
    assert outcome.ok_value.status == 200, outcome
    return time.perf_counter() - began, events


async def async_load(
    process: ChildProcess, streams: int, run_s: float, send: Callable[[], Awaitable[int]]
) -> Load:
    """Keep `streams` requests running for a while and measure the process."""
    tokens, requests = 0, 0
    stop_at = time.perf_counter() + run_s

    async def async_repeat() -> None:
        nonlocal tokens, requests
        while time.perf_counter() < stop_at:
            received = await send()
            tokens += received
            requests += 1

    before, began = read_processor_s(process.pid), time.perf_counter()
    await asyncio.gather(*(async_repeat() for _ in range(streams)))
    used = read_processor_s(process.pid) - before
    return Load(time.perf_counter() - began, used, tokens, requests)


async def async_compare_latency(direct: str, through: str, requests: int) -> None:
    """Print p50 and p99 of whole short answers, alternating between the two ways."""
    taken: dict[str, list[float]] = {direct: [], through: []}
    for _ in range(requests):
        for address in (direct, through):
            taken[address].append((await async_send(address, 0))[0] * 1000)
    for quantile in (0.5, 0.99):
        one, two = (sorted(times)[int(len(times) * quantile)] for times in taken.values())
        print(f"latency p{quantile * 100:.0f}: direct {one:.2f} ms, added {two - one:.2f} ms")


async def async_measure(fleet: Fleet, bare: ChildProcess, engines: list[str], run_s: float) -> None:
    """Print all figures."""
    daemon = fleet.daemons[0]
    print(f"memory idle: {read_memory_mb(daemon.pid):.0f} MB")
    await async_compare_latency(engines[0], daemon.wait_listening(), 300)
    for pace_ms in (0.0, 20.0):
        rates = []
        for name, process in (("bare relay", bare), ("daemon", daemon)):
            address = process.wait_listening()

            async def async_stream(address: str = address, pace_ms: float = pace_ms) -> int:
                return (await async_send(address, TOKENS, pace_ms))[1]

            load = await async_load(process, 20 if not pace_ms else 100, run_s, async_stream)
            rates.append(load.tokens / load.processor_s)
            print(f"{name}, pace {pace_ms:.0f} ms: {load.describe()}")
        print(f"daemon relays {rates[1] / rates[0]:.0%} of the bare relay's tokens a core")

    async def async_short() -> int:
        await async_send(daemon.wait_listening(), 0)
        return 0

    load = await async_load(daemon, 20, run_s, async_short)
    print(f"daemon, short answers: {load.describe()}")
    print(f"memory busy: {read_memory_mb(daemon.pid):.0f} MB")


@app.default
def main(run_s: float = 4.0) -> None:
    """Measure for `run_s` seconds a figure."""
    with Fleet(FleetPlan(daemons=1, engines=0, data_centres=("dc1",))) as fleet:
        engines = [
            ChildProcess(f"fast{number}", "standins.measure.fast_engine", [])
            for number in range(ENGINES)
        ]
        addresses = [engine.wait_listening() for engine in engines]
        arguments = ["--upstreams", ",".join(addresses)]
        bare = ChildProcess("bare", "standins.measure.bare_relay", arguments)
        try:
            fleet.engines = {f"fast{number}": a for number, a in enumerate(addresses)}
            document = fleet.describe_configuration(CUSTOMERS)
            assert fleet.patch_configuration(0, document).status == 200
            wait_ready(fleet.daemons[0].wait_listening())
            bare.wait_listening()
            asyncio.run(async_measure(fleet, bare, addresses, run_s))
        finally:
            for process in (bare, *engines):
                process.close()


if __name__ == "__main__":
    app()
