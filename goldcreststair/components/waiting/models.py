"""Waiting requests, the capacity that they wait for, and why one is refused."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.clock import Millis
from goldcreststair.components.placement.models import PlacementQuery


class RefusalReason(StrEnum):
    """Why a request does not wait, or no longer."""

    FULL = "full"
    """Too many requests wait."""
    BYTES = "bytes"
    """The bodies of the waiting requests are too large together."""
    LATE = "late"
    """No slot becomes free in time."""


@dataclass(frozen=True, slots=True)
class WaitingRequest:
    """A request that waits for a slot."""

    number: int
    """Identifies it; later requests have higher numbers."""
    query: PlacementQuery
    rank: int
    """0 is served first."""
    customer: str
    """Empty on a route that needs no key."""
    weight: float
    """Of the customer, relative to others."""
    start: float
    """Its virtual start time in weighted fair queueing."""
    due_at: Millis
    """When its first event has to be sent."""
    size: int
    """Bytes of its body."""


@dataclass(frozen=True, slots=True)
class Evicted:
    """A request that left the queue without a slot."""

    request: WaitingRequest
    reason: RefusalReason


@dataclass(frozen=True, slots=True)
class Capacity:
    """How fast the upstreams of a service become free, as known to this daemon."""

    slots: int
    """Of all upstreams that are neither down nor ejected."""
    run_ms: float
    first_ms: float
    """Time from a free slot to the first event."""
    queued_ms: float = 0.0
    """Wait at an upstream for a request that is the only one beyond its slots."""

    @property
    def slot_interval_ms(self) -> float:
        """Time between two slots that become free anywhere, while all are in use."""
        return self.run_ms / max(1, self.slots)
