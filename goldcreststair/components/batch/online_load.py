"""Online requests at one upstream, as the VMs that send them tell."""

from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.online_pressure import UpstreamPressure

TELL_CHANGE: Final = 2
"""Change of a VM's requests in flight that is told at once."""
REFRESH_MS: Final = 4_000
TOLD_LIFETIME_MS: Final = 10_000


class OnlineLoadReporter:
    """Decides when a VM tells the dispatcher of an upstream of its requests there."""

    def __init__(self, clock: Clock) -> None:
        """Start with nothing told."""
        self._clock = clock
        self._told = 0
        self._told_at = Millis(0)

    def observe(self, met: UpstreamPressure) -> bool:
        """Take what online work meets now; returns whether to tell it."""
        now = self._clock.now()
        changed = abs(met.in_flight - self._told) >= TELL_CHANGE
        stale = self._told > 0 and now - self._told_at >= REFRESH_MS
        if not changed and not stale and met.queue_ms <= 0:
            return False
        self._told, self._told_at = met.in_flight, now
        return True


class OnlineLoad:
    """The sum of what was told, at the dispatcher."""

    def __init__(self, clock: Clock) -> None:
        """Start with no VM known."""
        self._clock = clock
        self._told: dict[str, tuple[Millis, int]] = {}

    def tell(self, session: str, in_flight: int) -> int:
        """Take one VM's requests in flight; returns the sum."""
        now = self._clock.now()
        self._told[session] = (now, in_flight)
        # A VM that was lost cannot say that its requests ended; kept for good, its last word
        # would hold batch back at this upstream until the daemon restarts.
        horizon = now - TOLD_LIFETIME_MS
        self._told = {name: told for name, told in self._told.items() if told[0] > horizon}
        return sum(count for _, count in self._told.values())
