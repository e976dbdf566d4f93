"""Results of one run of the overload measurement."""

from dataclasses import dataclass, field
from typing import Final

REQUEST_WORTH: Final = 3.8
"""Worth of a request answered in time."""
ITEM_WORTH: Final = 23.0
"""Worth of an item finished in time."""
LATE_SHARE: Final = 0.15
"""Worth of a late answer, as a share of the worth of an answer in time."""
LATE_ITEM_SHARE: Final = 0.1
"""Worth of a late item, as a share of the worth of an item in time."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """How one call ended."""

    request_id: str
    answer: str
    """`whole`, `accepted`, a refusal's code, `broken`, or `none` if the VM was lost."""
    asked_at: int
    ended_at: int
    event_times: tuple[int, ...] = ()


@dataclass(frozen=True, slots=True)
class Listed:
    """Number of results of a job that were in the store at a time."""

    at: int
    job: str
    count: int


@dataclass(frozen=True, slots=True, order=True)
class Came:
    """An arrival at the fleet: a request, a job or a fault."""

    at_ms: int
    """Milliseconds since the start of the load."""
    name: str
    events: tuple[int, ...] = ()
    """Number of events of each item, if it is a job."""


@dataclass(slots=True)
class Figures:
    """Counts, times and histories of one run."""

    requests: int = 0
    in_time: int = 0
    late: int = 0
    items: int = 0
    items_in_time: int = 0
    items_late: int = 0
    events_made: int = 0
    """Events of items that engines produced."""
    events_kept: int = 0
    """Events of items that are part of stored results."""
    events_repeated: int = 0
    """Events of items that engines produced beyond those of one whole answer."""
    items_wrong: int = 0
    """Results of items that are listed already, or whose text is not whole and in order."""
    firsts_ms: list[int] = field(default_factory=list)
    """Milliseconds from each answered request to its first event."""
    came: list[Came] = field(default_factory=list)
    """All arrivals, in order of time."""
    outcomes: list[Outcome] = field(default_factory=list)
    """Outcomes of all calls, in the order in which they ended."""
    listed: list[Listed] = field(default_factory=list)
    """Changes of the number of results of all jobs, in order of time."""
    ran: dict[str, list[str]] = field(default_factory=dict)
    """All runs by engine, in the order in which they started."""

    @property
    def online_worth(self) -> float:
        """Earned share of the worth of all requests."""
        return (self.in_time + LATE_SHARE * self.late) / max(1, self.requests)

    @property
    def batch_worth(self) -> float:
        """Earned share of the worth of all items."""
        return (self.items_in_time + LATE_ITEM_SHARE * self.items_late) / max(1, self.items)

    @property
    def worth(self) -> float:
        """Earned share of the worth of all requests and items."""
        online_total, batch_total = self.requests * REQUEST_WORTH, self.items * ITEM_WORTH
        earned = self.online_worth * online_total + self.batch_worth * batch_total
        return earned / max(1.0, online_total + batch_total)

    @property
    def wasted(self) -> float:
        """Share of the items' produced events that are in no stored result."""
        return 1 - self.events_kept / max(1, self.events_made)

    def read_first_ms(self, share: float) -> int:
        """Return a percentile of the times to the first event, in ms; `share` is from 0 to 1."""
        ranked = sorted(self.firsts_ms) or [0]
        return ranked[min(len(ranked) - 1, int(share * len(ranked)))]
