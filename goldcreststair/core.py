"""What every component is given: settings, clock, blackboard, platform and its fellow components."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    # The gateway daemon uses only the registry, and has to start quickly.
    from tornado.routing import Rule

    from goldcreststair.blackboard import Blackboard
    from goldcreststair.clock import Clock
    from goldcreststair.journal import Journal
    from goldcreststair.settings import Settings
    from goldcreststair.statistics import Statistics
    from goldcreststair.store.protocols import Platform
    from goldcreststair.transport import PeerTransport
    from goldcreststair.upstreams.protocols import UpstreamClients

T = TypeVar("T")


@dataclass(frozen=True)
class ComponentKey(Generic[T]):
    """The typed name under which a component offers itself to the others."""

    name: str


class Component(Protocol):
    """A part with an explicit start and close; started in order, closed in reverse."""

    async def async_start(self) -> None:
        """Begin work."""

    async def async_close(self) -> None:
        """End work and release everything; safe to call twice."""


class PassiveComponent:
    """A component that runs nothing of its own."""

    async def async_start(self) -> None:
        """Do nothing."""

    async def async_close(self) -> None:
        """Do nothing."""


class Drainable(Protocol):
    """Work that a graceful shutdown waits for."""

    async def async_drain(self, deadline_ms: int) -> None:
        """Take no new work of its own and return when the rest has ended, or at the deadline.

        The deadline is a point on the core's clock.
        """


class ComponentRegistry:
    """What components offer to those that are set up after them."""

    def __init__(self) -> None:
        """Start without components."""
        self._components: dict[str, Any] = {}

    def offer(self, key: ComponentKey[T], component: T) -> None:
        """Make a component known to those set up after it."""
        self._components[key.name] = component

    def get(self, key: ComponentKey[T]) -> T:
        """Return a component set up earlier; raises `KeyError` if there is none."""
        component: T = self._components[key.name]
        return component

    def find(self, key: ComponentKey[T]) -> T | None:
        """Return a component, or None if it is not part of this daemon."""
        component: T | None = self._components.get(key.name)
        return component


@dataclass(slots=True)
class Core(ComponentRegistry):
    """The shared core of one daemon."""

    settings: Settings
    clock: Clock
    random: random.Random
    blackboard: Blackboard
    journal: Journal
    statistics: Statistics
    platform: Platform
    upstreams: UpstreamClients
    transport: PeerTransport
    session_id: str
    """Names this run of the daemon, never used again after a restart; changes if it expired."""
    http_port: int = 0
    """The port really bound, known before components are set up."""
    peer_port: int = 0
    """The peer port really bound, known once the peers component is set up."""
    drainables: list[Drainable] = field(default_factory=list)
    """What must come to its end in a graceful shutdown; drained in reverse order of registration.

    The first one (the ledger) comes last, and a part of the time is kept back for it.
    """
    routes: list[Rule] = field(default_factory=list)
    """HTTP routes that components add while they are set up."""
    _components: dict[str, Any] = field(default_factory=dict)
