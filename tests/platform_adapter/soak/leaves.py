"""Seeded leaves of daemons, and what happens around them."""

import asyncio
import random
import signal
import time
from collections.abc import Awaitable, Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from tests.platform_adapter.soak.daemons import Daemon
from tests.platform_adapter.soak.engine import SoakEngine
from tests.platform_adapter.soak.faults import STORE_PROXY
from tests.platform_adapter.soak.proxy import Proxy
from tests.platform_adapter.soak.record import Absence, Record

FIRST_S: Final = (1.5, 3.0)
"""Shortest and longest time until the first leave."""
PAUSE_S: Final = (3.0, 8.0)
"""Shortest and longest time between the beginnings of two leaves."""
CALM_SHARE: Final = 0.5
"""Share of seeds whose leaves are not disturbed by other faults."""
SHORT_SHARE: Final = 0.6
"""Share of seeds whose answers are short as long as no upstream becomes slower."""
SHORT_PAUSES_MS: Final = (0, 5, 10, 25)
BUSY_SHARE: Final = 0.2
BUSY_PROCESSES: Final = 4
SLOWER: Final = (4.0, 10.0, 10.0, 20.0)


class StepKind(StrEnum):
    """What happens at one moment of a leave."""

    STOP = "stop"
    STOP_AGAIN = "stop again"
    STOP_AT_START = "stop at start"
    RELOAD = "reload"
    SLOW = "slow"
    STORE_AWAY = "store away"
    CONFIGURE = "configure"


SHARES: Final = {
    StepKind.STOP: 0.3,
    StepKind.STOP_AGAIN: 0.3,
    StepKind.STOP_AT_START: 0.25,
    StepKind.RELOAD: 0.4,
    StepKind.SLOW: 0.8,
    StepKind.STORE_AWAY: 0.25,
    StepKind.CONFIGURE: 0.4,
}
"""How many leaves have each kind of step; `STOP` is that of another daemon."""
MOMENTS_S: Final = {
    StepKind.STOP: (0.0, 1.5),
    StepKind.STOP_AGAIN: (0.0, 6.0),
    StepKind.STOP_AT_START: (0.0, 0.0),
    StepKind.RELOAD: (-1.0, 6.0),
    StepKind.SLOW: (0.0, 4.5),
    StepKind.STORE_AWAY: (-1.0, 2.0),
    StepKind.CONFIGURE: (-1.0, 3.0),
}
"""Earliest and latest moment of each kind of step, from the first SIGTERM."""
LASTS_S: Final = {
    StepKind.STOP_AT_START: (0.0, 1.5),
    StepKind.SLOW: (2.0, 6.0),
    StepKind.STORE_AWAY: (0.5, 4.0),
}
"""Shortest and longest step; of `STOP_AT_START`, the time from the start of the process."""


@dataclass(frozen=True, slots=True)
class Step:
    """One step of a leave; `target` is an index, modulo the daemons or upstreams."""

    at_s: float
    kind: StepKind
    target: int
    lasts_s: float = 0.0
    factor: float = 1.0
    """How many times slower upstreams become."""
    share: float = 1.0
    """Share of the upstreams that become slower."""


@dataclass(frozen=True, slots=True)
class LeavePlan:
    """The leaves of one seed and the conditions in which they take place."""

    steps: tuple[Step, ...] = ()
    """All steps, the earliest first; times count from the beginning of the soak."""
    is_calm: bool = False
    is_short: bool = False
    busy_processes: int = 0


def plan_leaves(seed: int, seconds: float) -> LeavePlan:
    """Return the leaves of a seed; they do not change its other faults.

    >>> plan_leaves(1, 12) == plan_leaves(1, 12) != plan_leaves(2, 12)
    True
    """
    chooser = random.Random(f"leaves {seed}")
    is_calm, is_short = chooser.random() < CALM_SHARE, chooser.random() < SHORT_SHARE
    busy = BUSY_PROCESSES if chooser.random() < BUSY_SHARE else 0
    at_s, steps = chooser.uniform(*FIRST_S), list[Step]()
    while at_s < seconds:
        steps += _plan_leave(chooser, at_s)
        at_s += chooser.uniform(*PAUSE_S)
    return LeavePlan(tuple(sorted(steps, key=lambda step: step.at_s)), is_calm, is_short, busy)


def _plan_leave(chooser: random.Random, at_s: float) -> Iterator[Step]:
    target = chooser.randrange(1 << 16)
    restarts = 0.0
    if chooser.random() < SHARES[StepKind.STOP_AT_START]:
        restarts = chooser.uniform(*LASTS_S[StepKind.STOP_AT_START])
    kind = StepKind.STOP_AT_START if restarts else StepKind.STOP
    yield Step(at_s, kind, target, restarts)
    for kind in StepKind:
        if kind is StepKind.STOP_AT_START or chooser.random() >= SHARES[kind]:
            continue
        for _ in range(chooser.choice((1, 1, 2))):
            moment_s = at_s + chooser.uniform(*MOMENTS_S[kind])
            lasts_s = chooser.uniform(*LASTS_S.get(kind, (0.0, 0.0)))
            other = target + 1 if kind is StepKind.STOP else target
            factor, share = chooser.choice(SLOWER), chooser.choice((0.5, 1.0))
            yield Step(moment_s, kind, other, lasts_s, factor, share)


@dataclass(slots=True)
class LeaveRunner:
    """Carries out planned leaves."""

    daemons: Sequence[Daemon]
    engines: Sequence[SoakEngine]
    proxies: Sequence[Proxy]
    record: Record
    configure: Callable[[], None]
    """Puts another configuration in force."""

    async def async_run(self, steps: Sequence[Step]) -> None:
        """Carry out all steps and return when the last one is over."""
        started_at = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for step in steps:
                await asyncio.sleep(started_at + step.at_s - time.monotonic())
                tasks.create_task(self._async_carry_out(step))

    async def _async_carry_out(self, step: Step) -> None:
        handlers: dict[StepKind, Callable[[Step], Awaitable[None]]] = {
            StepKind.STOP: self._async_stop,
            StepKind.STOP_AGAIN: self._async_repeat,
            StepKind.STOP_AT_START: self._async_stop,
            StepKind.RELOAD: self._async_reload,
            StepKind.SLOW: self._async_slow,
            StepKind.STORE_AWAY: self._async_hold_store,
            StepKind.CONFIGURE: self._async_configure,
        }
        await handlers[step.kind](step)

    def _find_daemon(self, step: Step) -> Daemon:
        return self.daemons[step.target % len(self.daemons)]

    async def _async_stop(self, step: Step) -> None:
        daemon = self._find_daemon(step)
        if not daemon.busy:
            await daemon.async_stop(step.lasts_s)

    async def _async_repeat(self, step: Step) -> None:
        # Not recorded: the grace period counts from the first SIGTERM.
        daemon = self._find_daemon(step)
        if daemon.leaving:
            daemon.repeat(signal.SIGTERM)

    async def _async_reload(self, step: Step) -> None:
        daemon = self._find_daemon(step)
        if daemon.leaving or not daemon.busy:
            daemon.repeat(signal.SIGHUP)

    async def _async_slow(self, step: Step) -> None:
        count = max(1, round(len(self.engines) * step.share))
        slowed = [self.engines[(step.target + n) % len(self.engines)] for n in range(count)]
        for engine in slowed:
            engine.slowness *= step.factor
        await asyncio.sleep(step.lasts_s)
        for engine in slowed:
            engine.slowness /= step.factor

    async def _async_hold_store(self, step: Step) -> None:
        daemon = self._find_daemon(step)
        proxy = next(each for each in self.proxies if each.name == f"{STORE_PROXY}{daemon.name}")
        now = time.monotonic()
        self.record.store_faults.append(Absence(daemon.name, now, now + step.lasts_s))
        links = proxy.list_open()
        for link in links:
            link.hold(True, True)
        await asyncio.sleep(step.lasts_s)
        for link in links:
            link.release()

    async def _async_configure(self, step: Step) -> None:
        self.configure()
