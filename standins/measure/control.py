"""What control costs a daemon, and how fast news spread: `python -m standins.measure.control`."""

import asyncio
import gc
import hashlib
import logging
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final

import orjson

from goldcreststair.clock import LoopClock
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.keys.withdrawal import WITHDRAWALS
from goldcreststair.components.membership.protocols import SET_WITHDRAWN_KEYS, SHARED_SETS
from goldcreststair.core import Component, Core
from goldcreststair.online_pressure import ONLINE_PRESSURE, OnlinePressure
from standins.daemons import CONTROL, FakeDaemon, FakeDaemons
from standins.network import FakeNetwork, Traffic
from standins.platform.store import FakePlatform
from standins.virtual_time import run_virtual

SIZES: Final = (3, 10, 30, 100)
SETTLE_S: Final = 60.0
WINDOW_S: Final = 60.0
SPREAD_SIZE: Final = 30
TRIALS: Final = 10
SLOW_MS: Final = 2000
LIMIT_MS: Final = 60_000
WAN_DELAY_MS: Final = 2
CUSTOMERS: Final = 8
UPSTREAMS: Final = 9
MAX_IN_FLIGHT: Final = 200


@dataclass(frozen=True, slots=True)
class Cost:
    """Control cost of one daemon in a fleet whose loads change every second."""

    vms: int
    bytes_per_s: float
    frames_per_s: float
    cpu_share: float
    """Fraction of a core, the in-process network included."""
    memory_kb: float
    """Python memory a daemon, its part of the in-process network included."""
    reads_per_s: float
    writes_per_s: float


class ChangingPressure:
    """Online load that changes every second, as it does under traffic."""

    def __init__(self, core: Core) -> None:
        """Open the section that the online component writes in a whole daemon."""
        self._core = core
        self._writer = core.blackboard.open_section(ONLINE_PRESSURE, OnlinePressure())
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Change from now on."""
        self._task = asyncio.create_task(self._async_change())

    async def async_close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()

    async def _async_change(self) -> None:
        while True:
            await self._core.clock.async_sleep(1000)
            self._writer.write(OnlinePressure(self._core.random.randrange(MAX_IN_FLIGHT)))


async def async_setup_pressure(core: Core) -> Component:
    """Set up the changing load."""
    return ChangingPressure(core)


def make_fleet() -> FakeDaemons:
    """Return an empty fleet on the running loop's time."""
    clock = LoopClock()
    network = FakeNetwork(clock, WAN_DELAY_MS)
    return FakeDaemons(clock, FakePlatform(clock), network, (*CONTROL, async_setup_pressure))


def make_document(customers: int, upstreams: int) -> dict[str, Any]:
    """Return a document of a given size."""
    names = [f"customer{number}" for number in range(customers)]
    return {
        "customers": {name: {"rate_per_s": 10, "burst": 20} for name in names},
        "keys": {hashlib.sha256(name.encode()).hexdigest(): name for name in names},
        "upstreams": {
            f"upstream{number}": {
                "address": f"10.1.{number // 250}.{number % 250}:9000",
                "data_centre": f"dc{number % 3}",
                "models": ["small"],
            }
            for number in range(upstreams)
        },
    }


async def async_patch(daemon: FakeDaemon, patch: dict[str, Any]) -> None:
    """Patch the version in force at a daemon, until the store takes it."""
    follower = daemon.core.get(CONFIGURATION_FOLLOWER)
    patch_id = f"{daemon.core.random.getrandbits(64):x}"
    while (await follower.async_patch(follower.version, patch_id, patch)).is_err():
        await follower.async_poll()


async def async_measure_cost(vms: int, memory: bool) -> Cost:
    """Run a fleet whose loads change; memory is traced in a run of its own, as it is slow."""
    gc.collect()
    if memory:
        tracemalloc.start()
    fleet = make_fleet()
    await fleet.async_add_many(vms)
    await async_patch(fleet.running[0], make_document(CUSTOMERS, UPSTREAMS))
    await asyncio.sleep(SETTLE_S if not memory else SETTLE_S / 4)
    gc.collect()
    traced = tracemalloc.get_traced_memory()[0] if memory else 0
    tracemalloc.stop()
    fleet.network.traffic.clear()
    counts = fleet.platform.counts
    reads, writes, began = counts.reads, counts.writes, time.process_time()
    if not memory:
        await asyncio.sleep(WINDOW_S)
    cpu_s = time.process_time() - began
    traffic: list[Traffic] = list(fleet.network.traffic.values())
    per = vms * WINDOW_S
    cost = Cost(
        vms,
        sum(one.bytes for one in traffic) / per,
        sum(one.frames for one in traffic) / per,
        cpu_s / per,
        traced / vms / 1024,
        (counts.reads - reads) / per,
        (counts.writes - writes) / per,
    )
    await fleet.async_close()
    return cost


async def async_time_spread(fleet: FakeDaemons, arrived: Callable[[FakeDaemon], bool]) -> list[int]:
    """Return when each daemon had the news, in ms from now."""
    began = fleet.clock.now()
    waiting = list(fleet.running)
    took: list[int] = []
    while waiting and fleet.clock.now() - began < LIMIT_MS:
        have = [daemon for daemon in waiting if arrived(daemon)]
        took += [fleet.clock.now() - began] * len(have)
        waiting = [daemon for daemon in waiting if daemon not in have]
        await asyncio.sleep(0.005)
    return took + [LIMIT_MS] * len(waiting)


async def async_measure_spread(kind: str, store: str) -> list[int]:
    """Return times of a number of trials, each from another VM."""
    fleet = make_fleet()
    await fleet.async_add_many(SPREAD_SIZE)
    await async_patch(fleet.running[0], make_document(CUSTOMERS, UPSTREAMS))
    await asyncio.sleep(SETTLE_S)
    took: list[int] = []
    faults = fleet.platform.faults
    for trial in range(TRIALS):
        source = fleet.running[trial * 7 % SPREAD_SIZE]
        faults.slow_ms = SLOW_MS if store == "slow" else 0
        if kind == "configuration":
            took += await _async_try_version(fleet, source, trial, down=store == "down")
        else:
            faults.down = store == "down"
            took += await _async_try_withdrawal(fleet, source, trial)
        faults.down = False
        faults.slow_ms = 0
        await asyncio.sleep(15)
    await fleet.async_close()
    return took


async def _async_try_version(
    fleet: FakeDaemons, source: FakeDaemon, trial: int, *, down: bool
) -> list[int]:
    version = source.core.get(CONFIGURATION_FOLLOWER).version + 1
    await async_patch(source, {"models": {f"model{trial}": "2"}})
    # The store takes the patch and fails at that moment: a version cannot be made without it.
    fleet.platform.faults.down = down
    return await async_time_spread(
        fleet, lambda daemon: daemon.core.blackboard.read(CONFIGURATION).version >= version
    )


async def _async_try_withdrawal(fleet: FakeDaemons, source: FakeDaemon, trial: int) -> list[int]:
    key_hash = hashlib.sha256(f"withdrawn{trial}".encode()).hexdigest()
    withdrawing = asyncio.create_task(source.core.get(WITHDRAWALS).async_withdraw(key_hash))
    took = await async_time_spread(
        fleet,
        lambda daemon: daemon.core.get(SHARED_SETS).contains(SET_WITHDRAWN_KEYS, key_hash),
    )
    await withdrawing
    return took


def measure_document() -> None:
    """Print what one customer and one upstream add to a whole document."""
    size = len(orjson.dumps(make_document(100, 100)))
    customer = (len(orjson.dumps(make_document(200, 100))) - size) / 100
    upstream = (len(orjson.dumps(make_document(100, 200))) - size) / 100
    print(f"whole document, bytes: {customer:.0f} a customer, {upstream:.0f} an upstream")


def main() -> None:
    """Print all figures as tables."""
    logging.disable(logging.CRITICAL)
    print(f"| VMs | bytes/s | frames/s | core % | KB | store reads/s | writes/s | ({WINDOW_S:g} s)")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for vms in SIZES:
        cost = run_virtual(async_measure_cost(vms, memory=False))
        memory = run_virtual(async_measure_cost(vms, memory=True)).memory_kb
        print(
            f"| {vms} | {cost.bytes_per_s:.0f} | {cost.frames_per_s:.1f} | "
            f"{cost.cpu_share * 100:.2f} | {memory:.0f} | {cost.reads_per_s:.2f} | "
            f"{cost.writes_per_s:.2f} |"
        )
    print(f"\n| news, {SPREAD_SIZE} VMs, {TRIALS} trials | store | median ms | worst ms |")
    print("| --- | --- | --- | --- |")
    for kind in ("configuration", "withdrawal"):
        for store in ("healthy", "slow", "down"):
            took = run_virtual(async_measure_spread(kind, store))
            print(f"| {kind} | {store} | {statistics.median(took):.0f} | {max(took)} |")
    measure_document()


if __name__ == "__main__":
    main()
