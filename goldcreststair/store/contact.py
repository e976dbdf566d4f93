"""Whether the platform's store answers this daemon."""

from typing import Final

from goldcreststair.clock import Clock, Millis

AWAY_MS: Final = 700
"""A daemon's heartbeat and feeds have an answer every second; without one for so long after a failure,
a caller's call would wait in vain."""


class StoreContact:
    """Follows every call: one answer, whatever it says, shows that the store is there."""

    def __init__(self, clock: Clock) -> None:
        """Take the store for reached until a call fails."""
        self._clock = clock
        self._reached_at = clock.now()
        self._failed_at: Millis | None = None

    def note(self, *, reached: bool) -> None:
        """Note the outcome of a call."""
        if reached:
            self._reached_at, self._failed_at = self._clock.now(), None
        else:
            self._failed_at = self._clock.now()

    def is_unavailable(self) -> bool:
        """Return whether calls have failed for a while; a single lost answer says little."""
        return self._failed_at is not None and self.read_age_ms() > AWAY_MS

    def read_age_ms(self) -> int:
        """Return the ms since the last answer."""
        return self._clock.now() - self._reached_at
