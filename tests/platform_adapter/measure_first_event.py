"""Measures the time that the gateway daemon adds to a short stream.

Run as `python -m tests.platform_adapter.measure_first_event`. Caller, daemon, engine and store share one process
on loopback, so the figure is an upper bound.
"""

import statistics
import time

from tests.platform_adapter import local as local_gateway
from tests.platform_adapter.local import LocalGateway, async_read_answer, make_request

REQUESTS = 400
WARM_UP = 50


async def async_measure(local: LocalGateway, address: str) -> list[float]:
    """Return the time from each request to the end of its answer, ms, over one connection."""
    reader, writer = await local.async_open(address)
    durations: list[float] = []
    for number in range(REQUESTS):
        headers = {"Request-Id": f"r{number}", "Target-Instance": local.engine.name}
        started_at = time.perf_counter()
        writer.write(make_request("POST", "/stream/x", b"prompt", headers))
        answer = await async_read_answer(reader)
        durations.append((time.perf_counter() - started_at) * 1000)
        assert answer.status == 200 and answer.whole
    return durations[WARM_UP:]


async def async_print(local: LocalGateway) -> None:
    """Print the medians with and without the daemon."""
    direct = statistics.median(await async_measure(local, local.engine.address))
    through = statistics.median(await async_measure(local, local.front))
    print(f"direct {direct:.2f} ms, through the daemon {through:.2f} ms", end="")
    print(f", added {through - direct:.2f} ms at the median of {REQUESTS - WARM_UP}")


if __name__ == "__main__":
    local_gateway.run_local(async_print)
