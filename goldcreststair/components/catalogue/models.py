"""One version of what operators decide: routes, services, customers and their keys."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from goldcreststair.blackboard import SectionKey


class CallKind(StrEnum):
    """What may be done with the requests of a route."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""
    NON_IDEMPOTENT = "non_idempotent"
    """Runs at most once."""
    STREAMING = "streaming"
    """Answers with a series of events; runs at most once unless the route can be resumed."""
    BATCH = "batch"
    """Takes jobs of many requests that run later."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that run a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class BatchTerms:
    """What holds for the jobs of a batch route."""

    due_ms: int
    """All results are due so long after a job was first sent."""
    max_wait_ms: int
    """An item may be given up so long after its job was first sent."""
    max_waiting_tokens: int
    """Tokens of one customer's unfinished items, over all VMs; 0 for no limit."""


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests of one host and path prefix go, and on which terms."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_ms: int
    """A caller is kept waiting no longer than this."""
    objective_ms: int
    """Time to the answer, or to a stream's first event, that callers count as good."""
    max_attempts: int
    """Upstreams to which one request may be sent."""
    resumable: bool = False
    """Whether a stream may go on at another upstream after its last event."""
    anonymous: bool = False
    """Whether requests need no key."""
    gap_objective_ms: int = 0
    """Longest pause between two events that callers count as good; 0 if none is set."""
    affinity: bool = False
    """Whether requests share parts of prompts that upstreams cache."""
    priority: int = 0
    """0 is the most urgent."""
    batch: BatchTerms | None = None
    regions: frozenset[str] = frozenset()
    """Where its requests may be handled; empty for everywhere."""

    @property
    def repeatable(self) -> bool:
        """Whether a request may be run again, from the start or after its last event."""
        if self.kind is CallKind.STREAMING:
            return self.resumable
        return self.kind is not CallKind.NON_IDEMPOTENT


@dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that run the same requests."""

    name: str
    max_connections: int
    """Connections that one of its upstreams accepts, from all callers together."""
    slots: int = 0
    """Requests that one of its upstreams runs at once; 0 if unknown."""
    kv_tokens: int = 0
    """Tokens that one of its upstreams keeps in memory; 0 if unknown."""
    cold_per_s: float = 0.0
    """Requests a second that one of its upstreams bears while it is cold; 0 for no bound."""
    cold_start_ms: int = 0
    """How long one of its upstreams is cold after its start."""


@dataclass(frozen=True, slots=True)
class CatalogueCustomer:
    """One customer and its quota over the whole fleet."""

    name: str
    rate_per_s: float = 0.0
    """Requests a second; 0 for no limit."""
    burst: float = 0.0
    """Requests that may come at once on top of the rate."""
    priority: int | None = None
    """Goes before the priority of a route; None if the customer has none."""
    regions: frozenset[str] = frozenset()
    """Where its requests may be handled; empty for everywhere."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One version, complete."""

    version: int = 0
    """0 stands for none seen yet."""
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    customers: Mapping[str, CatalogueCustomer] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    """SHA-256 of each key in force, in hex, to its customer's name."""
    limits: CallerLimits = field(default_factory=CallerLimits)
    by_host: Mapping[str, Mapping[str, Route]] = field(default_factory=dict)
    """Host in lower case to its routes by prefix."""

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
        routes = self.by_host.get(host.lower())
        if not routes:
            return None
        end = len(path)
        # One look-up for each slash of the path: a host may have thousands of routes.
        while (end := path.rfind("/", 0, end)) >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
        return None


def index_routes(routes: tuple[Route, ...]) -> Mapping[str, Mapping[str, Route]]:
    """Return routes by host and prefix."""
    by_host: dict[str, dict[str, Route]] = {}
    for route in routes:
        by_host.setdefault(route.host.lower(), {})[route.prefix] = route
    return by_host


CATALOGUE: Final = SectionKey[Catalogue]("catalogue")
