"""A version of the catalogue: routes, services, customers and their keys, as set by operators."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from goldcreststair.blackboard import SectionKey


class CallKind(StrEnum):
    """How the requests of a route may be run."""

    IDEMPOTENT = "idempotent"
    """May run more than once."""
    NON_IDEMPOTENT = "non_idempotent"
    """Runs at most once."""
    STREAMING = "streaming"
    """Answers with a series of events; runs at most once unless the route can be resumed."""
    BATCH = "batch"
    """Accepts jobs of many requests that run later."""


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One of the services that run a route's requests."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class BatchTerms:
    """Deadlines and limits of the jobs of a batch route."""

    due_ms: int
    """Time from the first submission of a job until all its results are due."""
    max_wait_ms: int
    """Time from the first submission of a job after which its items may be given up."""
    max_waiting_tokens: int
    """Maximum tokens of one customer's unfinished items, over all VMs; 0 for no limit."""


@dataclass(frozen=True, slots=True)
class Route:
    """The services, timeouts and limits for the requests of one host and path prefix."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    kind: CallKind
    services: tuple[WeightedService, ...]
    timeout_ms: int
    """Longest time that a caller is kept waiting."""
    objective_ms: int
    """Objective for the time to the answer, or to the first event of a stream."""
    max_attempts: int
    """Maximum number of upstreams to which one request may be sent."""
    resumable: bool = False
    """Whether a stream may be resumed at another upstream after its last event."""
    anonymous: bool = False
    """Whether requests need no key."""
    gap_objective_ms: int = 0
    """Objective for the longest pause between two events; 0 if none is set."""
    affinity: bool = False
    """Whether requests share prompt prefixes that upstreams cache."""
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
    """A group of upstreams that serve the same requests."""

    name: str
    max_connections: int
    """Connections that one upstream accepts from all callers together."""
    slots: int = 0
    """Requests that one upstream runs concurrently; 0 if unknown."""
    kv_tokens: int = 0
    """Tokens that the KV cache of one upstream holds; 0 if unknown."""
    cold_per_s: float = 0.0
    """Requests per second that one upstream tolerates while it is cold; 0 for no limit."""
    cold_start_ms: int = 0
    """How long an upstream is cold after its start."""


@dataclass(frozen=True, slots=True)
class CatalogueCustomer:
    """A customer and its quota across the whole fleet."""

    name: str
    rate_per_s: float = 0.0
    """Requests per second; 0 for no limit."""
    burst: float = 0.0
    """Requests that may arrive at once on top of the rate."""
    priority: int | None = None
    """Overrides the priority of the route; None if the customer has none."""
    regions: frozenset[str] = frozenset()
    """Where its requests may be handled; empty for everywhere."""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's request."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


@dataclass(frozen=True, slots=True)
class Catalogue:
    """One complete version of the catalogue."""

    version: int = 0
    """0 if no version has been received."""
    routes: tuple[Route, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    customers: Mapping[str, CatalogueCustomer] = field(default_factory=dict)
    keys: Mapping[str, str] = field(default_factory=dict)
    """Name of the customer by SHA-256 of each valid key, in hex."""
    limits: CallerLimits = field(default_factory=CallerLimits)
    by_host: Mapping[str, Mapping[str, Route]] = field(default_factory=dict)
    """Routes by lower-case host, then by prefix."""

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of the path, or None."""
        routes = self.by_host.get(host.lower())
        if not routes:
            return None
        end = len(path)
        # One lookup per slash in the path: a host may have thousands of routes.
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
