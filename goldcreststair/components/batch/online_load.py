"""Online requests at one upstream, as reported by the VMs that send them."""

from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.online_pressure import UpstreamPressure

REPORT_CHANGE: Final = 2
"""Change of a VM's requests in flight that is reported at once."""
REFRESH_MS: Final = 4_000
REPORT_LIFETIME_MS: Final = 10_000


class OnlineLoadReporter:
    """Decides when a VM reports its requests at an upstream to the dispatcher there; no I/O."""

    def __init__(self, clock: Clock) -> None:
        """Create with nothing reported."""
        self._clock = clock
        self._reported = 0
        self._reported_at = Millis(0)

    def observe(self, pressure: UpstreamPressure) -> bool:
        """Apply the present online load; returns whether to report it."""
        now = self._clock.now()
        changed = abs(pressure.in_flight - self._reported) >= REPORT_CHANGE
        stale = self._reported > 0 and now - self._reported_at >= REFRESH_MS
        if not changed and not stale and pressure.queue_ms <= 0:
            return False
        self._reported, self._reported_at = pressure.in_flight, now
        return True


class OnlineLoad:
    """Sum of the online requests that VMs reported to the dispatcher of an upstream."""

    def __init__(self, clock: Clock) -> None:
        """Create without any VM."""
        self._clock = clock
        self._reported: dict[str, tuple[Millis, int]] = {}

    def apply_report(self, session: str, in_flight: int) -> int:
        """Apply one VM's requests in flight; returns the sum over all VMs."""
        now = self._clock.now()
        self._reported[session] = (now, in_flight)
        # A lost VM cannot report that its requests ended. Without expiry its last report would
        # limit batch at this upstream until the daemon restarts.
        horizon = now - REPORT_LIFETIME_MS
        self._reported = {
            name: report for name, report in self._reported.items() if report[0] > horizon
        }
        return sum(count for _, count in self._reported.values())
