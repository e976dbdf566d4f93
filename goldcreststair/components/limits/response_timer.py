"""Timeout of a token request that does not count pauses of this process; no I/O."""

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import (
    CHECK_INTERVAL_MS,
    LATE_CHECK_MS,
    REQUEST_TIMEOUT_MS,
)


class ResponseTimer:
    """Counts how long a token request has been unanswered."""

    def __init__(self, requested_at: Millis) -> None:
        """Count from the time of the request."""
        self._counted_from = self._next_check_at = requested_at

    def next_wait_ms(self, now: Millis) -> int:
        """Return how long to wait until the next check; 0 if the coordinator has timed out."""
        # A late check means that this process was kept from reading: an unread answer may be there.
        if now - self._next_check_at > LATE_CHECK_MS:
            self._counted_from = now
        left_ms = self._counted_from + REQUEST_TIMEOUT_MS - now
        pause_ms = max(0, min(CHECK_INTERVAL_MS, left_ms))
        self._next_check_at = Millis(now + pause_ms)
        return pause_ms
