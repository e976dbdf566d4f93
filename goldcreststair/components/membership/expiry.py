"""Judges from an observer's own reads whether a session has expired."""

from dataclasses import dataclass

from goldcreststair.clock import Millis
from goldcreststair.components.membership.const import EXPIRY_MS


@dataclass(slots=True)
class _Observed:
    beat: int
    read_at: Millis
    still_ms: int = 0


class ExpiryJudge:
    """Adds up the time over which a counter did not move.

    >>> judge = ExpiryJudge(longest_gap_ms=20_000)
    >>> [judge.observe("a", 7, Millis(at)) for at in (0, 10_000, 20_000, 30_000)]
    [False, False, False, True]
    """

    def __init__(self, longest_gap_ms: int) -> None:
        """Count no gap between two reads that is longer than `longest_gap_ms`."""
        self._longest_gap_ms = longest_gap_ms
        self._observed: dict[str, _Observed] = {}

    def observe(self, session_id: str, beat: int, at: Millis) -> bool:
        """Take one successful read; returns whether the session is expired."""
        seen = self._observed.get(session_id)
        if seen is None or seen.beat != beat:
            self._observed[session_id] = _Observed(beat, at)
            return False
        gap_ms = at - seen.read_at
        # An observer that was paused, or whose store was away, has not watched in the gap, and
        # the owner may have been as unable to write as it was to read.
        if gap_ms <= self._longest_gap_ms:
            seen.still_ms += gap_ms
        seen.read_at = at
        return seen.still_ms >= EXPIRY_MS

    def note_failure(self, at: Millis) -> None:
        """Take a failed read: the time up to it does not count."""
        for seen in self._observed.values():
            seen.read_at = at

    def keep(self, session_ids: set[str]) -> None:
        """Forget all others."""
        self._observed = {key: seen for key, seen in self._observed.items() if key in session_ids}
