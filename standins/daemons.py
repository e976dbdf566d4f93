"""Control components of several daemons in one process, on a fake network and platform."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.blackboard import Blackboard
from goldcreststair.clock import Clock
from goldcreststair.components import configuration, keys, listing, membership, peers
from goldcreststair.components.membership.models import MEMBERS, Members
from goldcreststair.core import Component, Core
from goldcreststair.journal import Journal
from goldcreststair.settings import DEFAULT_PARTITIONS, Settings
from goldcreststair.statistics import NullStatistics
from goldcreststair.store.protocols import Platform
from standins.budgets import make_budget
from standins.engine.client import FakeUpstreams
from standins.gate import GatedClock, GatedTransport, VmGate, gate_platform, gate_upstreams
from standins.network import FakeNetwork
from standins.platform.store import FakePlatform

Setup = Callable[[Core], Awaitable[Component]]

CONTROL: Final[tuple[Setup, ...]] = (
    peers.async_setup,
    membership.async_setup,
    configuration.async_setup,
    keys.async_setup,
    listing.async_setup,
)
PEER_PORT: Final = 8081


@dataclass(slots=True)
class FakeDaemon:
    """One daemon's core and its running components."""

    core: Core
    components: list[Component]
    address: str
    gate: VmGate | None = None
    """Gate of its effects, if the fleet is gated."""

    @property
    def members(self) -> Members:
        """Return this daemon's view of the fleet."""
        return self.core.blackboard.read(MEMBERS)

    async def async_start(self, setups: Sequence[Setup]) -> None:
        """Set up all components, then start them."""
        self.components += [await setup(self.core) for setup in setups]
        for component in self.components:
            await component.async_start()

    async def async_close(self) -> None:
        """Stop the components in reverse order."""
        for component in reversed(self.components):
            await component.async_close()


@dataclass(slots=True)
class FakeDaemons:
    """A fleet whose daemons share one platform and one network."""

    clock: Clock
    platform: FakePlatform
    network: FakeNetwork
    setups: Sequence[Setup] = CONTROL
    running: list[FakeDaemon] = field(default_factory=list)
    upstreams: FakeUpstreams | None = None
    """Upstreams shared by all daemons; without them a daemon has none to call."""
    partitions: int = DEFAULT_PARTITIONS
    gated: bool = False
    """Whether daemons can be paused and lost; requires `track_tasks` on the loop."""
    _started: int = 0

    async def async_add(self, platform: Platform | None = None) -> FakeDaemon:
        """Start one more daemon, on `platform` or on the shared one."""
        self._started += 1
        number = self._started
        address = f"10.0.{number // 250}.{number % 250 + 1}"
        core = self._make_core(number, address, platform or self.platform.as_platform())
        gate = self._add_gate(core) if self.gated else None
        daemon = FakeDaemon(core, [], address, gate)
        starting = daemon.async_start(self.setups)
        await (gate.spawn(starting) if gate else starting)
        self.running.append(daemon)
        return daemon

    def _make_core(self, number: int, address: str, platform: Platform) -> Core:
        settings = Settings(
            address,
            f"dc{number % 3}",
            "http://10.9.9.9:1",
            "token",
            peer_port=PEER_PORT,
            partitions=self.partitions,
        )
        upstreams = self.upstreams or FakeUpstreams(self.clock)
        return Core(
            settings=settings,
            clock=self.clock,
            random=random.Random(number),
            blackboard=Blackboard(),
            journal=Journal(self.clock),
            statistics=NullStatistics(),
            platform=platform,
            upstreams=upstreams.as_clients(),
            clients=make_budget(self.clock),
            transport=self.network.join(address),
            session_id=f"{number:016x}",
            http_port=8080,
        )

    def _add_gate(self, core: Core) -> VmGate:
        gate = VmGate(core.settings.address, self.clock)
        core.clock = GatedClock(gate, core.clock)
        core.platform = gate_platform(gate, core.platform)
        core.upstreams = gate_upstreams(gate, core.upstreams)
        core.transport = GatedTransport(gate, core.transport)
        return gate

    async def async_add_many(self, count: int) -> list[FakeDaemon]:
        """Start several daemons one after another."""
        return [await self.async_add() for _ in range(count)]

    async def async_wait(
        self, condition: Callable[[], bool], limit_ms: int, step_ms: int = 10
    ) -> int:
        """Wait until the condition holds; returns the duration in ms or raises `TimeoutError`."""
        started_at = self.clock.now()
        while not condition():
            if self.clock.now() - started_at > limit_ms:
                raise TimeoutError(f"not within {limit_ms} ms")
            await self.clock.async_sleep(step_ms)
        return self.clock.now() - started_at

    def isolate(self, daemon: FakeDaemon) -> None:
        """Cut the links between a daemon and all others; the store stays reachable."""
        for other in self.running:
            if other is not daemon:
                self.network.cut(daemon.address, other.address)

    async def async_close(self) -> None:
        """Stop all daemons."""
        await asyncio.gather(*(daemon.async_close() for daemon in self.running))
        self.running.clear()
