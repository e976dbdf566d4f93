"""Decides when to read the list, and whom it shows to be leaving."""

from collections.abc import Iterable

from goldcreststair.clock import Millis
from goldcreststair.components.listing.const import (
    FLEET_POLLS_PER_S,
    HINT_LIFETIME_MS,
    HINT_PERIOD_S,
    MAX_PERIOD_MS,
    MIN_PERIOD_MS,
)
from goldcreststair.const import MS_PER_SECOND


def choose_period(members: int, chance: float) -> int:
    """Return the milliseconds to the next read; `chance` is uniform from 0 to 1.

    Each VM waits a random time around members / rate, so that the fleet reads at its rate without
    anybody being chosen for it, and goes on whoever is lost.

    >>> choose_period(10, 0.5), choose_period(820, 0.5)
    (5000, 410000)
    """
    mean_ms = members / FLEET_POLLS_PER_S * MS_PER_SECOND
    return int(min(max(2 * mean_ms * chance, MIN_PERIOD_MS), MAX_PERIOD_MS))


def make_hint(address: str, utc_s: int) -> str:
    """Return the shared item that says that a VM is leaving now."""
    return f"{address} {utc_s // HINT_PERIOD_S}"


class LeavingTracker:
    """Joins what this VM read and what others announced."""

    def __init__(self) -> None:
        """Know of nobody."""
        self._read: frozenset[str] = frozenset()
        self._announced: dict[str, Millis] = {}

    def take_read(self, leaving: Iterable[str]) -> None:
        """Take what this VM read; it replaces its last reading."""
        self._read = frozenset(leaving)

    def take_hint(self, hint: str, now: Millis) -> str:
        """Take another VM's announcement and return its address."""
        address = hint.partition(" ")[0]
        self._announced[address] = Millis(now + HINT_LIFETIME_MS)
        return address

    def list_leaving(self, now: Millis) -> frozenset[str]:
        """Return every address believed to leave."""
        self._announced = {a: until for a, until in self._announced.items() if until > now}
        return self._read | self._announced.keys()
