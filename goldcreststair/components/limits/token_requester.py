"""One customer's dealings with its home: concurrent requests share an ask."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import (
    ASK_INTERVAL_MS,
    FIRST_MOVING_ASK_MS,
    OWNER_READ_INTERVAL_MS,
)
from goldcreststair.components.limits.granted_tokens import BorrowedBucket

MAX_DOUBLINGS = 8


@dataclass(slots=True)
class Waiter:
    """One request that waits for a token; the future's value is the retry time, 0 if admitted."""

    future: "asyncio.Future[int]"


@dataclass(slots=True)
class Borrower:
    """What this VM holds and knows of one customer whose home is elsewhere."""

    bucket: BorrowedBucket = field(default_factory=BorrowedBucket)
    waiters: deque[Waiter] = field(default_factory=deque)
    task: "asyncio.Task[None] | None" = None
    asked_at: Millis = Millis(-ASK_INTERVAL_MS)
    denied_until: Millis = Millis(0)
    owner_read_at: Millis = Millis(-OWNER_READ_INTERVAL_MS)
    home_moving: bool = False
    """Whether no VM was home at the last ask, as between a release and the next claim."""
    moving_asks: int = 0
    """Asks in a row that met no home."""
    silent_home: str | None = None
    """The session that left the last ask unanswered."""

    def note_home(self, found: bool) -> None:
        """Take note of whether an ask met the home."""
        self.moving_asks = 0 if found else self.moving_asks + 1
        self.home_moving = not found

    def get_interval(self) -> int:
        """Return how long after the last ask the next one is due."""
        if not self.count_waiting():
            return self.bucket.get_report_interval()
        if not self.home_moving:
            return ASK_INTERVAL_MS
        # A hand-over takes some 20 ms: asked only every 100 ms, most of the wait would be in vain.
        doublings = min(self.moving_asks, MAX_DOUBLINGS) - 1
        return min(ASK_INTERVAL_MS, FIRST_MOVING_ASK_MS << doublings)

    def add_waiter(self) -> Waiter:
        """Queue one request."""
        waiter = Waiter(asyncio.get_running_loop().create_future())
        self.waiters.append(waiter)
        return waiter

    def count_waiting(self) -> int:
        """Drop the waiters that gave up and count the rest."""
        self.waiters = deque(w for w in self.waiters if not w.future.done())
        return len(self.waiters)

    def serve_waiters(self, now: Millis) -> None:
        """Hand tokens to waiting requests in their order."""
        while self.count_waiting() and self.bucket.take(now):
            self.waiters.popleft().future.set_result(0)

    def refuse_waiters(self, retry_after_ms: int) -> None:
        """Refuse all that wait, at once."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.future.done():
                waiter.future.set_result(max(1, retry_after_ms))
