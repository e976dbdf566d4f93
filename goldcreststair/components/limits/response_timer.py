"""Tells a home that is silent from a process that did not listen."""

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import ASK_TIMEOUT_MS, LATE_LOOK_MS, LOOK_MS


class AskSilence:
    """Counts how long an ask has gone without an answer; no I/O."""

    def __init__(self, asked_at: Millis) -> None:
        """Count from the ask."""
        self._counted_from = self._look_at = asked_at

    def find_pause(self, now: Millis) -> int:
        """Return how long to listen until the next look; 0 if the home was silent for too long."""
        # A late look means that this process was kept from reading: an answer may lie there unread.
        if now - self._look_at > LATE_LOOK_MS:
            self._counted_from = now
        left_ms = self._counted_from + ASK_TIMEOUT_MS - now
        pause_ms = max(0, min(LOOK_MS, left_ms))
        self._look_at = Millis(now + pause_ms)
        return pause_ms
