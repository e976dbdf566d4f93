"""Outcomes of requests at upstreams, and changes of an upstream's state."""

from dataclasses import dataclass
from enum import StrEnum


class OutlierState(StrEnum):
    """Whether an upstream gets requests."""

    CLOSED = "closed"
    """It gets its full share."""
    EJECTED = "ejected"
    """It gets none."""
    HALF_OPEN = "half_open"
    """It gets trial requests of a few daemons."""


class EjectionReason(StrEnum):
    """Why an upstream is ejected."""

    SHARE = "share"
    """It failed more requests than the other upstreams of its service."""
    ROW = "row"
    """It failed consecutive requests of this daemon, or a trial request."""
    SLOW = "slow"
    """At least half of its failures at this daemon are late first events."""


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Successes and failures at one upstream within the window."""

    succeeded: int = 0
    failed: int = 0

    def __bool__(self) -> bool:
        """Return whether there is any outcome."""
        return bool(self.succeeded or self.failed)

    def __add__(self, other: "Outcomes") -> "Outcomes":
        """Return the sums."""
        return Outcomes(self.succeeded + other.succeeded, self.failed + other.failed)

    def subtract(self, other: "Outcomes") -> "Outcomes":
        """Return the differences, at least 0."""
        succeeded, failed = self.succeeded - other.succeeded, self.failed - other.failed
        return Outcomes(max(0, succeeded), max(0, failed))

    def limit(self, other: "Outcomes") -> "Outcomes":
        """Return the smaller of each figure."""
        return Outcomes(min(self.succeeded, other.succeeded), min(self.failed, other.failed))

    @property
    def share(self) -> float:
        """Share of failures; 0 without outcomes."""
        return self.failed / (self.succeeded + self.failed) if self.failed else 0.0


NO_OUTCOMES = Outcomes()


@dataclass(frozen=True, slots=True)
class OutlierChange:
    """A change of an upstream's state, for the log and the metrics."""

    upstream: str
    state: OutlierState
    outcomes: Outcomes = NO_OUTCOMES
    """Outcomes of all daemons that led to an ejection."""
    others_share: float = 0.0
    """Failure share of the service's other upstreams."""
    reason: EjectionReason | None = None
    duration_ms: int = 0
    """Length of the ejection."""
