"""Lets requests wait for a slot, and connects their queue to placement, beacons and the catalogue."""

import logging
from collections.abc import Callable
from itertools import count

from result import Err, Ok, Result

from goldcreststair.clock import Millis, TimerHandle
from goldcreststair.components.catalogue.models import CATALOGUE, Catalogue
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.fleet.models import FLEET, OWN_STATE, OwnState, VmState
from goldcreststair.components.fleet.protocols import FLEET_LINKS, hash_name
from goldcreststair.components.placement.admission import (
    TimeBudget,
    choose_retry_ms,
    decide_retry_after,
)
from goldcreststair.components.placement.models import Placement
from goldcreststair.components.placement.queries import make_query
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.components.requests.admission import identify_customer
from goldcreststair.components.requests.models import AdmittedRequest
from goldcreststair.components.waiting.const import (
    CHECK_MS,
    EVEN_FILL,
    LEAVING_RETRY_MS,
    MAX_LEVEL,
    MIN_ALLOT_MS,
    REALLOT_MS,
)
from goldcreststair.components.waiting.models import RefusalReason, WaitingRequest
from goldcreststair.components.waiting.other_daemons import OtherDaemons
from goldcreststair.components.waiting.room import RoomFinder
from goldcreststair.components.waiting.service_queue import ServiceQueue
from goldcreststair.features import Feature
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.refusals import Refusal, RefusalCode, make_retryable_refusal
from goldcreststair.wire.generated.gateway.ttypes import Beacon, WaitingRequests

_LOGGER = logging.getLogger(__name__)

DEFAULT_WEIGHT = 1.0
"""Weight of customers without a rate."""


class WaitingService:
    """Implements `Waiting`."""

    def __init__(self, core: GatewayCore) -> None:
        """Create the service and register for beacons and freed slots."""
        self._core = core
        self._clock = core.clock
        self._features = core.get(FEATURES)
        self._room = RoomFinder(core.get(PLACEMENT).controller)
        self._links = core.get(FLEET_LINKS)
        self._others = OtherDaemons(core.clock, self._count_daemons)
        self._numbers = count(1)
        self._queues: dict[str, ServiceQueue] = {}
        self._unsubscribe: list[Callable[[], None]] = []
        self._timer: TimerHandle | None = None
        self._links.add_beacon_contributor(self._contribute)
        self._links.subscribe_beacons(self._on_beacon, self._others.forget)
        core.get(PLACEMENT).on_run_end(self._on_run_end)

    async def async_start(self) -> None:
        """Subscribe to the catalogue and to this daemon's state."""
        board = self._core.blackboard
        self._unsubscribe = [
            board.subscribe(CATALOGUE, self._on_catalogue),
            board.subscribe(OWN_STATE, self._on_own_state),
        ]

    async def async_close(self) -> None:
        """Refuse the waiting requests as not run."""
        for unsubscribe in self._unsubscribe:
            unsubscribe()
        self._unsubscribe.clear()
        self._refuse_all()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def count_waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return sum(len(each.queue) for each in self._queues.values())

    async def async_admit(
        self, request: AdmittedRequest, placement: Placement
    ) -> Result[Placement, Refusal]:
        """Return the placement of a request that no upstream has had yet, or its refusal."""
        if not self._features.is_active(Feature.WAITING_QUEUE, request.service) or self._is_leaving:
            return self._decide_without_queue(request, placement)
        queue = self._find_queue(request.service)
        waiting = self._make_waiting(queue, request)
        decided: Result[Placement, Refusal] | None
        if self._room.is_view_old():
            decided = self._decide_by_fill(queue, request, waiting, placement)
        else:
            decided = self._decide_at_once(queue, request, waiting, placement)
        if decided is None:
            return await self._async_wait(queue, request, waiting)
        if isinstance(decided, Ok):
            queue.queue.shares.record_served()
        return decided

    @property
    def _is_leaving(self) -> bool:
        return self._core.blackboard.read(OWN_STATE).state is VmState.LEAVING

    def _decide_without_queue(
        self, request: AdmittedRequest, placement: Placement
    ) -> Result[Placement, Refusal]:
        retry_ms = decide_retry_after(placement, self._make_budget(request), self._core.random)
        if retry_ms is None:
            return Ok(placement)
        message = f"first event expected after {placement.expected_ms:.0f} ms"
        return Err(make_retryable_refusal(message, RefusalCode.OVERLOADED, retry_ms))

    def _decide_at_once(
        self,
        queue: ServiceQueue,
        request: AdmittedRequest,
        waiting: WaitingRequest,
        placement: Placement,
    ) -> Result[Placement, Refusal] | None:
        """Return the placement or refusal of a request that does not wait; None if it does."""
        if self._room.has_free_slot(placement):
            return Ok(placement)
        queue.queue.shares.note_contention()
        time = self._make_budget(request)
        if time.is_return:
            # After a second refusal the request would time out; a late answer is better than none.
            if placement.expected_ms <= time.left_ms:
                return Ok(placement)
            return Err(self._refuse(queue, request, RefusalReason.LATE))
        if len(queue.queue):
            return None
        chosen = queue.choose(waiting)
        return None if chosen is None else Ok(chosen)

    def _decide_by_fill(
        self,
        queue: ServiceQueue,
        request: AdmittedRequest,
        waiting: WaitingRequest,
        placement: Placement,
    ) -> Result[Placement, Refusal]:
        """Return the placement or refusal of a request where the view of the fleet is old.

        A slot that becomes free is known here 200 to 300 ms later, and a request that waited for it
        would be late. The sum over all upstreams is nevertheless known well, as about as many runs
        end as begin meanwhile.
        """
        survey = self._room.survey(waiting.query)
        if survey.fill >= EVEN_FILL:
            queue.queue.shares.note_contention()
            spread = self._room.choose_evenly(request.service, survey, self._core.random)
            placement = spread or placement
        time = self._make_budget(request)
        is_servable = time.is_return and placement.expected_ms <= time.left_ms
        if is_servable or survey.fill < queue.queue.read_fill_limit(waiting):
            return Ok(placement)
        cause = f"{survey.fill:.2f} of the slots in use"
        return Err(self._refuse(queue, request, RefusalReason.LATE, cause))

    async def _async_wait(
        self, queue: ServiceQueue, request: AdmittedRequest, waiting: WaitingRequest
    ) -> Result[Placement, Refusal]:
        began_at = self._clock.now()
        waiter = queue.add(waiting, request)
        if not waiter.decided.done():
            self._announce_wait(queue, request, waiting)
        try:
            decided = await waiter.decided
        finally:
            queue.end_wait(waiting, waiter)
            self._core.meters.observe_queue_wait(self._clock.now() - began_at)
        return decided

    def _announce_wait(
        self, queue: ServiceQueue, request: AdmittedRequest, waiting: WaitingRequest
    ) -> None:
        extra = {
            "request": request.request.request_id,
            "customer": waiting.customer,
            "rank": waiting.rank,
            "waiting_here": len(queue.queue),
            "waiting_elsewhere": queue.count_others(queue.queue.read_level(waiting)),
            "left_ms": waiting.due_at - self._clock.now(),
        }
        _LOGGER.info("Request waits", extra=extra)
        self._links.schedule_beacon()
        if self._timer is None:
            self._timer = self._clock.call_later(CHECK_MS, self._on_timer)

    def _refuse(
        self,
        queue: ServiceQueue,
        request: AdmittedRequest,
        reason: RefusalReason,
        cause: str = "",
    ) -> Refusal:
        """Return a refusal; its message names the cause, by default the expected wait."""
        self._core.meters.count_queue_refusal(reason.value)
        capacity = self._room.read_capacity(queue.name)
        ahead = len(queue.queue) + queue.count_others(MAX_LEVEL)
        wait_ms = capacity.queued_ms + (ahead + 1) * capacity.slot_interval_ms
        left_ms = self._make_budget(request).left_ms
        retry_ms = choose_retry_ms(wait_ms, left_ms, self._core.random)
        first_ms = wait_ms + capacity.first_ms
        cause = cause or f"{ahead} requests wait, first event expected after {first_ms:.0f} ms"
        return make_retryable_refusal(f"{cause}: {reason}", RefusalCode.OVERLOADED, retry_ms)

    def _refuse_all(self) -> None:
        message = "this VM shuts down"
        refusal = make_retryable_refusal(message, RefusalCode.NOT_READY, LEAVING_RETRY_MS)
        for queue in self._queues.values():
            for waiter in queue.waiters.values():
                waiter.refuse(refusal)

    def _find_queue(self, service: str) -> ServiceQueue:
        if service not in self._queues:
            self._queues[service] = ServiceQueue(
                service, self._clock, self._core.random, self._room, self._others, self._refuse
            )
        return self._queues[service]

    def _make_waiting(self, queue: ServiceQueue, request: AdmittedRequest) -> WaitingRequest:
        customer, route = request.customer, request.route
        name, weight = (customer.name, customer.rate_per_s) if customer else ("", 0.0)
        # Callers that return were counted when they came first.
        is_return = self._make_budget(request).is_return
        shares = queue.queue.shares
        start = 0.0 if is_return else shares.record_arrival(name, weight or DEFAULT_WEIGHT)
        return WaitingRequest(
            number=next(self._numbers),
            query=make_query(request),
            rank=_find_rank(request),
            customer=name,
            weight=weight or DEFAULT_WEIGHT,
            start=start,
            due_at=Millis(request.request.arrived_at + route.objective_ms),
            size=len(request.request.body),
        )

    def _make_budget(self, request: AdmittedRequest) -> TimeBudget:
        route = request.route
        left_ms = request.ends_at - self._clock.now()
        return TimeBudget(route.objective_ms, route.timeout_ms, left_ms)

    def _contribute(self, beacon: Beacon) -> None:
        waiting = [
            WaitingRequests(hash_name(queue.name), level, number)
            for queue in self._queues.values()
            for level, number in queue.queue.count_by_level().items()
        ]
        if waiting:
            beacon.waiting = waiting

    def _on_beacon(self, session: str, beacon: Beacon) -> None:
        counts = {(w.upstream_service, w.priority): w.count for w in beacon.waiting or ()}
        self._others.apply(session, counts)
        for queue in self._list_occupied():
            queue.allot_after(MIN_ALLOT_MS)
            queue.advance()

    def _count_daemons(self) -> int:
        """Return the number of other daemons that this one reaches."""
        return max(0, self._core.blackboard.read(FLEET).reachable - 1)

    def _on_run_end(self, upstream: str) -> None:
        service = self._room.find_service(upstream)
        for queue in self._list_occupied():
            if queue.name == service:
                queue.allot_ended_run()
                queue.advance()

    def _on_timer(self) -> None:
        self._timer = None
        for queue in self._list_occupied():
            queue.allot_after(REALLOT_MS)
            queue.advance()
        if self._list_occupied():
            self._timer = self._clock.call_later(CHECK_MS, self._on_timer)

    def _list_occupied(self) -> list[ServiceQueue]:
        return [queue for queue in self._queues.values() if len(queue.queue)]

    def _on_own_state(self, own: OwnState) -> None:
        if own.state is VmState.LEAVING:
            self._refuse_all()

    def _on_catalogue(self, catalogue: Catalogue) -> None:
        """Refuse the waiting requests whose key was withdrawn."""
        for queue in self._queues.values():
            for waiter in queue.waiters.values():
                if waiter.admitted.customer is None:
                    continue
                identified = identify_customer(catalogue, waiter.admitted.request.key)
                if isinstance(identified, Err):
                    waiter.refuse(identified.err_value)


def _find_rank(request: AdmittedRequest) -> int:
    customer = request.customer
    if customer is not None and customer.priority is not None:
        return customer.priority
    return request.route.priority
