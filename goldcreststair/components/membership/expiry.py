"""Decides from an observer's own reads whether a session has expired."""

from dataclasses import dataclass

from goldcreststair.clock import Millis
from goldcreststair.components.membership.const import EXPIRY_MS


@dataclass(slots=True)
class _Observed:
    heartbeat: int
    read_at: Millis
    unchanged_ms: int = 0


class ExpiryTracker:
    """Adds up the time in which a session's heartbeat counter did not change.

    >>> tracker = ExpiryTracker(longest_gap_ms=20_000)
    >>> [tracker.observe("a", 7, Millis(at)) for at in (0, 10_000, 20_000, 30_000)]
    [False, False, False, True]
    """

    def __init__(self, longest_gap_ms: int) -> None:
        """Create a tracker that ignores gaps between two reads longer than `longest_gap_ms`."""
        self._longest_gap_ms = longest_gap_ms
        self._observed: dict[str, _Observed] = {}

    def observe(self, session_id: str, heartbeat: int, at: Millis) -> bool:
        """Record one successful read; returns whether the session has expired."""
        seen = self._observed.get(session_id)
        if seen is None or seen.heartbeat != heartbeat:
            self._observed[session_id] = _Observed(heartbeat, at)
            return False
        gap_ms = at - seen.read_at
        # A long gap means that the observer was paused or could not reach the store. The owner of
        # the session may have been unable to write at the same time.
        if gap_ms <= self._longest_gap_ms:
            seen.unchanged_ms += gap_ms
        seen.read_at = at
        return seen.unchanged_ms >= EXPIRY_MS

    def record_failure(self, at: Millis) -> None:
        """Record a failed read: the time before it does not count."""
        for seen in self._observed.values():
            seen.read_at = at

    def keep(self, session_ids: set[str]) -> None:
        """Remove all sessions other than these."""
        self._observed = {key: seen for key, seen in self._observed.items() if key in session_ids}
