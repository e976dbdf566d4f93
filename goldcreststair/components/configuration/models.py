"""Configuration as every daemon holds it in memory."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.upstreams.models import Upstream


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer and its limits, which apply to the whole fleet together."""

    name: str
    rate_per_s: float
    """Requests per second, over all VMs together."""
    burst: int
    """Requests that may arrive at once in addition to the rate."""
    weight: float = 1.0
    """Relative share among customers when upstreams have too little capacity."""


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """One route of a service, by method and path."""

    service: str
    method: str
    path: str
    repeatable: bool
    """Whether the call may run twice without harm."""


@dataclass(frozen=True, slots=True)
class Objective:
    """One service-level objective of one customer (`*` for all)."""

    name: str
    customer: str
    threshold_ms: int
    """A request is good if its first token arrives within this time."""
    target: float
    """Fraction of requests that have to be good, such as 0.95."""
    window_s: int = 2_592_000


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of all settings that operators decide."""

    version: int = 0
    """0 if none was received yet."""
    customers: Mapping[str, Customer] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    """Customer's name by the SHA-256 of its key in hex, without withdrawn keys."""
    withdrawn: frozenset[str] = frozenset()
    """SHA-256 of withdrawn keys in hex; no key is ever removed from it."""
    upstreams: Mapping[str, Upstream] = field(default_factory=dict)
    leaving_upstreams: frozenset[str] = frozenset()
    """Names of upstreams that operators take out of service."""
    leaving_vms: frozenset[str] = frozenset()
    """Addresses of VMs that operators take out of service."""
    routes: tuple[ServiceRoute, ...] = ()
    objectives: tuple[Objective, ...] = ()
    models: Mapping[str, str] = field(default_factory=dict)
    """Desired version of each model, by its name."""


CONFIGURATION: Final = SectionKey[Configuration]("configuration")
