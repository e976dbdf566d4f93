"""How long an item still takes, learned from those that ended here or at other daemons; no I/O.

Load it answers: VMs that are replaced in turn or return all at once while jobs wait. A daemon that has
just started has seen no answer; a guess of its own made it count items as late that had three times the
time they needed, and they were never started. Learned from all daemons, they are started in time.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass
from typing import Final

from goldcreststair.components.jobs.registry import ItemProgress

DEFAULT_EVENT_MS: Final = 30.0
"""Time between two events, until runs have been seen."""
FIRST_EVENT_MS: Final = 60.0
"""Time to a run's first event."""
MIN_WEIGHT: Final = 0.1
"""Least weight of one more answer in both means: about the last ten count."""
MIN_REMAINING_EVENTS: Final = 5
"""An answer that is longer than usual is taken to end after so many more; so is one of a route whose
answers nobody has seen: whether it can be in time is not known, so that it may start."""
MAX_PACES: Final = 4
"""Routes whose paces a beacon carries, those learned last: 20 bytes each."""


@dataclass(frozen=True, slots=True)
class Pace:
    """What the answers of one route's items are like."""

    events_per_token: float
    """Events of an answer for each token that its request may take."""
    event_ms: float
    """Time between two events."""


class WorkEstimate:
    """Learns, by route, the length of answers against their requests' tokens, and the pace of events."""

    def __init__(self) -> None:
        """Know nothing."""
        self._paces: OrderedDict[int, Pace] = OrderedDict()
        self._answers: Counter[int] = Counter()
        """Whole answers seen here, by route."""

    def learn(self, item: ItemProgress, run_events: int, run_ms: int) -> None:
        """Take a whole answer, and the events and time of its last run."""
        if item.item.tokens <= 0:
            return
        self._answers[item.route] += 1
        # The first answers count in full: what the guess before them said is no evidence.
        weight = max(MIN_WEIGHT, 1 / self._answers[item.route])
        length = item.last_event / item.item.tokens
        known = self._paces.get(item.route, Pace(length, DEFAULT_EVENT_MS))
        event_ms = known.event_ms
        if run_events > MIN_REMAINING_EVENTS:
            event_ms += weight * (max(0.0, run_ms - FIRST_EVENT_MS) / run_events - event_ms)
        length = known.events_per_token + weight * (length - known.events_per_token)
        self._paces[item.route] = Pace(length, event_ms)
        self._paces.move_to_end(item.route)

    def apply_reported(self, route: int, pace: Pace) -> None:
        """Take another daemon's word for a route of which no answer was seen here."""
        if not self._answers[route]:
            self._paces[route] = pace

    def list_learned(self) -> dict[int, Pace]:
        """Return what was learned here, of the routes learned last."""
        learned = [route for route in reversed(self._paces) if self._answers[route]]
        return {route: self._paces[route] for route in learned[:MAX_PACES]}

    def estimate_remaining_ms(self, item: ItemProgress) -> float:
        """Return how long an item takes from a start now to its end."""
        pace = self._paces.get(item.route, Pace(0.0, DEFAULT_EVENT_MS))
        expected = item.item.tokens * pace.events_per_token
        return (
            FIRST_EVENT_MS + max(MIN_REMAINING_EVENTS, expected - item.last_event) * pace.event_ms
        )
