"""Seeded, overlapping series of faults, and their injection."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from tests.platform_adapter.soak.daemons import Daemon
from tests.platform_adapter.soak.engine import SoakEngine
from tests.platform_adapter.soak.proxy import Link, Proxy
from tests.platform_adapter.soak.record import Absence, Record

SERIES: Final = 3
MEAN_PAUSE_S: Final = 1.0
SHORTEST_S: Final = 0.1
LONGEST_S: Final = 2.0
LONGEST_DELAY_S: Final = 0.3
EVACUATION_S: Final = (6.0, 12.0)
"""Shortest and longest evacuation: longer than all daemons may take to apply one."""
SOFTWARE_VERSIONS: Final = ("v1", "v2", "v3")
MEAN_UPGRADE_PAUSE_S: Final = 3.0
FRONT_PROXY: Final = "front-"
"""Prefix of the proxy between callers and a daemon, named after it."""
STORE_PROXY: Final = "store-"
"""Prefix of the proxy between a daemon, named after it, and the store."""
SHARE: Final = 0.5
"""Share of a proxy's open connections that a connection fault affects."""


class FaultKind(StrEnum):
    """Kind of a fault."""

    DELAY = "delay"
    RESET = "reset"
    HOLD_TO = "hold to"
    HOLD_FROM = "hold from"
    SILENCE = "silence"
    REFUSE = "refuse"
    STOP = "stop"
    KILL = "kill"
    PAUSE = "pause"


LINK_KINDS: Final = (
    FaultKind.DELAY,
    FaultKind.RESET,
    FaultKind.HOLD_TO,
    FaultKind.HOLD_FROM,
    FaultKind.SILENCE,
)
DAEMON_KINDS: Final = (FaultKind.STOP, FaultKind.STOP, FaultKind.KILL, FaultKind.PAUSE)
LINK_SHARE: Final = 0.75
REFUSE_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault of a series; `target` is an index, modulo the number of objects that its kind can affect."""

    at_s: float
    kind: FaultKind
    target: int
    lasts_s: float


def plan_faults(seed: int, seconds: float) -> list[Fault]:
    """Return the faults of a seed; the same seed gives the same faults.

    >>> plan_faults(1, 10) == plan_faults(1, 10) != plan_faults(2, 10)
    True
    """
    chooser = random.Random(seed)
    series = (list(_plan_series(chooser, seconds)) for _ in range(SERIES))
    return sorted((fault for faults in series for fault in faults), key=lambda fault: fault.at_s)


@dataclass(frozen=True, slots=True)
class PlannedEvacuation:
    """An evacuation of one data centre; `target` is an index, modulo the upstreams, one per data centre."""

    at_s: float
    target: int
    lasts_s: float


def plan_evacuations(seed: int, seconds: float) -> list[PlannedEvacuation]:
    """Return the evacuations of a seed, one after the other; they do not change its other faults.

    >>> plan_evacuations(1, 60) == plan_evacuations(1, 60) != plan_evacuations(2, 60)
    True
    """
    chooser, planned = random.Random(f"evacuations {seed}"), []
    at_s = chooser.uniform(0, MEAN_PAUSE_S)
    while at_s < seconds:
        lasts_s = chooser.uniform(*EVACUATION_S)
        planned.append(PlannedEvacuation(at_s, chooser.randrange(1 << 16), lasts_s))
        at_s += lasts_s + chooser.uniform(0, 2 * MEAN_PAUSE_S)
    return planned


@dataclass(frozen=True, slots=True)
class PlannedUpgrade:
    """A restart of an upstream under its name with other software; it is down for `lasts_s`."""

    at_s: float
    target: int
    lasts_s: float
    software: str


def plan_upgrades(seed: int, seconds: float) -> list[PlannedUpgrade]:
    """Return the upgrades of a seed; they do not change its other faults.

    >>> plan_upgrades(1, 60) == plan_upgrades(1, 60) != plan_upgrades(2, 60)
    True
    """
    chooser, planned = random.Random(f"upgrades {seed}"), []
    at_s = chooser.uniform(0, MEAN_UPGRADE_PAUSE_S)
    while at_s < seconds:
        lasts_s = chooser.uniform(SHORTEST_S, LONGEST_S)
        target, software = chooser.randrange(1 << 16), chooser.choice(SOFTWARE_VERSIONS)
        planned.append(PlannedUpgrade(at_s, target, lasts_s, software))
        at_s += chooser.uniform(0, 2 * MEAN_UPGRADE_PAUSE_S)
    return planned


def _plan_series(chooser: random.Random, seconds: float) -> Iterator[Fault]:
    at_s = chooser.uniform(0, MEAN_PAUSE_S)
    while at_s < seconds:
        share = chooser.random()
        kinds = LINK_KINDS if share < LINK_SHARE else DAEMON_KINDS
        kind = FaultKind.REFUSE if share < REFUSE_SHARE else chooser.choice(kinds)
        target = chooser.randrange(1 << 16)
        yield Fault(at_s, kind, target, chooser.uniform(SHORTEST_S, LONGEST_S))
        at_s += chooser.uniform(0, 2 * MEAN_PAUSE_S)


@dataclass(slots=True)
class FaultInjector:
    """Injects planned faults."""

    daemons: Sequence[Daemon]
    engines: Sequence[SoakEngine]
    proxies: Sequence[Proxy]
    chooser: random.Random
    record: Record

    async def async_run(self, faults: Sequence[Fault]) -> None:
        """Inject all faults and return when the last one is over."""
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for fault in faults:
                await asyncio.sleep(started_at + fault.at_s - time.monotonic())
                tasks.create_task(self._async_inject(fault))

    async def _async_inject(self, fault: Fault) -> None:
        handlers: dict[FaultKind, Callable[[Fault], Awaitable[None]]] = {
            FaultKind.DELAY: self._async_delay,
            FaultKind.RESET: self._async_reset,
            FaultKind.REFUSE: self._async_refuse,
        }
        if fault.kind in handlers:
            await handlers[fault.kind](fault)
        elif fault.kind in DAEMON_KINDS:
            await self._async_signal(fault)
        else:
            await self._async_hold(fault)

    async def _async_signal(self, fault: Fault) -> None:
        daemon = self.daemons[fault.target % len(self.daemons)]
        if daemon.busy:
            return
        if fault.kind is FaultKind.STOP:
            await daemon.async_stop()
        elif fault.kind is FaultKind.KILL:
            await daemon.async_kill(fault.lasts_s)
        else:
            await daemon.async_pause(fault.lasts_s)

    async def _async_refuse(self, fault: Fault) -> None:
        engine = self.engines[fault.target % len(self.engines)]
        engine.refuses = True
        await asyncio.sleep(fault.lasts_s)
        engine.refuses = False

    async def _async_delay(self, fault: Fault) -> None:
        self._record_store_fault(fault)
        proxy = self._find_proxy(fault)
        delay = Absence(proxy.name.removeprefix(FRONT_PROXY), time.monotonic())
        if proxy.name.startswith(FRONT_PROXY):
            self.record.caller_delays.append(delay)
        proxy.delay_s = fault.lasts_s / LONGEST_S * LONGEST_DELAY_S
        await asyncio.sleep(fault.lasts_s)
        proxy.delay_s = 0.0
        delay.until = time.monotonic() + LONGEST_DELAY_S

    async def _async_reset(self, fault: Fault) -> None:
        self._record_store_fault(fault)
        for link in self._choose_links(fault):
            link.reset()

    async def _async_hold(self, fault: Fault) -> None:
        self._record_store_fault(fault)
        links = self._choose_links(fault)
        for link in links:
            link.hold(fault.kind is not FaultKind.HOLD_FROM, fault.kind is not FaultKind.HOLD_TO)
        await asyncio.sleep(fault.lasts_s)
        for link in links:
            link.release()

    def _record_store_fault(self, fault: Fault) -> None:
        """Record a fault on a daemon's connections to the store."""
        daemon = self._find_proxy(fault).name.removeprefix(STORE_PROXY)
        if any(each.name == daemon for each in self.daemons):
            now = time.monotonic()
            self.record.store_faults.append(Absence(daemon, now, now + fault.lasts_s))

    def _find_proxy(self, fault: Fault) -> Proxy:
        return self.proxies[fault.target % len(self.proxies)]

    def _choose_links(self, fault: Fault) -> list[Link]:
        links = self._find_proxy(fault).list_open()
        return [link for link in links if self.chooser.random() < SHARE]
