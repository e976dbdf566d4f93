"""Limits this VM to its share of the fleet's budget of store writes."""

import math
from random import Random

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.ledger.const import FIRST_BACKOFF_MS, MAX_BACKOFF_MS
from goldcreststair.const import MS_PER_SECOND


class Pacer:
    """Schedules operations at this VM's share of a rate that applies to the whole fleet."""

    def __init__(self, clock: Clock, fleet_per_s: float, burst: int) -> None:
        """Create a pacer that allows `burst` operations at once after an idle period."""
        self._clock = clock
        self._fleet_per_s = fleet_per_s
        self._burst = burst
        self._next = float(clock.now())
        self.share = 1.0
        """This VM's fraction of the fleet's rate, above 0 up to 1."""

    def reserve(self) -> int:
        """Reserve the next slot and return the milliseconds until it begins."""
        interval = MS_PER_SECOND / (self._fleet_per_s * self.share)
        now = self._clock.now()
        self._next = max(self._next, now - interval * (self._burst - 1))
        wait = max(0, int(self._next - now))
        self._next += interval
        return wait

    def read_wait_ms(self) -> int:
        """Return the milliseconds until the next slot begins, without reserving it."""
        return max(0, math.ceil(self._next - self._clock.now()))

    def is_free(self) -> bool:
        """Return whether the next slot is available without waiting."""
        return self._next <= self._clock.now()


class Backoff:
    """Delays between attempts: doubled up to a maximum, with jitter."""

    def __init__(self, random: Random) -> None:
        """Create a backoff that begins with the first delay."""
        self._random = random
        self._delay = FIRST_BACKOFF_MS

    def next_ms(self) -> int:
        """Return the next delay in ms; the jitter spreads the VMs' retries after a store outage."""
        delay = int(self._delay * self._random.uniform(0.5, 1.0))
        self._delay = min(self._delay * 2, MAX_BACKOFF_MS)
        return delay


def elapsed(clock: Clock, since: Millis) -> int:
    """Return the milliseconds since a point in time."""
    return clock.now() - since
