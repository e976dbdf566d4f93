"""Several daemons' control components in one process, on a fake network and platform."""

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
from goldcreststair.platform.protocols import Platform
from goldcreststair.settings import Settings
from goldcreststair.statistics import NullStatistics
from standins.engine.client import FakeUpstreams
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

    @property
    def members(self) -> Members:
        """Return the fleet as this daemon sees it."""
        return self.core.blackboard.read(MEMBERS)

    async def async_close(self) -> None:
        """Stop in an orderly way."""
        for component in reversed(self.components):
            await component.async_close()


@dataclass(slots=True)
class FakeDaemons:
    """A fleet; all daemons share one platform and one network."""

    clock: Clock
    platform: FakePlatform
    network: FakeNetwork
    setups: Sequence[Setup] = CONTROL
    running: list[FakeDaemon] = field(default_factory=list)
    _started: int = 0

    async def async_add(self, platform: Platform | None = None) -> FakeDaemon:
        """Start one more daemon, on a platform of its own if one is given."""
        self._started += 1
        number = self._started
        address = f"10.0.{number // 250}.{number % 250 + 1}"
        core = Core(
            settings=Settings(
                address, f"dc{number % 3}", "http://10.9.9.9:1", "token", peer_port=PEER_PORT
            ),
            clock=self.clock,
            random=random.Random(number),
            blackboard=Blackboard(),
            journal=Journal(self.clock),
            statistics=NullStatistics(),
            platform=platform or self.platform.as_platform(),
            upstreams=FakeUpstreams(self.clock).as_clients(),
            transport=self.network.join(address),
            session_id=f"{number:016x}",
            http_port=8080,
        )
        components = [await setup(core) for setup in self.setups]
        for component in components:
            await component.async_start()
        daemon = FakeDaemon(core, components, address)
        self.running.append(daemon)
        return daemon

    async def async_add_many(self, count: int) -> list[FakeDaemon]:
        """Start several daemons one after another."""
        return [await self.async_add() for _ in range(count)]

    async def async_wait(
        self, condition: Callable[[], bool], limit_ms: int, step_ms: int = 10
    ) -> int:
        """Wait until the condition holds; returns the time it took, or raises `TimeoutError`."""
        began = self.clock.now()
        while not condition():
            if self.clock.now() - began > limit_ms:
                raise TimeoutError(f"not within {limit_ms} ms")
            await self.clock.async_sleep(step_ms)
        return self.clock.now() - began

    def isolate(self, daemon: FakeDaemon) -> None:
        """Cut a daemon from all others; the store is reached by other ways."""
        for other in self.running:
            if other is not daemon:
                self.network.cut(daemon.address, other.address)

    async def async_close(self) -> None:
        """Stop all daemons."""
        await asyncio.gather(*(daemon.async_close() for daemon in self.running))
        self.running.clear()
