"""Counts the requests that wait at other daemons, as their beacons report; no I/O."""

from collections.abc import Callable, Mapping

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.waiting.const import COUNT_VALID_MS

Counts = Mapping[tuple[int, int], int]
"""By the hash of the service and by level."""


class OtherDaemons:
    """Keeps the newest report of each daemon, or of the relay that stands for all."""

    def __init__(self, clock: Clock, count_daemons: Callable[[], int]) -> None:
        """Create it without reports; `count_daemons` returns the number of other daemons."""
        self.count_daemons = count_daemons
        self._clock = clock
        self._reports: dict[str, tuple[Millis, Counts]] = {}

    def apply(self, session: str, counts: Counts) -> None:
        """Replace a daemon's report."""
        self._reports[session] = (self._clock.now(), counts)

    def forget(self, session: str) -> None:
        """Drop the report of a daemon that is gone."""
        self._reports.pop(session, None)

    def is_known(self) -> bool:
        """Return whether any report is recent."""
        horizon = self._clock.now() - COUNT_VALID_MS
        return any(at >= horizon for at, _ in self._reports.values())

    def count(self, service: int, level: int) -> int:
        """Return how many requests of a level or a better one wait elsewhere for a service."""
        horizon = self._clock.now() - COUNT_VALID_MS
        return sum(
            count
            for at, counts in self._reports.values()
            if at >= horizon
            for (each, other_level), count in counts.items()
            if each == service and other_level <= level
        )
