"""Questions to placement and its answers."""

from dataclasses import dataclass

from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """What a request needs of its upstream."""

    service: str
    excluded: frozenset[str] = frozenset()
    """Names of upstreams that it is not placed at."""
    affinity: str = ""
    """Names the beginning of its prompt; empty if nothing is cached for it."""
    regions: Regions = None
    """Where its upstream may stand."""


@dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes, and when it may be expected to begin."""

    upstream: UpstreamEntry
    wait_ms: float
    """Expected wait for a slot."""
    first_ms: float
    """Expected time from a free slot to the first event."""
    runs_there: int = 0
    """Runs of all daemons there, as far as this one knows."""

    @property
    def expected_ms(self) -> float:
        """Expected time to the first event."""
        return self.wait_ms + self.first_ms


@dataclass(frozen=True, slots=True)
class NoUpstreamAvailable(GoldcreststairError):
    """No upstream can take the request now."""

    known: bool = True
    """False if the service has no upstream at all."""
    retry_after_ms: int = 0


@dataclass(frozen=True, slots=True)
class RunTimes:
    """What runs at the upstreams of one service take; learned."""

    run_ms: float
    first_ms: float
