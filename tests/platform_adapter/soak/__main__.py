"""`script/soak --seed N --seconds S`: exit status 1 if a promise was broken."""

import asyncio
import contextlib
import copy
import logging
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import orjson
from cyclopts import App

from goldcreststair.clock import BootClock
from goldcreststair.store.rows import RowKey
from standins.crash_rules import read_begun_share
from standins.rows import FakeRowStore
from tests.platform_adapter.busy import async_keep_busy
from tests.platform_adapter.local import CONFIG, register
from tests.platform_adapter.ports import find_port
from tests.platform_adapter.soak.callers import PAUSES_MS, Caller, async_read_jobs
from tests.platform_adapter.soak.checker import (
    STABLE_S,
    Violation,
    find_violations,
    join_crash_record,
    make_touch_check,
)
from tests.platform_adapter.soak.crash_callers import CrashCaller
from tests.platform_adapter.soak.daemons import Daemon, DaemonPlan
from tests.platform_adapter.soak.engine import CRASH_PARTS, SoakEngine
from tests.platform_adapter.soak.excuses import count_in_leaves, list_unanswered
from tests.platform_adapter.soak.faults import (
    FRONT_PROXY,
    SOFTWARE_VERSIONS,
    STORE_PROXY,
    Fault,
    FaultInjector,
    PlannedEvacuation,
    PlannedUpgrade,
    plan_evacuations,
    plan_faults,
    plan_upgrades,
)
from tests.platform_adapter.soak.leaves import (
    SHORT_PAUSES_MS,
    LeavePlan,
    LeaveRunner,
    plan_leaves,
)
from tests.platform_adapter.soak.proxy import Proxy
from tests.platform_adapter.soak.record import Evacuation, Lifetime, Record
from tests.platform_adapter.soak.removed_customer import RemovedCustomer
from tests.platform_adapter.wire_store import WireStore

app = App(help="Run gateway daemons as processes under seeded connection faults and signals.")

DAEMONS: Final = 3
SEEDS: Final = 2
ENGINES: Final = 6
REGISTRATION_S: Final = 0.05
"""Time from which a restarted upstream accepts requests until its new entry is written."""
STARTING_VERSIONS: Final = 2
"""Software versions of the upstreams at the start; upgrades bring others."""
CALLERS: Final = 20
STAYING_CALLERS: Final = 15
"""Callers that return to a daemon that leaves, as long as it accepts connections."""
UPSTREAM_WEIGHT: Final = 3
"""How many times more faults a proxy before an upstream gets than any other proxy."""
CRASHED_S: Final = 2.5
"""How long an upstream is down after it crashed under a prompt part."""
FOREIGN_SHARE: Final = 0.3
"""When entries of another writer come, as a share of the soak."""
FOREIGN_LATER_S: Final = 3_600.0
"""How much later than now their upstreams claim to have started: later than any restart."""
REMOVED_SHARE: Final = 0.1
"""When a customer submits jobs and is removed, as a share of the soak."""
LISTED_WITHIN_S: Final = 30.0
"""How long accepted items may take to be listed after the last fault."""


@dataclass(slots=True)
class Site:
    """Daemons, upstreams and a store, with a proxy on every path between them and from callers."""

    folder: Path
    size: int = DAEMONS
    record: Record = field(default_factory=Record)
    store: WireStore = field(default_factory=lambda: WireStore(FakeRowStore(BootClock())))
    engines: list[SoakEngine] = field(default_factory=list)
    daemons: list[Daemon] = field(default_factory=list)
    proxies: list[Proxy] = field(default_factory=list)
    config: dict[str, Any] = field(default_factory=lambda: copy.deepcopy(CONFIG))
    _restarts: set[asyncio.Task[None]] = field(default_factory=set)

    async def async_start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        self.store.start()
        self.put_config()
        for number in range(ENGINES):
            await self._async_add_engine(f"i-{number}")
        peer_port = find_port()
        for address in self._list_addresses():
            await self._async_add_daemon(address, peer_port)
        await asyncio.gather(*(daemon.async_start() for daemon in self.daemons))
        self.record.began_at = time.monotonic()

    async def async_close(self) -> None:
        """Stop everything."""
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*(daemon.async_close() for daemon in self.daemons))
        for proxy in self.proxies:
            proxy.close()
        for engine in self.engines:
            await engine.async_close()
        self.store.stop()

    def configure(self) -> None:
        """Put the next version of the configuration in force, with a route more."""
        number = self.config["version"] + 1
        added = self.config["routes"][0] | {"name": f"r-{number}"}
        self.config["routes"].append(added | {"prefix": f"/added-{number}/"})
        self.put_config()

    def put_config(self) -> None:
        """Put the present document in force, as its next version."""
        self.config["version"] += 1
        self.store.store.put(RowKey("op", "", "config"), orjson.dumps(self.config))

    async def async_evacuate(self, planned: Sequence[PlannedEvacuation]) -> None:
        """Evacuate one data centre after the other, as operators do."""
        started_at = time.monotonic()
        for each in planned:
            await asyncio.sleep(max(0.0, started_at + each.at_s - time.monotonic()))
            number = each.target % len(self.engines)
            row = RowKey("op", "", f"evacuate/{_name_zone(number)}")
            self.store.store.put(row, b"{}")
            evacuation = Evacuation(self.engines[number].name, time.monotonic())
            self.record.evacuations.append(evacuation)
            await asyncio.sleep(each.lasts_s)
            evacuation.until = time.monotonic()
            self.store.store.drop(row)

    async def async_write_foreign_entries(self, after_s: float) -> None:
        """Write entries of another writer, which stay: for each upstream one at its address, and one that is no entry."""
        await asyncio.sleep(after_s)
        for engine in self.engines:
            entry = {
                "service": "audit-agent",
                "address": engine.address,
                "zone": _name_zone(0),
                "version": "v9",
                "slots": 8,
                "cold_left_ms": 0,
                "state": "ready",
                "sequence": 1,
                "born": round((time.time() + FOREIGN_LATER_S) * 1000),
            }
            key = RowKey("servers", "", f"agent-{engine.name}")
            self.store.store.put(key, orjson.dumps(entry))
            self.store.store.put(RowKey("servers", "", f"log-{engine.name}"), b"\xff")
            self.record.foreign_entries += 2

    async def async_upgrade(self, planned: Sequence[PlannedUpgrade]) -> None:
        """Restart upstreams under their names, with other software; several may be down together."""
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for each in planned:
                await asyncio.sleep(max(0.0, started_at + each.at_s - time.monotonic()))
                tasks.create_task(self._async_upgrade(each))

    async def _async_upgrade(self, planned: PlannedUpgrade) -> None:
        number = planned.target % len(self.engines)
        if not self.engines[number].down:
            await self._async_restart(number, planned.lasts_s, planned.software)

    def _restart_crashed(self, engine: SoakEngine) -> None:
        """Start an upstream again that crashed under a prompt part."""
        number = self.engines.index(engine)
        restart = self._async_restart(number, CRASHED_S, engine.software)
        task = asyncio.create_task(restart)
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _async_restart(self, number: int, down_s: float, software: str) -> None:
        engine, proxy = self.engines[number], self.proxies[number]
        if engine.down:
            return
        life = self._find_lifetime(engine.name)
        life.until = min(life.until, time.monotonic())
        engine.crash()
        proxy.refuse()
        try:
            await asyncio.sleep(down_s)
        finally:
            # It accepts requests before it is registered, as an upstream that starts does.
            engine.software, engine.down = software, False
            await proxy.async_accept()
            await asyncio.sleep(REGISTRATION_S)
            # It may have crashed again; its next restart registers it.
            if not engine.down:
                self._register(number)

    def _register(self, number: int) -> None:
        engine = self.engines[number]
        born = round(time.time() * 1000)
        register(self.store, engine, zone=_name_zone(number), version=engine.software, born=born)
        lifetime = Lifetime(engine.name, engine.software, time.monotonic())
        self.record.lifetimes.append(lifetime)

    def _find_lifetime(self, upstream: str) -> Lifetime:
        return next(life for life in reversed(self.record.lifetimes) if life.upstream == upstream)

    def _list_addresses(self) -> list[str]:
        # Connections of the proxies begin at 127.0.0.1 and may take the port of a daemon that is down.
        return [f"127.0.0.{number + 2}" for number in range(self.size)]

    async def _async_add_engine(self, name: str) -> None:
        number = len(self.engines)
        software = SOFTWARE_VERSIONS[number % STARTING_VERSIONS]
        engine = SoakEngine(
            name,
            runs=self.record.runs,
            refusals=self.record.refusals,
            broken_off=self.record.broken_off,
            failed=self.record.failed,
            software=software,
            crash_record=self.record.crash,
            on_crash=self._restart_crashed,
        )
        await engine.async_start()
        proxy = await self._async_add_proxy(name, engine.address, records=True)
        engine.address = proxy.address
        self.engines.append(engine)
        self._register(number)

    async def _async_add_daemon(self, address: str, peer_port: int) -> None:
        store = await self._async_add_proxy(f"{STORE_PROXY}{address}", self.store.address)
        plan = DaemonPlan(
            address,
            find_port(address),
            find_port(address),
            peer_port,
            store.address,
            tuple(self._list_addresses()[:SEEDS]),
        )
        front = await self._async_add_proxy(f"{FRONT_PROXY}{address}", plan.front)
        self.daemons.append(Daemon(plan, front, self.record, self.folder / f"{address}.log"))

    async def _async_add_proxy(self, name: str, target: str, records: bool = False) -> Proxy:
        proxy = Proxy(name, target, self.record.attempts if records else [])
        await proxy.async_start()
        self.proxies.append(proxy)
        return proxy


def _name_zone(number: int) -> str:
    return f"dc-{'abcdef'[number % ENGINES]}"


@contextlib.asynccontextmanager
async def async_open_site(folder: Path, size: int) -> AsyncIterator[Site]:
    """Start a site; it is stopped in any case."""
    site = Site(folder, size)
    try:
        await site.async_start()
        yield site
    finally:
        await site.async_close()


async def async_soak(
    seed: int,
    seconds: float,
    folder: Path,
    pauses_ms: Sequence[int] = PAUSES_MS,
    size: int = DAEMONS,
    leaves: LeavePlan | None = None,
) -> tuple[Record, list[Fault]]:
    """Run the faults of a seed, and planned leaves; returns the observations and the faults."""
    chooser = random.Random(seed)
    leaves = leaves or LeavePlan()
    faults = [] if leaves.is_calm else plan_faults(seed, seconds)
    async with async_open_site(folder, size) as site:
        for engine in site.engines:
            engine.fails = True
        proxies = site.proxies[:ENGINES] * UPSTREAM_WEIGHT + site.proxies[ENGINES:]
        injector = FaultInjector(site.daemons, site.engines, proxies, chooser, site.record)
        leaving = LeaveRunner(site.daemons, site.engines, site.proxies, site.record, site.configure)
        ended = asyncio.Event()
        callers = [
            Caller(f"c{n}", site.daemons, site.record, random.Random(f"{seed}-{n}"), pauses_ms)
            for n in range(CALLERS)
        ]
        if leaves.steps:
            callers += make_staying_callers(seed, site, pauses_ms)
        part = CRASH_PARTS[seed % len(CRASH_PARTS)]
        crashing = CrashCaller(part, site.daemons, site.record, random.Random(f"crash {seed}"))
        removed = RemovedCustomer(site, random.Random(f"removed {seed}"), kills=not leaves.is_calm)
        async with async_keep_busy(leaves.busy_processes), asyncio.TaskGroup() as tasks:
            if not leaves.is_calm:
                tasks.create_task(crashing.async_run(ended))
            for caller in callers:
                tasks.create_task(caller.async_run(ended))
            planned = [
                tasks.create_task(site.async_evacuate(plan_evacuations(seed, seconds))),
                tasks.create_task(
                    site.async_upgrade([] if leaves.is_calm else plan_upgrades(seed, seconds))
                ),
                tasks.create_task(removed.async_submit_and_remove(seconds * REMOVED_SHARE)),
                tasks.create_task(site.async_write_foreign_entries(seconds * FOREIGN_SHARE)),
            ]
            await asyncio.gather(injector.async_run(faults), leaving.async_run(leaves.steps))
            ended.set()
            for each in planned:
                each.cancel()
        until = time.monotonic() + LISTED_WITHIN_S
        await async_read_jobs(site.daemons, site.record, until, tuple(site.record.accepted))
        await removed.async_return(LISTED_WITHIN_S)
    return site.record, faults


def make_staying_callers(seed: int, site: Site, pauses_ms: Sequence[int]) -> list[Caller]:
    """Return callers that stay at one daemon each and send and read in various manners."""
    choosers = [random.Random(f"staying {seed}-{n}") for n in range(STAYING_CALLERS)]
    manners = [random.Random(f"manners {seed}-{n}") for n in range(STAYING_CALLERS)]
    return [
        Caller(
            f"s{n}",
            site.daemons,
            site.record,
            choosers[n],
            pauses_ms,
            manners[n],
            site.daemons[n % len(site.daemons)],
        )
        for n in range(STAYING_CALLERS)
    ]


def print_report(record: Record, faults: list[Fault], violations: list[Violation]) -> None:
    """Print a summary of the faults, the observations and the broken promises."""
    print(f"faults: {dict(Counter(fault.kind.value for fault in faults))}")
    print(f"answers: {dict(Counter((x.route, x.status, x.whole) for x in record.exchanges))}")
    print(f"sent or cut in a leave, by s after SIGTERM: {count_in_leaves(record)}")
    excuses = Counter(str(excuse) for _, _, excuse in list_unanswered(record))
    print(f"without a whole answer: {dict(excuses)}")
    print(f"runs: {len(record.runs)}, items: {len(record.accepted)}")
    print(f"broken off in the first event: {len(record.broken_off)}")
    print(f"failed after they had begun: {len(record.failed)}")
    print(f"items of a removed customer: {len(record.removed_items)}")
    print(f"evacuations: {len(record.evacuations)}, upgrades: {len(record.lifetimes) - ENGINES}")
    crash = join_crash_record(record)
    print(f"crashes by part: {dict(Counter(each.part for each in crash.crashes))}")
    print(f"requests with such parts: sent {len(crash.sent)}, at upstreams {len(crash.arrivals)}")
    shares = read_begun_share(crash, STABLE_S, make_touch_check(record))
    print(f"sound requests beside them that began, of all: {shares}")
    resumed = Counter((x.status, bool(x.body)) for x in record.exchanges if x.begun_as)
    print(f"taken up, by status and whether it went on: {dict(resumed)}")
    for violation in violations:
        print(f"BROKEN {violation.promise}: {violation.subject}: {violation.detail}")


@app.default
def main(
    seed: int = 1, seconds: float = 30.0, daemons: int = DAEMONS, *, leaves: bool = True
) -> None:
    """Run a seed, print a summary, and exit with status 1 if a promise was broken.

    Without `leaves`, a seed has only its overlapping faults.
    """
    # The stand-in store's server would log every connection that a fault broke.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
    print(f"seed {seed}, {seconds} s, {daemons} daemons, logs in {folder}")
    plan = plan_leaves(seed, seconds) if leaves else LeavePlan()
    pauses_ms = SHORT_PAUSES_MS if plan.is_short else PAUSES_MS
    record, faults = asyncio.run(async_soak(seed, seconds, folder, pauses_ms, daemons, plan))
    print(f"leaves: calm {plan.is_calm}, short {plan.is_short}, busy {plan.busy_processes}")
    print(f"steps: {dict(Counter(step.kind.value for step in plan.steps))}")
    violations = find_violations(record)
    print_report(record, faults, violations)
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    app()
