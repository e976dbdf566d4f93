"""Orders waiting requests by deficit round robin over customers; no I/O."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from goldcreststair.clock import Millis
from goldcreststair.const import MS_PER_SECOND


@dataclass(frozen=True, slots=True)
class Ticket:
    """A waiting request."""

    request_id: str
    customer: str
    weight: float
    deadline_at: Millis


@dataclass(slots=True)
class _CustomerQueue:
    weight: float
    deficit: float = 0.0
    tickets: deque[Ticket] = field(default_factory=deque)


class FairQueue:
    """Waiting requests of one model or service; a customer's share follows its weight."""

    def __init__(self) -> None:
        """Create an empty queue."""
        self._queues: OrderedDict[str, _CustomerQueue] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return sum(len(queue.tickets) for queue in self._queues.values())

    def count(self, customer: str) -> int:
        """Return the number of waiting requests of one customer."""
        queue = self._queues.get(customer)
        return len(queue.tickets) if queue else 0

    def push(self, ticket: Ticket) -> None:
        """Add a request at the end of its customer's queue."""
        queue = self._queues.setdefault(ticket.customer, _CustomerQueue(ticket.weight))
        queue.weight = ticket.weight
        queue.tickets.append(ticket)

    def pop(self) -> Ticket | None:
        """Remove and return the next request, or None if none waits."""
        if not self._queues:
            return None
        heaviest = max(queue.weight for queue in self._queues.values())
        while True:
            customer, queue = next(iter(self._queues.items()))
            self._queues.move_to_end(customer)
            # The customer with the highest weight gets one request a turn, the others a fraction.
            queue.deficit += queue.weight / heaviest
            if queue.deficit >= 1:
                queue.deficit -= 1
                return self._pop_first(customer, queue)

    def _pop_first(self, customer: str, queue: _CustomerQueue) -> Ticket:
        ticket = queue.tickets.popleft()
        if not queue.tickets:
            del self._queues[customer]
        return ticket

    def remove(self, ticket: Ticket) -> bool:
        """Remove a request at any position; returns whether it was queued."""
        queue = self._queues.get(ticket.customer)
        if queue is None or ticket not in queue.tickets:
            return False
        queue.tickets.remove(ticket)
        if not queue.tickets:
            del self._queues[ticket.customer]
        return True

    def expire(self, now: Millis) -> list[Ticket]:
        """Remove and return every request whose deadline has passed."""
        expired = [t for q in self._queues.values() for t in q.tickets if t.deadline_at <= now]
        for ticket in expired:
            self.remove(ticket)
        return expired

    def estimate_wait_ms(self, customer: str, weight: float, rate_per_s: float) -> int:
        """Return the expected wait of a new request in ms; `rate_per_s` requests leave a second."""
        if rate_per_s <= 0:
            return 0
        ahead = self.count(customer) + 1
        before = sum(
            min(len(queue.tickets), ahead * queue.weight / weight)
            for name, queue in self._queues.items()
            if name != customer
        )
        return int((ahead - 1 + before) / rate_per_s * MS_PER_SECOND)
