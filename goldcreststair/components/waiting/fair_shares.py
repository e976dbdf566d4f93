"""Virtual time of weighted fair queueing between customers; no I/O.

Designed for a few customers that send at many times their rate among dozens that do not. Each arrival
moves its customer's virtual finish time, also if it is refused: a daemon holds too few waiting requests
for their order alone to tell who asks for more than its share. Virtual time advances with each request
that is served, by one request divided by the weights of all customers that are ahead of it.
"""

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.waiting.const import (
    AHEAD_REQUESTS,
    CONTENTION_MEMORY_MS,
    MAX_AHEAD_REQUESTS,
)


class FairShares:
    """Remembers what each customer asked for while slots were short."""

    def __init__(self, clock: Clock) -> None:
        """Create shares of customers that asked for nothing yet."""
        self._clock = clock
        self._now = 0.0
        """Virtual time."""
        self._finishes: dict[str, tuple[float, float]] = {}
        """Virtual finish time and weight of each customer that is ahead of virtual time."""
        self._arrived_at: dict[str, Millis] = {}
        """Last arrival of each customer that has sent a request of late."""
        self._contended_at = Millis(0)

    def note_contention(self) -> None:
        """Record that a request found no free slot."""
        self._forget_if_idle()
        self._contended_at = self._clock.now()

    def record_arrival(self, customer: str, weight: float) -> float:
        """Record a request of a customer; returns its virtual start time."""
        self._forget_if_idle()
        self._note_arrival(customer)
        start = max(self._now, self._finishes.get(customer, (0.0, weight))[0])
        limit = self._now + MAX_AHEAD_REQUESTS / weight
        self._finishes[customer] = (min(start + 1.0 / weight, limit), weight)
        return start

    def is_ahead(self, start: float, weight: float) -> bool:
        """Return whether the customer of a request with this start is above its share.

        A customer that no other one competes with is not.
        """
        return len(self._arrived_at) > 1 and ((start - self._now) * weight >= AHEAD_REQUESTS)

    def record_served(self) -> None:
        """Record that a request got a place at an upstream."""
        weights = sum(weight for _, weight in self._finishes.values())
        if weights:
            self._now += 1.0 / weights
        for name in [name for name, (at, _) in self._finishes.items() if at <= self._now]:
            del self._finishes[name]

    def _note_arrival(self, customer: str) -> None:
        now = self._clock.now()
        self._arrived_at[customer] = now
        old = [n for n, at in self._arrived_at.items() if now - at > CONTENTION_MEMORY_MS]
        for name in old:
            del self._arrived_at[name]

    def _forget_if_idle(self) -> None:
        if self._clock.now() - self._contended_at > CONTENTION_MEMORY_MS:
            self._finishes.clear()
