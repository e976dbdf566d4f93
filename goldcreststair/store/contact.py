"""Tracks whether the platform's store answers this daemon."""

from typing import Final

from goldcreststair.clock import Clock, Millis

UNAVAILABLE_AFTER_MS: Final = 700
"""How long after the last answer, ms, failed calls mean that the store is unavailable.

The daemon's heartbeat and feeds get an answer about once a second. After a failure and this time without
any answer, a caller's request would only wait for a timeout.
"""


class StoreContact:
    """Records the outcome of every call; any answer, even an error, shows that the store is reachable."""

    def __init__(self, clock: Clock) -> None:
        """Assume that the store is reachable until a call fails."""
        self._clock = clock
        self._reached_at = clock.now()
        self._failed_at: Millis | None = None

    def record(self, *, reached: bool) -> None:
        """Record whether a call got an answer."""
        if reached:
            self._reached_at, self._failed_at = self._clock.now(), None
        else:
            self._failed_at = self._clock.now()

    def is_unavailable(self) -> bool:
        """Return whether calls have failed for a while; a single lost answer is not enough."""
        return self._failed_at is not None and self.read_age_ms() > UNAVAILABLE_AFTER_MS

    def read_age_ms(self) -> int:
        """Return the time since the last answer, ms."""
        return self._clock.now() - self._reached_at
