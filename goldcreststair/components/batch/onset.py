"""Detects the onset of an online burst from the growth of requests in flight, before queues."""

from collections import deque
from typing import Final

from goldcreststair.clock import Clock, Millis

WINDOW_MS: Final = 600
GROWTH: Final = 5
"""Requests in flight above `FACTOR` times the least count of the window that make an onset."""
FACTOR: Final = 1.5
REPEAT_MS: Final = 300


class OnsetDetector:
    """Detects onsets in the count of online requests at one upstream."""

    def __init__(self, clock: Clock) -> None:
        """Create without any counts."""
        self._clock = clock
        self._counts: deque[tuple[Millis, int]] = deque()
        self._detected_at: Millis | None = None

    def observe(self, in_flight: int) -> bool:
        """Apply a count of requests in flight; returns whether a burst begins."""
        now = self._clock.now()
        # The newest count before the window is kept: it was valid at the start of the window.
        while len(self._counts) > 1 and self._counts[1][0] <= now - WINDOW_MS:
            self._counts.popleft()
        least = min((count for _, count in self._counts), default=0)
        self._counts.append((now, in_flight))
        if in_flight < FACTOR * least + GROWTH:
            return False
        if self._detected_at is not None and now - self._detected_at < REPEAT_MS:
            return False
        self._detected_at = now
        return True
