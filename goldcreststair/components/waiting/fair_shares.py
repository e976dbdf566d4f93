"""Virtual time of weighted fair queueing between customers; no I/O.

Designed for a few customers that send at many times their rate among dozens that do not. Virtual time
advances by one request divided by the weights of all customers that are ahead of it, so that a customer
is ahead exactly if it got more than its weighted share since slots became short.
"""

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.waiting.const import CONTENTION_MEMORY_MS


class FairShares:
    """Remembers what each customer got while slots were short."""

    def __init__(self, clock: Clock) -> None:
        """Create shares of customers that all got nothing yet."""
        self._clock = clock
        self._now = 0.0
        """Virtual time."""
        self._finished: dict[str, tuple[float, float]] = {}
        """Virtual finish time and weight of each customer that is ahead of virtual time."""
        self._contended_at = Millis(0)

    def note_contention(self) -> None:
        """Record that a request found no free slot."""
        self._forget_if_idle()
        self._contended_at = self._clock.now()

    def read_start(self, customer: str) -> float:
        """Return the virtual time at which the next request of a customer starts."""
        return max(self._now, self._finished.get(customer, (0.0, 0.0))[0])

    def is_ahead(self, customer: str) -> bool:
        """Return whether a customer got more than its share."""
        return customer in self._finished

    def record_served(self, customer: str, weight: float) -> None:
        """Record that a request of a customer got a place at an upstream."""
        self._forget_if_idle()
        finish = self.read_start(customer) + 1.0 / weight
        self._finished[customer] = (finish, weight)
        self._now += 1.0 / sum(each for _, each in self._finished.values())
        for name in [name for name, (at, _) in self._finished.items() if at <= self._now]:
            del self._finished[name]

    def _forget_if_idle(self) -> None:
        if self._clock.now() - self._contended_at > CONTENTION_MEMORY_MS:
            self._finished.clear()
