"""Faults, each applied to the VM that reaches the step."""

import asyncio
import contextvars
from collections.abc import Callable, Coroutine
from typing import Any, Final

from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.shutdown.models import SHUTDOWN_SERVICE, LeaveReason
from goldcreststair.store.models import ListedState
from standins.daemons import FakeDaemon
from standins.gate import Effect
from tests.faults.fleet import POISON, Fleet
from tests.faults.steps import Step

PAUSE_MS: Final = 45_000
"""Longer than the 30 s after which a session without heartbeat expires."""
OUTAGE_MS: Final = 60_000
SLOW_MS: Final = 2_000
LINK_MS: Final = 20_000
SILENCE_MS: Final = 10_000
END_MARKER_MS: Final = 2_000
LAG_MS: Final = 30_000
EXPIRY_MS: Final = 45_000
"""Time after which a lost VM has expired and others own its partitions."""
RECOVERY_MS: Final = 15_000
"""Time that the fleet has to recover after the end of all faults."""

Fault = Callable[["FaultScenario", FakeDaemon], None]


class FaultScenario:
    """A fleet and the faults that one cell of the matrix applies to it."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._tasks: list[asyncio.Task[Any]] = []
        self._repairs: list[asyncio.Task[Any]] = []
        self.resend: Callable[[int], Coroutine[Any, Any, Any]] | None = None
        """Sends the path's own request again to the VM of a number."""
        self.fired: list[str] = []
        self.patched: list[bool] = []
        self._armed: list[tuple[Step, Fault, int]] = []

    def arm(self, step: Step, fault: Fault) -> None:
        """Apply a fault at a step; a second one is armed only after the first was applied."""
        self._armed.append((step, fault, 0))
        self.fleet.on_effect = self._on_effect

    def _on_effect(self, effect: Effect) -> None:
        if not self._armed:
            return
        step, fault, seen = self._armed[0]
        if not step.matches(effect):
            return
        if seen + 1 < step.nth:
            self._armed[0] = (step, fault, seen + 1)
            return
        self._armed.pop(0)
        self.fired.append(step.name)
        daemon = next(d for d in self.fleet.daemons.running if d.address == effect.address)
        fault(self, daemon)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run work of the outside world as a task."""
        self._tasks.append(create_outside_task(work))

    def schedule_repair(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """End a fault by `callback` after `delay_ms`."""

        async def async_repair() -> None:
            await self.fleet.clock.async_sleep(delay_ms)
            callback()

        self._repairs.append(create_outside_task(async_repair()))

    def find_other(self, daemon: FakeDaemon) -> int:
        """Return the number of a live VM, another than this one if there is any."""
        fleet = self.fleet
        live = [n for n, other in enumerate(fleet.daemons.running) if not fleet.is_lost(other)]
        others = [number for number in live if fleet.daemons.running[number] is not daemon]
        return (others or live)[0]

    async def async_recover(self) -> None:
        """Wait until all faults have ended and the fleet has had time to recover."""
        await self.fleet.clock.async_sleep(RECOVERY_MS)
        while self._repairs:
            repairs, self._repairs = self._repairs, []
            await asyncio.wait(repairs)
            await self.fleet.clock.async_sleep(RECOVERY_MS)

    async def async_finish(self) -> None:
        """Wait for all work of the outside world."""
        while self._tasks:
            await self._tasks.pop(0)


def create_outside_task(work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Create a task that belongs to no daemon, even if called from a daemon's task."""
    return asyncio.get_running_loop().create_task(work, context=contextvars.Context())


def kill_vm(scenario: FaultScenario, daemon: FakeDaemon) -> None:
    """Kill a VM without any clean-up."""
    assert daemon.gate is not None
    scenario.fleet.killed.add(daemon.address)
    daemon.gate.lose()
    scenario.fleet.daemons.isolate(daemon)
    scenario.fleet.network.stop_listening(daemon.address)
    scenario.schedule_repair(EXPIRY_MS, lambda: None)


def pause_vm(scenario: FaultScenario, daemon: FakeDaemon) -> None:
    """Pause a VM until others consider it gone, then resume it."""
    assert daemon.gate is not None
    daemon.gate.pause()
    scenario.schedule_repair(PAUSE_MS, daemon.gate.resume)


def stop_store(scenario: FaultScenario, _: FakeDaemon) -> None:
    """Make the store refuse all calls for 60 s."""
    faults = scenario.fleet.platform.faults
    faults.down = True
    scenario.schedule_repair(OUTAGE_MS, lambda: setattr(faults, "down", False))


def slow_store(scenario: FaultScenario, _: FakeDaemon) -> None:
    """Make each call of the store take 2 s, for 60 s."""
    faults = scenario.fleet.platform.faults
    faults.slow_ms = SLOW_MS
    scenario.schedule_repair(OUTAGE_MS, lambda: setattr(faults, "slow_ms", 0))


def lose_store_answer(scenario: FaultScenario, _: FakeDaemon) -> None:
    """Lose the answers of the next two writes, which take effect."""
    scenario.fleet.platform.faults.lose_answers = 2


def crash_engines(scenario: FaultScenario, _: FakeDaemon) -> None:
    """Crash all engines with their runs."""
    for engine in scenario.fleet.upstreams.engines.values():
        engine.crash()


def silence_engines(scenario: FaultScenario, _: FakeDaemon) -> None:
    """Make open streams send nothing for a while; new streams work."""
    for engine in scenario.fleet.upstreams.engines.values():
        engine.faults.silent = True
    scenario.schedule_repair(SILENCE_MS, lambda: _set_engines(scenario, silent=False))


def cross_answer(scenario: FaultScenario, _: FakeDaemon) -> None:
    """Make each engine answer its next request under another request's id."""
    _set_engines(scenario, cross_answers=True)


def drop_end_marker(scenario: FaultScenario, _: FakeDaemon) -> None:
    """Make streams end without their end marker for a while."""
    _set_engines(scenario, drop_end=True)
    scenario.schedule_repair(END_MARKER_MS, lambda: _set_engines(scenario, drop_end=False))


def _set_engines(scenario: FaultScenario, **faults: bool) -> None:
    for engine in scenario.fleet.upstreams.engines.values():
        for name, value in faults.items():
            setattr(engine.faults, name, value)


def lose_service_answer(scenario: FaultScenario, _: FakeDaemon) -> None:
    """Lose the next answer of each plain service, whose call takes effect."""
    for service in scenario.fleet.upstreams.services.values():
        service.lose_answers = 1


def silence_links(scenario: FaultScenario, daemon: FakeDaemon) -> None:
    """Silence the open links of a VM; new links work."""
    for other in scenario.fleet.daemons.running:
        if other is not daemon:
            scenario.fleet.network.silence(daemon.address, other.address)


def cut_links(scenario: FaultScenario, daemon: FakeDaemon) -> None:
    """Cut the links of a VM for a while."""
    scenario.fleet.daemons.isolate(daemon)
    scenario.schedule_repair(LINK_MS, lambda: _restore_links(scenario))


def _restore_links(scenario: FaultScenario) -> None:
    fleet = scenario.fleet
    fleet.network.clear_cuts()
    for daemon in fleet.daemons.running:
        if fleet.is_lost(daemon):
            fleet.daemons.isolate(daemon)


def leave_vm(scenario: FaultScenario, daemon: FakeDaemon) -> None:
    """Take a VM out of service for maintenance while the list of VMs lags."""
    fleet = scenario.fleet
    fleet.platform.faults.list_lag_ms = LAG_MS
    fleet.listed[daemon.address] = ListedState.LEAVING
    fleet.publish_list()
    assert daemon.gate is not None
    gate = daemon.gate
    service = daemon.core.get(SHUTDOWN_SERVICE)

    async def async_leave() -> None:
        service.begin(LeaveReason.SIGNAL)
        await service.async_wait()
        await daemon.async_close()

    async def async_go() -> None:
        await asyncio.wait({gate.spawn(async_leave())})
        gate.lose()

    scenario.spawn(async_go())


def lag_list(scenario: FaultScenario, _: FakeDaemon) -> None:
    """Make the list of VMs lag."""
    scenario.fleet.platform.faults.list_lag_ms = LAG_MS


def resend(scenario: FaultScenario, daemon: FakeDaemon) -> None:
    """Send the same request to another VM at the same time."""
    if scenario.resend is not None:
        scenario.spawn(scenario.resend(scenario.find_other(daemon)))


def race_operators(scenario: FaultScenario, daemon: FakeDaemon) -> None:
    """Patch the same configuration version by two operators at two VMs."""
    fleet = scenario.fleet
    base = daemon.core.get(CONFIGURATION_FOLLOWER).version

    async def async_patch(number: int, name: str) -> None:
        follower = fleet.daemons.running[number].core.get(CONFIGURATION_FOLLOWER)
        patch = {"models": {name: "1"}}
        patched = await fleet.async_as_caller(
            number, lambda _: follower.async_patch(base, name, patch)
        )
        scenario.patched.append(patched is not None and patched.is_ok())

    live = [n for n, d in enumerate(fleet.daemons.running) if not fleet.is_lost(d)]
    for number, name in zip(live[-2:], ("left", "right"), strict=False):
        scenario.spawn(async_patch(number, name))


def send_poison(scenario: FaultScenario, daemon: FakeDaemon) -> None:
    """Send a request that crashes each engine that runs it, three times."""
    fleet = scenario.fleet
    for engine in fleet.upstreams.engines.values():
        engine.faults.crash_marker = POISON

    async def async_send() -> None:
        for attempt in range(3):
            vm = scenario.find_other(daemon)
            await fleet.async_generate(vm, f"poison{attempt}", POISON, customer="busy")
            await fleet.clock.async_sleep(1000)

    scenario.spawn(async_send())


VM_FAULTS: Final[dict[str, Fault]] = {
    "vm_killed": kill_vm,
    "vm_paused_past_its_lease": pause_vm,
    "store_down_60_s": stop_store,
    "store_slow_2_s": slow_store,
    "store_answer_lost": lose_store_answer,
    "links_silent": silence_links,
    "links_cut": cut_links,
    "vm_leaves_for_maintenance": leave_vm,
    "operators_race": race_operators,
}
ENGINE_FAULTS: Final[dict[str, Fault]] = {
    "engines_crash": crash_engines,
    "engine_streams_silent": silence_engines,
    "answer_crossed": cross_answer,
    "end_marker_missing": drop_end_marker,
    "poison_request": send_poison,
}
SERVICE_FAULTS: Final[dict[str, Fault]] = {"service_answer_lost": lose_service_answer}
CALLER_FAULTS: Final[dict[str, Fault]] = {"client_resends_elsewhere": resend}
LIST_FAULTS: Final[dict[str, Fault]] = {"vm_list_lags": lag_list}
