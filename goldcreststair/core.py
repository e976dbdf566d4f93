"""The core passed to every component: settings, clock, blackboard, platform and the other components."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    # The gateway daemon uses only the registry of this module, and has to start quickly.
    from tornado.routing import Rule

    from goldcreststair.blackboard import Blackboard
    from goldcreststair.client_limits.controller import ClientBudget
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
    """The typed name under which a component is registered for the others."""

    name: str


class Component(Protocol):
    """A part of a daemon; components are started in order and closed in reverse."""

    async def async_start(self) -> None:
        """Start the component's tasks and listeners."""

    async def async_close(self) -> None:
        """Stop them and release all resources; safe to call twice."""


class PassiveComponent:
    """A component without tasks of its own."""

    async def async_start(self) -> None:
        """Do nothing."""

    async def async_close(self) -> None:
        """Do nothing."""


class Drainable(Protocol):
    """Work that a graceful shutdown waits for."""

    async def async_drain(self, deadline_ms: int) -> None:
        """Start no new work; return when running work has ended, or at the deadline.

        The deadline is a time on the core's clock, ms.
        """


class ComponentRegistry:
    """Components by key, for those that are set up after them."""

    def __init__(self) -> None:
        """Create an empty registry."""
        self._components: dict[str, Any] = {}

    def offer(self, key: ComponentKey[T], component: T) -> None:
        """Register a component for those set up after it."""
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
    clients: ClientBudget
    transport: PeerTransport
    session_id: str
    """Identifies this run of the daemon; never reused after a restart, and replaced if it expired."""
    http_port: int = 0
    """The bound HTTP port, set before components are set up."""
    peer_port: int = 0
    """The bound peer port, set once the peers component is set up."""
    drainables: list[Drainable] = field(default_factory=list)
    """Work that a graceful shutdown waits for; drained in reverse order of registration.

    The first one (the ledger) is drained last, and part of the time is reserved for it.
    """
    routes: list[Rule] = field(default_factory=list)
    """HTTP routes that components add while they are set up."""
    _components: dict[str, Any] = field(default_factory=dict)
