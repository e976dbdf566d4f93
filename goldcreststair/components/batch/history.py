"""A count as it stood some time ago, to compare with reports that lag."""

from collections import deque

from goldcreststair.clock import Millis


class CountHistory:
    """Past values of one count, as far back as a report may be old."""

    def __init__(self, length_ms: int) -> None:
        """Start empty; values older than `length_ms` are forgotten but for the newest of them."""
        self._length_ms = length_ms
        self._past: deque[tuple[Millis, int]] = deque()

    def add(self, now: Millis, count: int) -> None:
        """Take the value from now on."""
        self._past.append((now, count))
        while len(self._past) > 1 and self._past[1][0] <= now - self._length_ms:
            self._past.popleft()

    def read_oldest(self) -> int:
        """Return the value that held `length_ms` before the last one was added; 0 if none."""
        return self._past[0][1] if self._past else 0
