"""Request counts, burn rates and alarms."""

from dataclasses import dataclass
from enum import StrEnum


@dataclass(frozen=True, slots=True)
class Counts:
    """Number of requests that met an objective, and of all requests."""

    good: int = 0
    total: int = 0

    def __add__(self, other: "Counts") -> "Counts":
        """Return the sum."""
        return Counts(self.good + other.good, self.total + other.total)


class Alarm(StrEnum):
    """Urgency of a burn rate."""

    NONE = "none"
    TICKET = "ticket"
    PAGE = "page"


@dataclass(frozen=True, slots=True)
class WindowBurn:
    """Burn rate over one window; 1.0 spends the whole budget in the objective's own window."""

    window_s: int
    rate: float
    total: int


@dataclass(frozen=True, slots=True)
class Burn:
    """Error budget and burn rates of one customer for one objective."""

    customer: str
    objective: str
    threshold_ms: int
    target: float
    budget_left: float
    """Share of the error budget not yet spent; negative when overspent."""
    windows: tuple[WindowBurn, ...]
    alarm: Alarm
    p50_ms: int
    p95_ms: int
    p99_ms: int
