"""Placement queries and their results."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class PlacementQuery:
    """Requirements of a request on its upstream."""

    service: str
    excluded: frozenset[str] = frozenset()
    """Names of upstreams that must not be chosen."""
    affinity: str = ""
    """Identifies the prompt prefix, for cache affinity; empty if the prefix is not cached."""
    regions: Regions = None
    """Regions in which the upstream may be; None for all."""
    software_version: str | None = None
    """Software version of the upstream, for a request that continues what this version began; None for
    any."""
    is_retry: bool = False
    """Whether an upstream may have run the request before; retries go to no ejected upstream."""
    prefers_idle: bool = False
    """Whether the upstream with the fewest runs is best, as the request may crash it."""
    may_try: bool = True
    """Whether the request could run elsewhere if it failed, so that it may be sent as a trial request
    to a half-open upstream."""


@dataclass(frozen=True, slots=True)
class Placement:
    """The chosen upstream, and when the first event is expected."""

    upstream: UpstreamEntry
    wait_ms: float
    """Expected wait for a slot."""
    first_ms: float
    """Expected time from a free slot to the first event."""
    runs_there: int = 0
    """Runs of all daemons at the upstream, as known to this one."""
    factor: float = 1.0
    """How much longer than usual work takes there; part of both times."""

    @property
    def expected_ms(self) -> float:
        """Expected time to the first event."""
        return self.wait_ms + self.first_ms


@dataclass(frozen=True, slots=True)
class NoUpstreamAvailable(GoldcreststairError):
    """No upstream can accept the request now."""

    known: bool = True
    """False if the service has no upstream at all."""
    retry_after_ms: int = 0


class RunOutcome(StrEnum):
    """What the end of a run shows about its upstream."""

    SUCCESS = "success"
    """A whole answer, or one that says that the request is at fault."""
    FAILED = "failed"
    """No connection, a server error, an incomplete or foreign answer, or silence."""
    REFUSED = "refused"
    """It refused the request as not run, for lack of capacity."""
    ABORTED = "aborted"
    """This daemon or the caller ended the run."""


@dataclass(frozen=True, slots=True)
class RunTimes:
    """Moving averages of the measured times of runs of one service."""

    run_ms: float
    """Duration of a run."""
    first_ms: float
    """Time from the start of a run to its first event."""
