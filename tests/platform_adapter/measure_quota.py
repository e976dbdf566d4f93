"""Measures a limit over daemons as processes, beside busy processes if asked.

`python -m tests.platform_adapter.measure_quota --daemons 30 --busy 8` prints the most requests that engines ran in any
window, and how old the other daemons' counters were at decisions.
"""

import asyncio
import copy
import os
import random
import signal
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

from cyclopts import App

from standins.measure.quotas import WINDOW_MS, choose_load
from tests.platform_adapter.busy import async_start_busy
from tests.platform_adapter.local import CONFIG, make_request
from tests.platform_adapter.ports import find_port
from tests.platform_adapter.soak import __main__ as soak
from tests.platform_adapter.soak.daemons import Daemon, DaemonPlan

app = App(help=__doc__)

AGE: Final = "goldcreststair_quota_counter_age_seconds_bucket"
START_S: Final = 4.0
TIMEOUT_S: Final = 10.0


def find_most_in_window(times_s: list[float]) -> int:
    """Return the highest number of times within any window.

    >>> find_most_in_window([0.0, 1.0, 4.9, 5.1, 20.0])
    3
    """
    ordered, most, first = sorted(times_s), 0, 0
    for last, at in enumerate(ordered):
        while ordered[first] <= at - WINDOW_MS / 1_000:
            first += 1
        most = max(most, last - first + 1)
    return most


async def async_send(front: str, number: int) -> int:
    """Send one request to a daemon and return the answer's status; 0 without an answer."""
    host, _, port = front.rpartition(":")
    try:
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(make_request("POST", "/call/x", b"", {"Request-Id": f"q{number}"}))
            status = int((await reader.readline()).split()[1])
            writer.close()
            return status
    except (OSError, TimeoutError, IndexError):
        return 0


async def async_read_ages(address: str, port: int) -> Counter[float]:
    """Return how many decisions a daemon made on counters up to each age, s."""
    reader, writer = await asyncio.open_connection(address, port)
    writer.write(b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
    page = (await reader.read()).decode()
    writer.close()
    ages: Counter[float] = Counter()
    for line in page.splitlines():
        if line.startswith(AGE):
            bound = line.split('le="', 1)[1].split('"', 1)[0]
            ages[float(bound)] += round(float(line.split()[1]))
    return ages


async def async_drive(
    fronts: list[str], rate: float, demand: float, seconds: float, seed: int
) -> Counter[int]:
    """Send a customer's requests in bursts to random daemons; returns the statuses."""
    rng, started = random.Random(seed), time.monotonic()
    sending: list[asyncio.Task[int]] = []
    while (passed := time.monotonic() - started) < seconds:
        await asyncio.sleep(rng.expovariate(choose_load(round(passed * 1_000), rate * demand)))
        sending.append(asyncio.create_task(async_send(rng.choice(fronts), len(sending))))
    return Counter(await asyncio.gather(*sending))


def _make_config(rate: float, burst: float) -> dict[str, Any]:
    config: dict[str, Any] = copy.deepcopy(CONFIG)
    config["tenants"][0] |= {"rate_per_s": rate, "burst": burst}
    return config


async def async_throttle(daemon: Daemon, stopped_ms: int, rng: random.Random) -> None:
    """Let a daemon run for 100 ms at a time, as on a core whose share is used up."""
    while True:
        daemon.send(signal.SIGSTOP)
        await asyncio.sleep(stopped_ms / 1_000)
        daemon.send(signal.SIGCONT)
        await asyncio.sleep(rng.uniform(0.05, 0.15))


async def async_measure(
    daemons: int,
    busy: int,
    stopped_ms: int,
    rate: float,
    burst: float,
    demand: float,
    seconds: float,
    seed: int,
) -> None:
    """Measure one site and print the figures."""
    metrics_port = find_port()
    list_arguments = DaemonPlan.list_arguments

    def list_with_metrics(plan: DaemonPlan) -> list[str]:
        return [*list_arguments(plan), f"--metrics-port={metrics_port}"]

    CONFIG.update(_make_config(rate, burst))
    DaemonPlan.list_arguments = list_with_metrics  # type: ignore[assignment, method-assign]
    with tempfile.TemporaryDirectory() as folder:
        site = soak.Site(Path(folder), daemons)
        await site.async_start()
        hogs = await async_start_busy(busy)
        try:
            await asyncio.sleep(START_S)
            rng = random.Random(seed)
            throttles = [
                asyncio.create_task(async_throttle(daemon, stopped_ms, rng))
                for daemon in site.daemons
                if stopped_ms
            ]
            fronts = [daemon.plan.front for daemon in site.daemons]
            statuses = await async_drive(fronts, rate, demand, seconds, seed)
            for throttle in throttles:
                throttle.cancel()
            for daemon in site.daemons:
                daemon.send(signal.SIGCONT)
            read = [async_read_ages(daemon.name, metrics_port) for daemon in site.daemons]
            ages: Counter[float] = sum(await asyncio.gather(*read), Counter())
        finally:
            for hog in hogs:
                hog.kill()
            await site.async_close()
    # All upstreams of a site record into one list.
    times = [run.at for run in site.engines[0].runs]
    bound = (rate * WINDOW_MS / 1_000 + burst) * 1.1 + 20
    print(
        f"{daemons} daemons, stopped for {stopped_ms} ms at a time, {busy} busy processes on {os.cpu_count()} processors, seed {seed}"
    )
    print(f"most in 5 s: {find_most_in_window(times)}, {bound:.0f} allowed; {dict(statuses)}")
    total = max(1, max(ages.values(), default=1))
    print("age of counters:", {age: f"{count / total:.3f}" for age, count in sorted(ages.items())})


@app.default
def main(
    daemons: int = 30,
    busy: int = 0,
    stopped_ms: int = 0,
    rate: float = 10.0,
    burst: float = 10.0,
    demand: float = 7.5,
    seconds: float = 20.0,
    seed: int = 1,
) -> None:
    """Print one measurement."""
    asyncio.run(async_measure(daemons, busy, stopped_ms, rate, burst, demand, seconds, seed))


if __name__ == "__main__":
    app()
