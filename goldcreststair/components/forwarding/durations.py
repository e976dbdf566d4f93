"""Recent request durations of each route on this VM, from placement to the end of the answer."""

from dataclasses import dataclass

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.forwarding.const import DURATION_WINDOW_MS


@dataclass(slots=True)
class _Longest:
    window: int
    """Number of the window that `current_ms` belongs to."""
    current_ms: int = 0
    previous_ms: int = 0


class RequestDurations:
    """Tracks the longest request of each route in the current and the previous time window."""

    def __init__(self, clock: Clock) -> None:
        """Initialise without any recorded duration."""
        self._clock = clock
        self._by_route: dict[str, _Longest] = {}

    def record(self, route: str, began_at: Millis) -> None:
        """Record a request that ends now."""
        longest = self._rotate(route)
        longest.current_ms = max(longest.current_ms, self._clock.now() - began_at)

    def read_longest_ms(self, route: str) -> int | None:
        """Return the longest recent duration of a route; None if no request ended recently."""
        longest = self._rotate(route)
        return max(longest.current_ms, longest.previous_ms) or None

    def _rotate(self, route: str) -> _Longest:
        window = self._clock.now() // DURATION_WINDOW_MS
        known = self._by_route.get(route)
        if known is None or known.window < window - 1:
            known = self._by_route[route] = _Longest(window)
        elif known.window < window:
            known.window, known.previous_ms, known.current_ms = window, known.current_ms, 0
        return known
