"""Queues requests for upstreams and refuses at once those that cannot meet their deadline."""

import asyncio
from dataclasses import dataclass, field

from result import Err, Ok, Result

from goldcreststair.clock import Millis, TimerHandle
from goldcreststair.components.online.const import MAX_QUEUED
from goldcreststair.components.online.fair_queue import FairQueue, Ticket
from goldcreststair.components.routing.protocols import ROUTER, NoUpstream, RouteQuery
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import Core
from goldcreststair.helpers.refusals import Refusal, RefusalCode
from goldcreststair.upstreams.models import Upstream

TICK_MS = 50
RATE_WINDOW_MS = 2000
MIN_RETRY_MS = 1000


@dataclass(slots=True)
class _Waiter:
    query: RouteQuery
    placed: "asyncio.Future[Result[Upstream, Refusal]]"


@dataclass(slots=True)
class _RouteQueue:
    """Requests waiting for one model or service, kept apart so that none blocks another."""

    tickets: FairQueue = field(default_factory=FairQueue)
    waiters: dict[str, _Waiter] = field(default_factory=dict)
    started: list[Millis] = field(default_factory=list)
    """When requests were placed recently, including those that did not wait."""


class AdmissionGate:
    """Places requests on upstreams, immediately or in a fair order."""

    def __init__(self, core: Core) -> None:
        """Look up the router; no request is queued yet."""
        self._clock = core.clock
        self._router = core.get(ROUTER)
        self._route_queues: dict[tuple[str, str, bool], _RouteQueue] = {}
        self._timer: TimerHandle | None = None

    def close(self) -> None:
        """Refuse all waiting requests."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        refusal = Refusal("this VM is stopping", RefusalCode.NOT_READY, 503, True, MIN_RETRY_MS)
        for route_queue in self._route_queues.values():
            for waiter in route_queue.waiters.values():
                _resolve(waiter, Err(refusal))
            route_queue.waiters.clear()
        self._route_queues.clear()

    async def async_enter(self, ticket: Ticket, query: RouteQuery) -> Result[Upstream, Refusal]:
        """Wait for an upstream for the request; it is already counted as in flight there."""
        # Suspects have queues of their own: one that waits for isolation must not block others.
        key = (query.model, query.service, query.alone)
        route_queue = self._route_queues.setdefault(key, _RouteQueue())
        if query.admitted or not route_queue.waiters:
            chosen = self._place(route_queue, ticket, query)
            if isinstance(chosen, Ok):
                return Ok(chosen.ok_value)
            if not chosen.err_value.known and not route_queue.waiters:
                # Callers may name any model; keeping a queue for each name would leak memory.
                del self._route_queues[key]
            if query.admitted or not chosen.err_value.saturated:
                return Err(make_route_refusal(chosen.err_value))
        refused = self._check_wait(route_queue, ticket)
        if refused is not None:
            return Err(refused)
        waiter = _Waiter(query, asyncio.get_running_loop().create_future())
        route_queue.tickets.push(ticket)
        route_queue.waiters[ticket.request_id] = waiter
        self._arm()
        try:
            return await waiter.placed
        except asyncio.CancelledError:
            self._drop(route_queue, ticket, waiter)
            raise

    def leave(self, upstream: str, request_id: str, *, ok: bool) -> None:
        """End a run and place the next waiting requests."""
        self._router.release(upstream, request_id)
        self._router.end(upstream, ok=ok)
        self.dispatch()

    def dispatch(self) -> None:
        """Place waiting requests while upstreams have room; refuse those past their deadline."""
        for route_queue in self._route_queues.values():
            self._expire(route_queue)
            while route_queue.waiters and self._dispatch_next(route_queue):
                pass

    def _dispatch_next(self, route_queue: _RouteQueue) -> bool:
        """Place the next request of a queue; returns whether another may follow."""
        probe = self._router.choose(next(iter(route_queue.waiters.values())).query)
        if isinstance(probe, Err) and probe.err_value.saturated:
            return False
        ticket = route_queue.tickets.pop()
        if ticket is None:
            return False
        waiter = route_queue.waiters.pop(ticket.request_id)
        if waiter.placed.done():
            return True
        chosen = self._place(route_queue, ticket, waiter.query)
        _resolve(waiter, chosen.map_err(make_route_refusal))
        return True

    def _place(
        self, route_queue: _RouteQueue, ticket: Ticket, query: RouteQuery
    ) -> Result[Upstream, NoUpstream]:
        chosen = self._router.choose(query)
        if isinstance(chosen, Ok):
            self._router.begin(chosen.ok_value.name)
            if query.alone:
                # Isolated in the same step as the choice: otherwise the next suspect could get
                # the same upstream, and a crash could not be attributed to one of the two.
                self._router.isolate(chosen.ok_value.name, ticket.request_id)
            route_queue.started.append(self._clock.now())
        return chosen

    def _check_wait(self, route_queue: _RouteQueue, ticket: Ticket) -> Refusal | None:
        wait_ms = route_queue.tickets.estimate_wait_ms(
            ticket.customer, ticket.weight, self._rate(route_queue)
        )
        full = route_queue.tickets.count(ticket.customer) >= MAX_QUEUED
        if not full and self._clock.now() + wait_ms < ticket.deadline_at:
            return None
        # Refused at once, while the caller still has time to try another VM.
        retry_ms = max(MIN_RETRY_MS, wait_ms // 2)
        message = f"the wait would be about {wait_ms} ms"
        return Refusal(message, RefusalCode.OVERLOADED, 503, True, retry_ms)

    def _rate(self, route_queue: _RouteQueue) -> float:
        horizon = self._clock.now() - RATE_WINDOW_MS
        route_queue.started = [at for at in route_queue.started if at > horizon]
        return len(route_queue.started) * MS_PER_SECOND / RATE_WINDOW_MS

    def _expire(self, route_queue: _RouteQueue) -> None:
        for ticket in route_queue.tickets.expire(self._clock.now()):
            waiter = route_queue.waiters.pop(ticket.request_id)
            message = "the deadline passed before an upstream was free"
            refusal = Refusal(message, RefusalCode.DEADLINE, 503, True, MIN_RETRY_MS)
            _resolve(waiter, Err(refusal))

    def _drop(self, route_queue: _RouteQueue, ticket: Ticket, waiter: _Waiter) -> None:
        route_queue.waiters.pop(ticket.request_id, None)
        route_queue.tickets.remove(ticket)
        # Cancelled just as it was placed: the request must not stay counted as in flight.
        if waiter.placed.done() and not waiter.placed.cancelled():
            placed = waiter.placed.result()
            if isinstance(placed, Ok):
                self.leave(placed.ok_value.name, ticket.request_id, ok=False)

    def _arm(self) -> None:
        if self._timer is None:
            self._timer = self._clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        # Load reports may free room, and deadlines pass, without any run ending.
        self._timer = None
        self.dispatch()
        if any(route_queue.waiters for route_queue in self._route_queues.values()):
            self._arm()


def _resolve(waiter: _Waiter, placed: Result[Upstream, Refusal]) -> None:
    if not waiter.placed.done():
        waiter.placed.set_result(placed)


def make_route_refusal(error: NoUpstream) -> Refusal:
    """Return the refusal for a failed routing."""
    if not error.known:
        return Refusal(error.message, RefusalCode.UNKNOWN_MODEL, 404, True)
    if error.software_gone:
        return Refusal(error.message, RefusalCode.CANNOT_RESUME, 503, True)
    return Refusal(error.message, RefusalCode.NO_UPSTREAM, 503, True, error.retry_after_ms)
