"""One version of the configuration, as every daemon holds it."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.blackboard import SectionKey
from goldcreststair.upstreams.models import Upstream


@dataclass(frozen=True, slots=True)
class Customer:
    """One customer and its limits over the whole fleet."""

    name: str
    rate_per_s: float
    """Requests a second, over all VMs together."""
    burst: int
    """Requests that may come at once on top of the rate."""
    weight: float = 1.0
    """Share among customers when upstreams are short."""


@dataclass(frozen=True, slots=True)
class ServiceRoute:
    """One call of a plain service."""

    service: str
    method: str
    path: str
    repeatable: bool
    """Whether running it twice does no harm."""


@dataclass(frozen=True, slots=True)
class Objective:
    """One service-level objective of one customer (`*` for all)."""

    name: str
    customer: str
    threshold_ms: int
    """A request is good if its first token came within this time."""
    target: float
    """Fraction of requests that shall be good, as 0.95."""
    window_s: int = 2_592_000


@dataclass(frozen=True, slots=True)
class Configuration:
    """Everything operators decide."""

    version: int = 0
    """0 stands for none seen yet."""
    customers: Mapping[str, Customer] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    """SHA-256 of a key, in hex, to the customer's name; only keys not withdrawn."""
    withdrawn: frozenset[str] = frozenset()
    """SHA-256 of withdrawn keys; only grows."""
    upstreams: Mapping[str, Upstream] = field(default_factory=dict)
    leaving_upstreams: frozenset[str] = frozenset()
    """Names of upstreams that operators take out of service."""
    leaving_vms: frozenset[str] = frozenset()
    """Addresses of VMs that operators take out of service."""
    routes: tuple[ServiceRoute, ...] = ()
    objectives: tuple[Objective, ...] = ()
    models: Mapping[str, str] = field(default_factory=dict)
    """Model name to its wanted version."""


CONFIGURATION: Final = SectionKey[Configuration]("configuration")
