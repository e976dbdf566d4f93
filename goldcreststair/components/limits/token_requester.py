"""Token requests to one customer's coordinator; concurrent requests share one message."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import (
    FIRST_MOVING_INTERVAL_MS,
    OWNER_READ_INTERVAL_MS,
    REQUEST_INTERVAL_MS,
)
from goldcreststair.components.limits.granted_tokens import GrantedTokens

MAX_DOUBLINGS = 8


@dataclass(slots=True)
class Waiter:
    """One request that waits for a token; its result is the retry time in ms, 0 if admitted."""

    future: "asyncio.Future[int]"


@dataclass(slots=True)
class TokenRequester:
    """Granted tokens and request state of one customer whose coordinator is another VM."""

    tokens: GrantedTokens = field(default_factory=GrantedTokens)
    waiters: deque[Waiter] = field(default_factory=deque)
    task: "asyncio.Task[None] | None" = None
    requested_at: Millis = Millis(-REQUEST_INTERVAL_MS)
    denied_until: Millis = Millis(0)
    owner_read_at: Millis = Millis(-OWNER_READ_INTERVAL_MS)
    coordinator_moving: bool = False
    """Whether the last request found no coordinator, as between a release and the next claim."""
    moving_requests: int = 0
    """Consecutive requests that found no coordinator."""
    unresponsive_session: str | None = None
    """The session that left the last request unanswered."""

    def record_coordinator(self, found: bool) -> None:
        """Record whether a request reached the coordinator."""
        self.moving_requests = 0 if found else self.moving_requests + 1
        self.coordinator_moving = not found

    def get_interval(self) -> int:
        """Return the time in ms from the last request to the next one."""
        if not self.count_waiting():
            return self.tokens.get_report_interval()
        if not self.coordinator_moving:
            return REQUEST_INTERVAL_MS
        # A handover takes some 20 ms: with an interval of 100 ms, most of the wait would be wasted.
        doublings = min(self.moving_requests, MAX_DOUBLINGS) - 1
        return min(REQUEST_INTERVAL_MS, FIRST_MOVING_INTERVAL_MS << doublings)

    def add_waiter(self) -> Waiter:
        """Add a waiting request to the queue."""
        waiter = Waiter(asyncio.get_running_loop().create_future())
        self.waiters.append(waiter)
        return waiter

    def count_waiting(self) -> int:
        """Drop the waiters that have ended and return the number of the others."""
        self.waiters = deque(w for w in self.waiters if not w.future.done())
        return len(self.waiters)

    def serve_waiters(self, now: Millis) -> None:
        """Admit waiting requests in their order as long as there are tokens."""
        while self.count_waiting() and self.tokens.spend(now):
            self.waiters.popleft().future.set_result(0)

    def refuse_waiters(self, retry_after_ms: int) -> None:
        """Refuse all waiting requests, with the time in ms after which to retry."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.future.done():
                waiter.future.set_result(max(1, retry_after_ms))
