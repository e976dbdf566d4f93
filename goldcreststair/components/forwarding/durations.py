"""How long requests of each route take here, from their placing to their end."""

from dataclasses import dataclass

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.forwarding.const import DURATION_WINDOW_MS


@dataclass(slots=True)
class _Longest:
    window: int
    """Number of the window that `now_ms` belongs to."""
    now_ms: int = 0
    before_ms: int = 0


class RequestDurations:
    """Keeps the longest request of each route in this window of time and the one before."""

    def __init__(self, clock: Clock) -> None:
        """Know no route."""
        self._clock = clock
        self._longest: dict[str, _Longest] = {}

    def note(self, route: str, began_at: Millis) -> None:
        """Learn from a request that ended now."""
        longest = self._turn(route)
        longest.now_ms = max(longest.now_ms, self._clock.now() - began_at)

    def read_longest_ms(self, route: str) -> int | None:
        """Return the longest of late; None if none ended."""
        longest = self._turn(route)
        return max(longest.now_ms, longest.before_ms) or None

    def _turn(self, route: str) -> _Longest:
        window = self._clock.now() // DURATION_WINDOW_MS
        known = self._longest.get(route)
        if known is None or known.window < window - 1:
            known = self._longest[route] = _Longest(window)
        elif known.window < window:
            known.window, known.before_ms, known.now_ms = window, known.now_ms, 0
        return known
