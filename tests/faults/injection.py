"""Faults of the brief, each done to the VM that stands at the step."""

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
"""Longer than the 30 s after which a silent session is expired."""
OUTAGE_MS: Final = 60_000
SLOW_MS: Final = 2_000
LINK_MS: Final = 20_000
SILENCE_MS: Final = 10_000
END_MARKER_MS: Final = 2_000
LAG_MS: Final = 30_000
EXPIRY_MS: Final = 45_000
"""A lost VM is expired and its partitions are owned by others so long after."""
RECOVERY_MS: Final = 15_000
"""How long the fleet has to recover once all faults have ended."""

Fault = Callable[["Scene", FakeDaemon], None]


class Scene:
    """One fleet with the faults that a cell does to it."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self._tasks: list[asyncio.Task[Any]] = []
        self._healing: list[asyncio.Task[Any]] = []
        self.resend: Callable[[int], Coroutine[Any, Any, Any]] | None = None
        """Sends the path's own request again, to a VM by number."""
        self.fired: list[str] = []
        self.patched: list[bool] = []
        self._armed: list[tuple[Step, Fault, int]] = []

    def arm(self, step: Step, fault: Fault) -> None:
        """Let a fault come at a step; a second one waits until the first has come."""
        self._armed.append((step, fault, 0))
        self.fleet.on_effect = self._note

    def _note(self, effect: Effect) -> None:
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
        """Run something of the outside world."""
        self._tasks.append(outside(work))

    def later(self, delay_ms: int, callback: Callable[[], None]) -> None:
        """Heal later."""

        async def async_heal() -> None:
            await self.fleet.clock.async_sleep(delay_ms)
            callback()

        self._healing.append(outside(async_heal()))

    def find_other(self, daemon: FakeDaemon) -> int:
        """Return the number of a live VM other than this one, if there is any."""
        fleet = self.fleet
        live = [n for n, other in enumerate(fleet.daemons.running) if not fleet.is_lost(other)]
        others = [number for number in live if fleet.daemons.running[number] is not daemon]
        return (others or live)[0]

    async def async_recover(self) -> None:
        """Wait until all faults have ended and the fleet had time to recover."""
        await self.fleet.clock.async_sleep(RECOVERY_MS)
        while self._healing:
            healing, self._healing = self._healing, []
            await asyncio.wait(healing)
            await self.fleet.clock.async_sleep(RECOVERY_MS)

    async def async_finish(self) -> None:
        """Wait for all work of the outside world."""
        while self._tasks:
            await self._tasks.pop(0)


def outside(work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Run a coroutine as nobody's task, also from within a daemon's."""
    return asyncio.get_running_loop().create_task(work, context=contextvars.Context())


def kill_vm(scene: Scene, daemon: FakeDaemon) -> None:
    """Lose a VM with all that it holds."""
    assert daemon.gate is not None
    scene.fleet.killed.add(daemon.address)
    daemon.gate.lose()
    scene.fleet.daemons.isolate(daemon)
    scene.fleet.network.stop_listening(daemon.address)
    scene.later(EXPIRY_MS, lambda: None)


def pause_vm(scene: Scene, daemon: FakeDaemon) -> None:
    """Stop a VM until others hold it for gone, then let it go on."""
    assert daemon.gate is not None
    daemon.gate.pause()
    scene.later(PAUSE_MS, daemon.gate.resume)


def stop_store(scene: Scene, _: FakeDaemon) -> None:
    """Let the store refuse everything for a minute."""
    faults = scene.fleet.platform.faults
    faults.down = True
    scene.later(OUTAGE_MS, lambda: setattr(faults, "down", False))


def slow_store(scene: Scene, _: FakeDaemon) -> None:
    """Let each call of the store take 2 s."""
    faults = scene.fleet.platform.faults
    faults.slow_ms = SLOW_MS
    scene.later(OUTAGE_MS, lambda: setattr(faults, "slow_ms", 0))


def lose_store_answer(scene: Scene, _: FakeDaemon) -> None:
    """Lose the answers of the next two writes after their effect."""
    scene.fleet.platform.faults.lose_answers = 2


def crash_engines(scene: Scene, _: FakeDaemon) -> None:
    """Crash the engines with all that runs there."""
    for engine in scene.fleet.upstreams.engines.values():
        engine.crash()


def silence_engines(scene: Scene, _: FakeDaemon) -> None:
    """Let open streams send nothing more, while new ones work."""
    for engine in scene.fleet.upstreams.engines.values():
        engine.faults.silent = True
    scene.later(SILENCE_MS, lambda: _set_engines(scene, silent=False))


def cross_answer(scene: Scene, _: FakeDaemon) -> None:
    """Let each engine answer the next request under another's id."""
    _set_engines(scene, cross_answers=True)


def drop_end_marker(scene: Scene, _: FakeDaemon) -> None:
    """Let streams end without their end marker."""
    _set_engines(scene, drop_end=True)
    scene.later(END_MARKER_MS, lambda: _set_engines(scene, drop_end=False))


def _set_engines(scene: Scene, **faults: bool) -> None:
    for engine in scene.fleet.upstreams.engines.values():
        for name, value in faults.items():
            setattr(engine.faults, name, value)


def lose_service_answer(scene: Scene, _: FakeDaemon) -> None:
    """Lose the next answer of each plain service after its effect."""
    for service in scene.fleet.upstreams.services.values():
        service.lose_answers = 1


def silence_links(scene: Scene, daemon: FakeDaemon) -> None:
    """Let the open links of a VM carry nothing more, while new ones work."""
    for other in scene.fleet.daemons.running:
        if other is not daemon:
            scene.fleet.network.silence(daemon.address, other.address)


def cut_links(scene: Scene, daemon: FakeDaemon) -> None:
    """Break the links of a VM for a while."""
    scene.fleet.daemons.isolate(daemon)
    scene.later(LINK_MS, lambda: _heal_links(scene))


def _heal_links(scene: Scene) -> None:
    fleet = scene.fleet
    fleet.network.clear_cuts()
    for daemon in fleet.daemons.running:
        if fleet.is_lost(daemon):
            fleet.daemons.isolate(daemon)


def leave_vm(scene: Scene, daemon: FakeDaemon) -> None:
    """Take a VM out for maintenance, while the list of VMs lags."""
    fleet = scene.fleet
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

    scene.spawn(async_go())


def lag_list(scene: Scene, _: FakeDaemon) -> None:
    """Let the list of VMs lag."""
    scene.fleet.platform.faults.list_lag_ms = LAG_MS


def resend(scene: Scene, daemon: FakeDaemon) -> None:
    """Let the caller send the same request to another VM at the same time."""
    if scene.resend is not None:
        scene.spawn(scene.resend(scene.find_other(daemon)))


def race_operators(scene: Scene, daemon: FakeDaemon) -> None:
    """Let two operators patch the same version at two VMs."""
    fleet = scene.fleet
    base = daemon.core.get(CONFIGURATION_FOLLOWER).version

    async def async_patch(number: int, name: str) -> None:
        follower = fleet.daemons.running[number].core.get(CONFIGURATION_FOLLOWER)
        patch = {"models": {name: "1"}}
        patched = await fleet.async_as_caller(
            number, lambda _: follower.async_patch(base, name, patch)
        )
        scene.patched.append(patched is not None and patched.is_ok())

    live = [n for n, d in enumerate(fleet.daemons.running) if not fleet.is_lost(d)]
    for number, name in zip(live[-2:], ("left", "right"), strict=False):
        scene.spawn(async_patch(number, name))


def send_poison(scene: Scene, daemon: FakeDaemon) -> None:
    """Let one caller send a request that crashes each engine that runs it, and send it again."""
    fleet = scene.fleet
    for engine in fleet.upstreams.engines.values():
        engine.faults.crash_marker = POISON

    async def async_send() -> None:
        for attempt in range(3):
            vm = scene.find_other(daemon)
            await fleet.async_generate(vm, f"poison{attempt}", POISON, customer="busy")
            await fleet.clock.async_sleep(1000)

    scene.spawn(async_send())


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
