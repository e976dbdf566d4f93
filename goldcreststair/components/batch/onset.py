"""Sees an online burst begin in the growth of requests in flight, before anything queues."""

from collections import deque
from typing import Final

from goldcreststair.clock import Clock, Millis

WINDOW_MS: Final = 600
GROWTH: Final = 5
"""Requests in flight beyond twice the least of the window that make an onset."""
FACTOR: Final = 1.5
REPEAT_MS: Final = 300


class OnsetDetector:
    """Watches one upstream's online work of one VM."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing seen."""
        self._clock = clock
        self._seen: deque[tuple[Millis, int]] = deque()
        self._told_at: Millis | None = None

    def observe(self, in_flight: int) -> bool:
        """Take a count; returns whether a burst begins."""
        now = self._clock.now()
        # The newest count from before the window still held when it began.
        while len(self._seen) > 1 and self._seen[1][0] <= now - WINDOW_MS:
            self._seen.popleft()
        least = min((count for _, count in self._seen), default=0)
        self._seen.append((now, in_flight))
        if in_flight < FACTOR * least + GROWTH:
            return False
        if self._told_at is not None and now - self._told_at < REPEAT_MS:
            return False
        self._told_at = now
        return True
