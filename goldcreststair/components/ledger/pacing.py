"""Keeps this VM to its part of the fleet's budget of store writes."""

import math
from random import Random

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.ledger.const import FIRST_BACKOFF_MS, MAX_BACKOFF_MS
from goldcreststair.const import MS_PER_SECOND


class Pacer:
    """Gives out slots at this VM's share of a rate of the whole fleet."""

    def __init__(self, clock: Clock, fleet_per_s: float, burst: int) -> None:
        """Allow `burst` slots at once after a quiet time."""
        self._clock = clock
        self._fleet_per_s = fleet_per_s
        self._burst = burst
        self._next = float(clock.now())
        self.share = 1.0
        """Part of the fleet's rate, above 0 up to 1."""

    def reserve(self) -> int:
        """Take the next slot and return how many milliseconds away it is."""
        interval = MS_PER_SECOND / (self._fleet_per_s * self.share)
        now = self._clock.now()
        self._next = max(self._next, now - interval * (self._burst - 1))
        wait = max(0, int(self._next - now))
        self._next += interval
        return wait

    def read_wait_ms(self) -> int:
        """Return how many milliseconds away the next slot is, without taking it."""
        return max(0, math.ceil(self._next - self._clock.now()))

    def is_free(self) -> bool:
        """Return whether a slot is to be had without waiting."""
        return self._next <= self._clock.now()


class Backoff:
    """Delays between tries, doubled up to a cap, with jitter."""

    def __init__(self, random: Random) -> None:
        """Start at the first delay."""
        self._random = random
        self._delay = FIRST_BACKOFF_MS

    def next_ms(self) -> int:
        """Return the next delay; the jitter keeps VMs apart when the store comes back."""
        delay = int(self._delay * self._random.uniform(0.5, 1.0))
        self._delay = min(self._delay * 2, MAX_BACKOFF_MS)
        return delay


def elapsed(clock: Clock, since: Millis) -> int:
    """Return milliseconds since a point in time."""
    return clock.now() - since
