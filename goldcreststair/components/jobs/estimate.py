"""Estimates how long an item still takes, from finished items here and at other daemons; no I/O.

A daemon that has just started, in a rolling replacement or after a loss of all VMs, has seen no
answer yet. With a fixed default it classified items as late that had three times the time they
needed, and never started them. Estimates shared between daemons avoid that.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass
from typing import Final

from goldcreststair.components.jobs.registry import ItemProgress

DEFAULT_EVENT_MS: Final = 30.0
"""Time between two events until runs have been observed, ms."""
FIRST_EVENT_MS: Final = 60.0
"""Time to a run's first event, ms."""
MIN_WEIGHT: Final = 0.1
"""Minimum weight of a new answer in both averages: about the last ten answers count."""
MIN_REMAINING_EVENTS: Final = 5
"""Remaining events assumed for an answer that is longer than usual, and for a route without
observed answers: whether those can be in time is unknown, so they may start."""
MAX_PACES: Final = 4
"""Routes whose paces a beacon carries, the most recently updated ones; 20 bytes each."""


@dataclass(frozen=True, slots=True)
class Pace:
    """Typical length and speed of the answers on one route."""

    events_per_token: float
    """Events of an answer per token that its request may use."""
    event_ms: float
    """Time between two events, ms."""


class WorkEstimate:
    """Averages the length of answers per token and the time between events, by route."""

    def __init__(self) -> None:
        """Start without observations."""
        self._paces: OrderedDict[int, Pace] = OrderedDict()
        self._answers: Counter[int] = Counter()
        """Number of complete answers observed here, by route."""

    def learn(self, item: ItemProgress, run_events: int, run_ms: int) -> None:
        """Add a complete answer, with the number of events and the duration of its last run."""
        if item.spec.tokens <= 0:
            return
        self._answers[item.route] += 1
        # The first answers count in full: the default before them is no evidence.
        weight = max(MIN_WEIGHT, 1 / self._answers[item.route])
        length = item.last_event / item.spec.tokens
        known = self._paces.get(item.route, Pace(length, DEFAULT_EVENT_MS))
        event_ms = known.event_ms
        if run_events > MIN_REMAINING_EVENTS:
            event_ms += weight * (max(0.0, run_ms - FIRST_EVENT_MS) / run_events - event_ms)
        length = known.events_per_token + weight * (length - known.events_per_token)
        self._paces[item.route] = Pace(length, event_ms)
        self._paces.move_to_end(item.route)

    def apply_reported(self, route: int, pace: Pace) -> None:
        """Use another daemon's pace for a route of which no answer was observed here."""
        if not self._answers[route]:
            self._paces[route] = pace

    def list_learned(self) -> dict[int, Pace]:
        """Return the paces observed here, of the most recently updated routes."""
        learned = [route for route in reversed(self._paces) if self._answers[route]]
        return {route: self._paces[route] for route in learned[:MAX_PACES]}

    def estimate_repeat_ms(self, item: ItemProgress) -> float:
        """Return the ms that the events of an item took, which it loses if it starts over."""
        pace = self._paces.get(item.route, Pace(0.0, DEFAULT_EVENT_MS))
        return item.last_event * pace.event_ms

    def estimate_remaining_ms(self, item: ItemProgress) -> float:
        """Return the ms that an item would take from a start now to its end."""
        pace = self._paces.get(item.route, Pace(0.0, DEFAULT_EVENT_MS))
        expected = item.spec.tokens * pace.events_per_token
        return (
            FIRST_EVENT_MS + max(MIN_REMAINING_EVENTS, expected - item.last_event) * pace.event_ms
        )
