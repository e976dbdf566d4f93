"""Decides when to read the list of VMs, and tracks which VMs are leaving."""

from collections.abc import Iterable

from goldcreststair.clock import Millis
from goldcreststair.components.listing.const import (
    ANNOUNCEMENT_LIFETIME_MS,
    ANNOUNCEMENT_PERIOD_S,
    FLEET_POLLS_PER_S,
    MAX_PERIOD_MS,
    MIN_PERIOD_MS,
)
from goldcreststair.const import MS_PER_SECOND


def choose_poll_delay(members: int, random_share: float) -> int:
    """Return the milliseconds until the next read; `random_share` is uniform from 0 to 1.

    Each VM waits a random time around members / rate, so that the fleet keeps the rate without a
    coordinator, whichever VMs are lost.

    >>> choose_poll_delay(10, 0.5), choose_poll_delay(820, 0.5)
    (5000, 410000)
    """
    mean_ms = members / FLEET_POLLS_PER_S * MS_PER_SECOND
    return int(min(max(2 * mean_ms * random_share, MIN_PERIOD_MS), MAX_PERIOD_MS))


def make_announcement(address: str, utc_s: int) -> str:
    """Return the shared item which announces that a VM is leaving now."""
    return f"{address} {utc_s // ANNOUNCEMENT_PERIOD_S}"


class LeavingTracker:
    """Combines the leaving VMs that this VM read with those that others announced."""

    def __init__(self) -> None:
        """Create a tracker without leaving VMs."""
        self._listed: frozenset[str] = frozenset()
        self._announced: dict[str, Millis] = {}

    def apply_listing(self, leaving: Iterable[str]) -> None:
        """Replace the leaving VMs of the last read by those of a new one."""
        self._listed = frozenset(leaving)

    def apply_announcement(self, announcement: str, now: Millis) -> str:
        """Add an announcement of another VM and return the announced address."""
        address = announcement.partition(" ")[0]
        self._announced[address] = Millis(now + ANNOUNCEMENT_LIFETIME_MS)
        return address

    def list_leaving(self, now: Millis) -> frozenset[str]:
        """Return the addresses of all VMs known to be leaving."""
        self._announced = {a: until for a, until in self._announced.items() if until > now}
        return self._listed | self._announced.keys()
