"""What one play of the measure of overloads came to."""

from dataclasses import dataclass, field
from typing import Final

REQUEST_WORTH: Final = 3.8
ITEM_WORTH: Final = 23.0
LATE_SHARE: Final = 0.15
"""What a late answer is worth of one in time."""
LATE_ITEM_SHARE: Final = 0.1


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one call came to."""

    request_id: str
    answer: str
    """`whole`, `accepted`, a refusal's code, `broken` or `none`."""
    asked_at: int
    ended_at: int
    event_times: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Listed:
    """How many results of a job were listed at a time."""

    at: int
    job: str
    count: int


@dataclass(frozen=True, slots=True, order=True)
class Came:
    """What came to the fleet: a caller or a fault."""

    at_ms: int
    """From the load's begin."""
    name: str
    events: tuple[int, ...] = ()
    """Of each item, if it is a job."""


@dataclass(slots=True)
class Figures:
    """What one play came to."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    items: int = 0
    items_in_time: int = 0
    items_late: int = 0
    events_made: int = 0
    """Events of items that engines made."""
    events_kept: int = 0
    """Those that stand in results."""
    firsts_ms: list[int] = field(default_factory=list)
    came: list[Came] = field(default_factory=list)
    """All that came, in the order of time."""
    outcomes: list[Outcome] = field(default_factory=list)
    """Of all calls, in the order of their ends."""
    listed: list[Listed] = field(default_factory=list)
    """Of all jobs, in the order of time."""
    ran: dict[str, list[str]] = field(default_factory=dict)
    """By engine, all runs in the order of their begin."""

    @property
    def online_worth(self) -> float:
        """Share of the online worth that was earned."""
        return (self.in_time + LATE_SHARE * self.late) / max(1, self.requests)

    @property
    def batch_worth(self) -> float:
        """Share of the batch worth that was earned."""
        return (self.items_in_time + LATE_ITEM_SHARE * self.items_late) / max(1, self.items)

    @property
    def worth(self) -> float:
        """Share of all worth that was earned."""
        online, batch = self.requests * REQUEST_WORTH, self.items * ITEM_WORTH
        earned = self.online_worth * online + self.batch_worth * batch
        return earned / max(1.0, online + batch)

    @property
    def wasted(self) -> float:
        """Share of the items' events that were made in vain."""
        return 1 - self.events_kept / max(1, self.events_made)

    def read_first_ms(self, share: float) -> int:
        """Return a percentile of the times to the first event."""
        ranked = sorted(self.firsts_ms) or [0]
        return ranked[min(len(ranked) - 1, int(share * len(ranked)))]
