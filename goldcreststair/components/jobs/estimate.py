"""How long an item still takes, learned from those that ended; no I/O."""

from typing import Final

from goldcreststair.components.jobs.book import ItemProgress

DEFAULT_EVENTS_PER_TOKEN: Final = 0.12
"""Events of an answer for each token that its request may take, until answers have been seen."""
DEFAULT_EVENT_MS: Final = 30.0
"""Time between two events, until runs have been seen."""
START_MS: Final = 60.0
"""Time to a run's first event."""
SMOOTHING: Final = 0.1
"""Weight of one more answer in both means: about the last ten count."""
MIN_LEFT_EVENTS: Final = 5
"""An answer that is longer than usual is taken to end after so many more."""


class WorkEstimate:
    """Learns the length of answers against their requests' tokens, and the pace of events."""

    def __init__(self) -> None:
        """Start from the defaults."""
        self._events_per_token = DEFAULT_EVENTS_PER_TOKEN
        self._event_ms = DEFAULT_EVENT_MS

    def learn(self, item: ItemProgress, run_events: int, run_ms: int) -> None:
        """Take a whole answer, and the events and time of its last run."""
        if item.item.tokens > 0:
            found = item.last_event / item.item.tokens
            self._events_per_token += SMOOTHING * (found - self._events_per_token)
        if run_events > MIN_LEFT_EVENTS:
            pace = max(0.0, run_ms - START_MS) / run_events
            self._event_ms += SMOOTHING * (pace - self._event_ms)

    def read_left_ms(self, item: ItemProgress) -> float:
        """Return how long an item takes from a start now to its end."""
        expected = item.item.tokens * self._events_per_token
        return START_MS + max(MIN_LEFT_EVENTS, expected - item.last_event) * self._event_ms
