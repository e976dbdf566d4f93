"""Cost and latency of commits, and take-over: `python -m standins.measure.ledger`.

Waiting times are virtual (the store takes 5 ms a call), processor time is real. Run from the root
of the source tree (it uses the tests' fakes).
"""

import asyncio
import random
import time
from typing import Final

from result import Ok

from goldcreststair.components.membership.models import MemberState
from tests.helpers.virtual_time import run_virtual
from tests.helpers.vms import Fleet, Vm

STORE_MS: Final = 5
VALUE_BYTES: Final = 200
LOAD_S: Final = 20
RATES_PER_S: Final = (1, 10, 100, 1000)
SHARES: Final = ((64, 64), (6, 64), (1, 64), (5, 4096), (1, 820))
"""Partitions that the VM owns, and partitions of the fleet."""
RECOVERY_RECORDS: Final = (100, 1_000, 10_000, 50_000)


async def async_start(owned: int, partitions: int) -> tuple[Fleet, Vm]:
    """Return a VM that owns `owned` partitions and paces itself as if there were `partitions`."""
    fleet = Fleet(owned)
    fleet.platform.faults.slow_ms = STORE_MS
    await fleet.async_add("a")
    vm = fleet.vms["a"]
    vm.ledger._update_pace = lambda: None  # type: ignore[method-assign]
    vm.ledger._pacer.share = owned / partitions
    return fleet, vm


async def async_commit(vm: Vm, number: int, latencies: list[float]) -> None:
    """Commit one record and note how long it took, in milliseconds."""
    begun = asyncio.get_running_loop().time()
    value = random.Random(number).randbytes(VALUE_BYTES)
    done = await vm.async_put(f"record/{number}", value, 600_000)
    assert isinstance(done, Ok)
    latencies.append((asyncio.get_running_loop().time() - begun) * 1000)


async def async_load(owned: int, partitions: int, rate: int) -> str:
    """Return writes per 1,000 records, p50 and p99, and processor time per 1,000 records."""
    fleet, vm = await async_start(owned, partitions)
    latencies: list[float] = []
    before, begun = fleet.platform.counts.writes, time.process_time()
    tasks = []
    for number in range(rate * LOAD_S):
        tasks.append(asyncio.ensure_future(async_commit(vm, number, latencies)))
        await asyncio.sleep(1 / rate)
    await asyncio.gather(*tasks)
    spent, count = time.process_time() - begun, len(latencies)
    latencies.sort()
    writes = (fleet.platform.counts.writes - before) * 1000 / count
    p50, p99 = latencies[count // 2], latencies[min(count - 1, count * 99 // 100)]
    await fleet.async_close()
    return f"{writes:12.1f} {p50:7.0f} {p99:7.0f} {spent * 1e6 / count:12.1f}"


async def async_recover(records: int) -> str:
    """Return the time from an owner's expiry until all is served, and its processor time."""
    fleet, vm = await async_start(6, 6)
    for first in range(0, records, 5000):
        numbers = range(first, min(first + 5000, records))
        await asyncio.gather(*(async_commit(vm, number, []) for number in numbers))
    size = sum(map(len, fleet.platform.objects.values()))
    heir = Vm(fleet, "b")
    fleet.vms["b"] = heir
    fleet.set_state("b", MemberState.SERVING)
    fleet.kill("a")
    loop = asyncio.get_running_loop()
    gained_at: list[float] = []
    heir.ledger.watch(lambda _: gained_at.append(loop.time()), lambda _: None)
    fleet.forget("a")
    begun, cpu = loop.time(), time.process_time()
    await heir.ledger.async_start()
    await asyncio.sleep(10)
    assert len(gained_at) == fleet.partitions
    spent = (time.process_time() - cpu) * 1000
    await fleet.async_close()
    return f"{(gained_at[-1] - begun) * 1000:16.0f} {spent:7.0f} {size:13}"


def main() -> None:
    """Print all figures."""
    print(f"store {STORE_MS} ms a call, {VALUE_BYTES} bytes a record, {LOAD_S} s a line")
    print("owned  partitions  rate/s  writes/1000  p50 ms  p99 ms  cpu ms/1000")
    for owned, partitions in SHARES:
        for rate in RATES_PER_S:
            figures = run_virtual(async_load(owned, partitions, rate))
            print(f"{owned:5} {partitions:11} {rate:7} {figures}")
    print("records  served after ms  cpu ms  object bytes")
    for records in RECOVERY_RECORDS:
        print(f"{records:7} {run_virtual(async_recover(records))}")


if __name__ == "__main__":
    main()
