"""Past values of a count, to compare with reports that lag."""

from collections import deque

from goldcreststair.clock import Millis


class CountHistory:
    """Past values of one count, as far back as a report may be old."""

    def __init__(self, length_ms: int) -> None:
        """Create empty; of the values older than `length_ms` only the newest is kept."""
        self._length_ms = length_ms
        self._past: deque[tuple[Millis, int]] = deque()

    def add(self, now: Millis, count: int) -> None:
        """Record the value that is valid from `now` on."""
        self._past.append((now, count))
        while len(self._past) > 1 and self._past[1][0] <= now - self._length_ms:
            self._past.popleft()

    def read_oldest(self) -> int:
        """Return the value that was valid `length_ms` before the last `add`; 0 if there is none."""
        return self._past[0][1] if self._past else 0
