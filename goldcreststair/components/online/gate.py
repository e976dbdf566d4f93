"""Where requests wait for an upstream, and where those that cannot make it are refused at once."""

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
class _Lane:
    """Those who wait for one model or service, so that none blocks another."""

    queue: FairQueue = field(default_factory=FairQueue)
    waiters: dict[str, _Waiter] = field(default_factory=dict)
    started: list[Millis] = field(default_factory=list)
    """When requests left the queue lately."""


class AdmissionGate:
    """Places requests on upstreams, at once or in a fair order."""

    def __init__(self, core: Core) -> None:
        """Start with nobody waiting."""
        self._clock = core.clock
        self._router = core.get(ROUTER)
        self._lanes: dict[tuple[str, str, bool], _Lane] = {}
        self._timer: TimerHandle | None = None

    def close(self) -> None:
        """Refuse all who wait."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        refusal = Refusal("this VM is stopping", RefusalCode.NOT_READY, 503, True, MIN_RETRY_MS)
        for lane in self._lanes.values():
            for waiter in lane.waiters.values():
                _settle(waiter, Err(refusal))
            lane.waiters.clear()
        self._lanes.clear()

    async def async_enter(self, ticket: Ticket, query: RouteQuery) -> Result[Upstream, Refusal]:
        """Return the upstream that runs the request now, already counted as in flight there."""
        # Suspects have lanes of their own: one that waits to run apart must not hold others up.
        key = (query.model, query.service, query.alone)
        lane = self._lanes.setdefault(key, _Lane())
        if query.admitted or not lane.waiters:
            chosen = self._place(lane, ticket, query)
            if isinstance(chosen, Ok):
                return Ok(chosen.ok_value)
            if not chosen.err_value.known and not lane.waiters:
                # Callers may name any model; a lane for each name would grow without bound.
                del self._lanes[key]
            if query.admitted or not chosen.err_value.saturated:
                return Err(make_route_refusal(chosen.err_value))
        refused = self._check_wait(lane, ticket)
        if refused is not None:
            return Err(refused)
        waiter = _Waiter(query, asyncio.get_running_loop().create_future())
        lane.queue.push(ticket)
        lane.waiters[ticket.request_id] = waiter
        self._arm()
        try:
            return await waiter.placed
        except asyncio.CancelledError:
            self._drop(lane, ticket, waiter)
            raise

    def leave(self, upstream: str, request_id: str, *, ok: bool) -> None:
        """End a run and place whoever goes next."""
        self._router.release(upstream, request_id)
        self._router.end(upstream, ok=ok)
        self.dispatch()

    def dispatch(self) -> None:
        """Place as many waiting requests as upstreams have room for; refuse those out of time."""
        for lane in self._lanes.values():
            self._expire(lane)
            while lane.waiters and self._dispatch_next(lane):
                pass

    def _dispatch_next(self, lane: _Lane) -> bool:
        """Place the next request of a lane; returns whether another may follow."""
        probe = self._router.choose(next(iter(lane.waiters.values())).query)
        if isinstance(probe, Err) and probe.err_value.saturated:
            return False
        ticket = lane.queue.pop()
        if ticket is None:
            return False
        waiter = lane.waiters.pop(ticket.request_id)
        if waiter.placed.done():
            return True
        chosen = self._place(lane, ticket, waiter.query)
        _settle(waiter, chosen.map_err(make_route_refusal))
        return True

    def _place(
        self, lane: _Lane, ticket: Ticket, query: RouteQuery
    ) -> Result[Upstream, NoUpstream]:
        chosen = self._router.choose(query)
        if isinstance(chosen, Ok):
            self._router.begin(chosen.ok_value.name)
            if query.alone:
                # In the same step as the choice: a moment later the next suspect would have
                # been given the same upstream, and neither crash could be told from the other.
                self._router.isolate(chosen.ok_value.name, ticket.request_id)
            lane.started.append(self._clock.now())
        return chosen

    def _check_wait(self, lane: _Lane, ticket: Ticket) -> Refusal | None:
        wait_ms = lane.queue.estimate_wait_ms(ticket.customer, ticket.weight, self._rate(lane))
        full = lane.queue.count(ticket.customer) >= MAX_QUEUED
        if not full and self._clock.now() + wait_ms < ticket.deadline_at:
            return None
        # Told at once, while the caller still has time to ask another VM.
        retry_ms = max(MIN_RETRY_MS, wait_ms // 2)
        message = f"the wait would be about {wait_ms} ms"
        return Refusal(message, RefusalCode.OVERLOADED, 503, True, retry_ms)

    def _rate(self, lane: _Lane) -> float:
        horizon = self._clock.now() - RATE_WINDOW_MS
        lane.started = [at for at in lane.started if at > horizon]
        return len(lane.started) * MS_PER_SECOND / RATE_WINDOW_MS

    def _expire(self, lane: _Lane) -> None:
        for ticket in lane.queue.expire(self._clock.now()):
            waiter = lane.waiters.pop(ticket.request_id)
            message = "the deadline came before an upstream was free"
            refusal = Refusal(message, RefusalCode.DEADLINE, 503, True, MIN_RETRY_MS)
            _settle(waiter, Err(refusal))

    def _drop(self, lane: _Lane, ticket: Ticket, waiter: _Waiter) -> None:
        lane.waiters.pop(ticket.request_id, None)
        lane.queue.remove(ticket)
        # Cancelled in the very moment it was placed: the place must not stay counted.
        if waiter.placed.done() and not waiter.placed.cancelled():
            placed = waiter.placed.result()
            if isinstance(placed, Ok):
                self.leave(placed.ok_value.name, ticket.request_id, ok=False)

    def _arm(self) -> None:
        if self._timer is None:
            self._timer = self._clock.call_later(TICK_MS, self._tick)

    def _tick(self) -> None:
        # Room also appears when reports change and deadlines come without any run ending.
        self._timer = None
        self.dispatch()
        if any(lane.waiters for lane in self._lanes.values()):
            self._arm()


def _settle(waiter: _Waiter, placed: Result[Upstream, Refusal]) -> None:
    if not waiter.placed.done():
        waiter.placed.set_result(placed)


def make_route_refusal(error: NoUpstream) -> Refusal:
    """Turn a missing upstream into a refusal."""
    if not error.known:
        return Refusal(error.message, RefusalCode.UNKNOWN_MODEL, 404, True)
    return Refusal(error.message, RefusalCode.NO_UPSTREAM, 503, True, error.retry_after_ms)
