"""Orders requests that wait for a slot, and decides which of them are refused; no I/O.

Designed for bursts of 2 to 5 s above the capacity of all slots, with some customers at many times
their rate. A request is served late if it waits for longer than about two slots of its upstream take
to become free, so that the queue is short and its order decides mostly who is refused.
"""

from collections import Counter
from collections.abc import Callable
from itertools import accumulate

from goldcreststair.clock import Clock
from goldcreststair.components.waiting.const import FILL_LIMITS, MAX_WAITING, MAX_WAITING_BYTES
from goldcreststair.components.waiting.fair_shares import FairShares
from goldcreststair.components.waiting.models import (
    Capacity,
    Evicted,
    RefusalReason,
    WaitingRequest,
)

CountOthers = Callable[[int], float]
"""Returns how many requests of a level or a better one wait at other daemons."""


class WaitingQueue:
    """The requests that wait for one service at this daemon."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty queue."""
        self._clock = clock
        self._requests: dict[int, WaitingRequest] = {}
        self._bytes = 0
        self.shares = FairShares(clock)

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._requests)

    def add(self, request: WaitingRequest) -> list[Evicted]:
        """Add a request; returns those that have to go to stay within the bounds."""
        self.shares.note_contention()
        if request.size > MAX_WAITING_BYTES:
            return [Evicted(request, RefusalReason.BYTES)]
        self._requests[request.number] = request
        self._bytes += request.size
        evicted: list[Evicted] = []
        while len(self) > MAX_WAITING or self._bytes > MAX_WAITING_BYTES:
            reason = RefusalReason.FULL if len(self) > MAX_WAITING else RefusalReason.BYTES
            last = self.list_order()[-1]
            self.remove(last.number)
            evicted.append(Evicted(last, reason))
        return evicted

    def remove(self, number: int) -> None:
        """Remove a request, if it is still here."""
        request = self._requests.pop(number, None)
        if request is not None:
            self._bytes -= request.size

    def serve(self, request: WaitingRequest) -> None:
        """Remove a request that gets a place at an upstream."""
        self.remove(request.number)
        self.shares.record_served()

    def list_order(self) -> list[WaitingRequest]:
        """Return the requests: by rank, then by virtual start, then by deadline."""
        return sorted(
            self._requests.values(),
            key=lambda request: (request.rank, request.start, request.due_at, request.number),
        )

    def evict_late(self, capacity: Capacity, count_others: CountOthers) -> list[Evicted]:
        """Remove and return the requests that no slot can serve in time.

        They are the last ones in the order, unless a request has waited for longer than expected.
        """
        evicted = []
        ahead = 0
        counts = self._count_up_to_level()
        for request in self.list_order():
            level = self.read_level(request)
            share = 1.0 + count_others(level) / counts[level]
            wait_ms = (ahead + 1) * share * capacity.slot_interval_ms + capacity.queued_ms
            if self._clock.now() + wait_ms + capacity.first_ms > request.due_at:
                self.remove(request.number)
                evicted.append(Evicted(request, RefusalReason.LATE))
            else:
                ahead += 1
        return evicted

    def read_level(self, request: WaitingRequest) -> int:
        """Return the rank of a request as other daemons see it.

        Requests of customers above their share are behind all others of their rank.
        """
        return 2 * request.rank + self.is_ahead(request)

    def is_ahead(self, request: WaitingRequest) -> bool:
        """Return whether the customer of a request is above its share."""
        return self.shares.is_ahead(request.start, request.weight)

    def read_fill_limit(self, request: WaitingRequest) -> float:
        """Return the share of all slots in use from which a request is refused in an old view."""
        first_rank, other_ranks, ahead = FILL_LIMITS
        if self.is_ahead(request):
            return ahead
        return other_ranks if request.rank else first_rank

    def count_by_level(self) -> dict[int, int]:
        """Return the number of waiting requests of each level."""
        return dict(Counter(self.read_level(request) for request in self._requests.values()))

    def count_up_to(self, level: int) -> int:
        """Return the number of waiting requests of a level or a better one."""
        return sum(count for each, count in self.count_by_level().items() if each <= level)

    def _count_up_to_level(self) -> dict[int, int]:
        counts = sorted(self.count_by_level().items())
        totals = accumulate(count for _, count in counts)
        return dict(zip((level for level, _ in counts), totals, strict=True))
