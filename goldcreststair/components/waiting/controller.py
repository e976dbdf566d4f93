"""Orders requests that wait for a slot, and decides which of them are refused; no I/O.

Designed for bursts of 2 to 5 s above the capacity of all slots, with some customers at many times
their rate. A request is served late if it waits for longer than about two slots of its upstream take
to become free, so that the queue is short and its order decides mostly who is refused.
"""

from collections import defaultdict
from collections.abc import Callable
from itertools import accumulate

from goldcreststair.clock import Clock
from goldcreststair.components.waiting.const import MAX_WAITING, MAX_WAITING_BYTES
from goldcreststair.components.waiting.fair_shares import FairShares
from goldcreststair.components.waiting.models import (
    Capacity,
    Evicted,
    RefusalReason,
    WaitingRequest,
)

CountOthers = Callable[[int], float]
"""Returns how many requests of a rank or a better one wait at other daemons."""


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
        self.shares.record_served(request.customer, request.weight)

    def list_order(self) -> list[WaitingRequest]:
        """Return the requests: by rank, then by virtual start of their customers, then by deadline."""
        by_customer: dict[str, list[WaitingRequest]] = defaultdict(list)
        for request in sorted(self._requests.values(), key=_rank_deadline):
            by_customer[request.customer].append(request)
        keyed = []
        for customer, requests in by_customer.items():
            start = self.shares.read_start(customer)
            for position, request in enumerate(requests):
                keyed.append((request.rank, start + position / request.weight, request))
        keyed.sort(key=lambda item: (item[0], item[1], item[2].due_at, item[2].number))
        return [request for _, _, request in keyed]

    def evict_late(self, capacity: Capacity, count_others: CountOthers) -> list[Evicted]:
        """Remove and return the requests that no slot can serve in time.

        They are the last ones in the order, unless a request has waited for longer than expected.
        """
        evicted = []
        ahead = 0
        counts = self._count_up_to_rank()
        for request in self.list_order():
            share = 1.0 + count_others(request.rank) / counts[request.rank]
            wait_ms = (ahead + 1) * share * capacity.slot_interval_ms + capacity.queued_ms
            if self._clock.now() + wait_ms + capacity.first_ms > request.due_at:
                self.remove(request.number)
                evicted.append(Evicted(request, RefusalReason.LATE))
            else:
                ahead += 1
        return evicted

    def count_by_rank(self) -> dict[int, int]:
        """Return the number of waiting requests of each rank."""
        counts: dict[int, int] = defaultdict(int)
        for request in self._requests.values():
            counts[request.rank] += 1
        return dict(counts)

    def list_requests(self) -> list[WaitingRequest]:
        """Return the requests in the order of their arrival."""
        return list(self._requests.values())

    def _count_up_to_rank(self) -> dict[int, int]:
        counts = sorted(self.count_by_rank().items())
        totals = accumulate(count for _, count in counts)
        return dict(zip((rank for rank, _ in counts), totals, strict=True))


def _rank_deadline(request: WaitingRequest) -> tuple[int, int, int]:
    return request.rank, request.due_at, request.number
