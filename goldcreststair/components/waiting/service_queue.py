"""Starts the waiting requests of one service as slots become free, and refuses late ones; no I/O.

Designed for fleets of up to 25 daemons, in which a freed slot is known everywhere within about 50 ms.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.placement.models import Placement, PlacementQuery
from goldcreststair.components.placement.spreading import allot_starts
from goldcreststair.components.requests.models import AdmittedRequest
from goldcreststair.components.waiting.controller import WaitingQueue
from goldcreststair.components.waiting.models import Evicted, RefusalReason, WaitingRequest
from goldcreststair.components.waiting.other_daemons import OtherDaemons
from goldcreststair.components.waiting.room import MAX_QUEUED, RoomFinder
from goldcreststair.helpers.refusals import Refusal


@dataclass(slots=True)
class Waiter:
    """The coroutine of a waiting request."""

    admitted: AdmittedRequest
    decided: "asyncio.Future[Result[Placement, Refusal]]"

    def refuse(self, refusal: Refusal) -> None:
        """End the wait with a refusal, unless it has ended."""
        if not self.decided.done():
            self.decided.set_result(Err(refusal))


MakeRefusal = Callable[["ServiceQueue", AdmittedRequest, RefusalReason], Refusal]


class ServiceQueue:
    """The queue of one service, and what it may take of the free slots."""

    def __init__(
        self,
        name: str,
        clock: Clock,
        rng: random.Random,
        room: RoomFinder,
        others: OtherDaemons,
        make_refusal: MakeRefusal,
    ) -> None:
        """Create an empty queue for the service `name`."""
        self.name = name
        self.queue = WaitingQueue(clock)
        self.waiters: dict[int, Waiter] = {}
        self._clock = clock
        self._random = rng
        self._room = room
        self._others = others
        self._make_refusal = make_refusal
        self._key = hash_name(name)
        self._starts = 0
        """Requests that may still start by this daemon's share of the free slots."""
        self._allotted_at = Millis(0)
        self._is_starting = False
        """Whether a request has its placement and its run has not begun, so that no count has it."""

    def add(self, waiting: WaitingRequest, request: AdmittedRequest) -> Waiter:
        """Add a request; its waiter may be decided at once."""
        waiter = Waiter(request, asyncio.get_running_loop().create_future())
        self.waiters[waiting.number] = waiter
        self._refuse_evicted(self.queue.add(waiting))
        self._starts = max(1, self._starts)
        self.advance()
        return waiter

    def end_wait(self, waiting: WaitingRequest, waiter: Waiter) -> None:
        """Remove a request whose wait has ended in any way."""
        self.queue.remove(waiting.number)
        del self.waiters[waiting.number]
        if not waiter.decided.cancelled() and isinstance(waiter.decided.result(), Ok):
            # The run begins before the next callback of the event loop.
            self._clock.call_later(0, self._on_started)

    def advance(self) -> None:
        """Start the next request if there is room, and refuse those that cannot be in time."""
        if self._starts > 0 and not self._is_starting:
            self._start_next()
        capacity = self._room.read_capacity(self.name)
        self._refuse_evicted(self.queue.evict_late(capacity, self.count_others))

    def allot(self) -> None:
        """Set how many requests may start by the share of this daemon in all waiting requests."""
        self._allotted_at = self._clock.now()
        order = self.queue.list_order()
        if order:
            left_ms = order[0].due_at - self._clock.now()
            # A half-open upstream takes one trial request, not as many as it has slots.
            query = PlacementQuery(self.name, may_try=False)
            room = self._room.count_room(query, left_ms, MAX_QUEUED)
            self._starts = self._take_share(self.queue.read_level(order[0]), room)

    def allot_after(self, interval_ms: int) -> None:
        """Do the same unless it was done within the last `interval_ms`."""
        if self._clock.now() - self._allotted_at >= interval_ms:
            self.allot()

    def allot_ended_run(self) -> None:
        """Take this daemon's share of the slot that one of its own runs has freed."""
        self._starts += self._take_share(min(self.queue.count_by_level()), 1)

    def count_others(self, level: int) -> float:
        """Return how many requests of a level or a better one wait at other daemons."""
        if self._others.is_known():
            return self._others.count(self._key, level)
        return self.queue.count_up_to(level) * self._others.count_daemons()

    def choose(self, waiting: WaitingRequest) -> Placement | None:
        """Return a placement at an upstream with room for a request, or None if there is none."""
        left_ms = waiting.due_at - self._clock.now()
        # Places beyond the slots are left to customers that are not above their share, so that these
        # find one without a wait while the others take the slots that are left.
        queued = 0 if self.queue.is_ahead(waiting) else MAX_QUEUED
        return self._room.choose(waiting.query, left_ms, queued)

    def _on_started(self) -> None:
        self._is_starting = False
        self.advance()

    def _start_next(self) -> None:
        crowded: set[tuple[Regions, bool]] = set()
        for waiting in self.queue.list_order():
            waiter = self.waiters[waiting.number]
            kind = waiting.query.regions, self.queue.is_ahead(waiting)
            if kind in crowded or waiter.decided.done():
                continue
            placement = self.choose(waiting)
            if placement is not None:
                self.queue.serve(waiting)
                self._starts -= 1
                self._is_starting = True
                waiter.decided.set_result(Ok(placement))
                return
            crowded.add(kind)

    def _take_share(self, level: int, room: int) -> int:
        own, others = self.queue.count_up_to(level), round(self.count_others(level))
        return allot_starts(room, own, others, self._random)

    def _refuse_evicted(self, evicted: list[Evicted]) -> None:
        for each in evicted:
            waiter = self.waiters[each.request.number]
            waiter.refuse(self._make_refusal(self, waiter.admitted, each.reason))
