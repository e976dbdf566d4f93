"""Serves one caller's request: admission, placing, runs, and what follows each of them."""

import asyncio
import logging

from result import Err, Ok, Result

from goldcreststair.components.catalogue.models import CATALOGUE, CallKind, CatalogueCustomer
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.forwarding.models import RequestProgress
from goldcreststair.components.forwarding.protocols import Responder
from goldcreststair.components.forwarding.recovery import (
    NextRun,
    decide_next_run,
    refuse_after,
)
from goldcreststair.components.forwarding.relay import STATUS_OK, StreamRelay
from goldcreststair.components.forwarding.watch import SilenceWatch, async_watch
from goldcreststair.components.jobs.desk import JOB_DESK
from goldcreststair.components.online.budget import RetryBudget
from goldcreststair.components.online.errors import Refusal, RefusalCode
from goldcreststair.components.placement.admission import CallerTime, decide_return
from goldcreststair.components.placement.models import Placement, PlacementQuery
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.components.quotas.service import QUOTAS
from goldcreststair.components.requests.admission import (
    choose_service,
    find_end,
    find_route,
    identify_customer,
    needs_key,
)
from goldcreststair.components.requests.const import READY_RETRY_MS
from goldcreststair.components.requests.models import AdmittedRequest, CallerRequest
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.upstreams.dialect import RunCall
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd

_LOGGER = logging.getLogger(__name__)

STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503
STATUS_FAILED = 500


class ForwardingService:
    """Implements `Forwarding`."""

    def __init__(self, core: GatewayCore) -> None:
        """Use the components set up before."""
        self._core = core
        self._clock = core.clock
        self._board = core.blackboard
        self._links = core.get(FLEET_LINKS)
        self._quotas = core.get(QUOTAS)
        self._placement = core.get(PLACEMENT)
        self._desk = core.get(JOB_DESK)
        self._budget = RetryBudget()

    async def async_start(self) -> None:
        """Do nothing; requests come from the caller's side."""

    async def async_close(self) -> None:
        """Do nothing; requests end with their connections."""

    async def async_forward(self, request: CallerRequest, responder: Responder) -> None:
        """Serve one request to its end; cancel it when the caller goes away."""
        admitted = self.admit(request)
        if isinstance(admitted, Err):
            _log_refusal(request, admitted.err_value)
            responder.refuse(admitted.err_value)
            return
        if admitted.ok_value.route.kind is CallKind.BATCH:
            await self._async_submit(admitted.ok_value, responder)
            return
        await _Forwarded(self._core, admitted.ok_value, responder, self._budget).async_run()

    async def _async_submit(self, admitted: AdmittedRequest, responder: Responder) -> None:
        request = admitted.request
        left_ms = max(1, admitted.ends_at - self._clock.now())
        try:
            async with asyncio.timeout(left_ms / MS_PER_SECOND):
                submitted = await self._desk.async_submit(admitted)
        except TimeoutError:
            # Its transaction may still be made: nothing can be promised.
            message = "the store did not answer in time"
            submitted = Err(Refusal(message, RefusalCode.OUTCOME_UNKNOWN))
        if isinstance(submitted, Err):
            _log_refusal(request, submitted.err_value)
            responder.refuse(submitted.err_value)
        else:
            responder.accept()

    def admit(self, request: CallerRequest) -> Result[AdmittedRequest, Refusal]:
        """Return the request with its route and customer, or why it may not run."""
        catalogue = self._board.read(CATALOGUE)
        if not catalogue.version or self._links.is_isolated():
            message = "cut off from the fleet" if catalogue.version else "no catalogue yet"
            return Err(_refuse_for_now(message, RefusalCode.NOT_READY, READY_RETRY_MS))
        found = find_route(catalogue, request)
        if isinstance(found, Err):
            return found
        route = found.ok_value
        customer: CatalogueCustomer | None = None
        if needs_key(catalogue, route):
            identified = identify_customer(catalogue, request.key)
            if isinstance(identified, Err):
                return identified
            customer = identified.ok_value
        if customer is not None and route.kind is not CallKind.BATCH:
            wait_ms = self._quotas.admit(customer)
            if wait_ms is not None:
                message = f"rate and burst of {customer.name} are spent"
                code = RefusalCode.RATE_LIMITED
                return Err(Refusal(message, code, STATUS_TOO_MANY, True, wait_ms))
        service = choose_service(route, self._core.random.random())
        ends_at = find_end(request, route)
        return Ok(AdmittedRequest(request, route, customer, service, ends_at))


class _Forwarded:
    """One admitted request over all its runs."""

    def __init__(
        self,
        core: GatewayCore,
        admitted: AdmittedRequest,
        responder: Responder,
        budget: RetryBudget,
    ) -> None:
        self._core = core
        self._clock = core.clock
        self._placement = core.get(PLACEMENT)
        self._admitted = admitted
        self._request = admitted.request
        self._route = admitted.route
        self._responder = responder
        self._budget = budget
        self._progress = RequestProgress(last_event=admitted.request.resume_after)
        self._at = ""
        """Name of the upstream of the present run."""
        self._relay = StreamRelay(responder, core.clock, self._progress.last_event, self._on_data)
        self._relay.streams = admitted.route.kind is CallKind.STREAMING

    async def async_run(self) -> None:
        """Run until there is a final answer."""
        self._budget.earn()
        while True:
            placed = self._place()
            if isinstance(placed, Err):
                self._end_refused(placed.err_value)
                return
            end = await self._async_attempt(placed.ok_value)
            if isinstance(end, Ok) and self._is_final(end.ok_value):
                self._end_answered(end.ok_value)
                return
            error = end.err_value if isinstance(end, Err) else _turn_status(end.ok_value)
            self._note_failure(placed.ok_value, error)
            left_ms = self._left_ms()
            following = decide_next_run(self._progress, self._route, error, self._budget, left_ms)
            self._log("retry" if following is NextRun.ELSEWHERE else "give_up", error.message)
            if following is NextRun.GIVE_UP:
                if isinstance(end, Ok) and not self._relay.has_begun:
                    self._end_answered(end.ok_value)
                else:
                    self._end_refused(refuse_after(self._progress, error))
                return

    def _place(self) -> Result[Placement, Refusal]:
        query = PlacementQuery(
            self._admitted.service, frozenset(self._progress.excluded), self._admitted.affinity
        )
        controller = self._placement.controller
        chosen = controller.choose(query)
        if isinstance(chosen, Err):
            error = UpstreamError(chosen.err_value.message, UpstreamFailure.CONNECT)
            return Err(refuse_after(self._progress, error, chosen.err_value.retry_after_ms))
        placement = chosen.ok_value
        time = CallerTime(self._route.objective_ms, self._route.timeout_ms, self._left_ms())
        return_ms = None
        if not self._progress.attempts and not self._progress.excluded:
            return_ms = decide_return(placement, time, self._core.random)
        if return_ms is None:
            return Ok(placement)
        message = f"first event expected after {placement.expected_ms:.0f} ms"
        return Err(_refuse_for_now(message, RefusalCode.OVERLOADED, return_ms))

    async def _async_attempt(self, placement: Placement) -> Result[RunEnd, UpstreamError]:
        entry = placement.upstream
        call = self._make_call(entry.name)
        self._at = entry.name
        self._relay.begin_run()
        self._placement.begin(entry.name)
        began_at = self._clock.now()
        run = asyncio.ensure_future(self._core.runner.async_run(entry.address, call, self._relay))
        try:
            end = await self._async_follow(run, placement)
        finally:
            run.cancel()
            self._placement.end(entry.name)
        if isinstance(end, Ok) and not placement.wait_ms and self._relay.first_event_at:
            first_ms = self._relay.first_event_at - began_at
            service = self._admitted.service
            self._placement.controller.note_run(service, first_ms, self._clock.now() - began_at)
        return end

    async def _async_follow(
        self, run: "asyncio.Task[Result[RunEnd, UpstreamError]]", placement: Placement
    ) -> Result[RunEnd, UpstreamError]:
        if not self._route.repeatable or self._route.kind is not CallKind.STREAMING:
            return await run
        name = placement.upstream.name
        watch = SilenceWatch(
            self._clock,
            self._relay,
            placement.expected_ms,
            lambda: self._placement.controller.read_progress(name),
        )
        ended = await async_watch(run, watch, self._clock)
        if ended is None:
            return Err(UpstreamError("upstream fell silent", UpstreamFailure.SILENT))
        return ended

    def _make_call(self, upstream: str) -> RunCall:
        request = self._request
        return RunCall(
            request_id=request.request_id,
            method=request.method,
            host=request.host,
            path=request.target,
            headers=request.headers,
            body=request.body,
            customer=self._admitted.customer.name if self._admitted.customer else "",
            upstream=upstream,
            deadline_ms=max(1, self._left_ms()),
            resume_after=self._relay.last_event,
        )

    def _is_final(self, end: RunEnd) -> bool:
        if end.head.status >= STATUS_FAILED:
            return False
        return end.head.status != STATUS_OK or self._relay.is_whole

    def _note_failure(self, placement: Placement, error: UpstreamError) -> None:
        progress = self._progress
        entry = placement.upstream
        progress.excluded.add(entry.name)
        progress.last_event = self._relay.last_event
        if not error.not_run:
            progress.may_have_run = True
            progress.attempts += 1
        if error.failure in (UpstreamFailure.CONNECT, UpstreamFailure.SILENT):
            self._placement.note_down(entry)
        elif error.failure is UpstreamFailure.REFUSED:
            self._placement.controller.note_full(entry.name)

    def _end_answered(self, end: RunEnd) -> None:
        if end.head.status != STATUS_OK or self._route.kind is not CallKind.STREAMING:
            self._responder.answer(end.head, end.body)
        else:
            self._relay.begin()
            self._responder.finish()
        self._log("answered", f"status {end.head.status}")

    def _end_refused(self, refusal: Refusal) -> None:
        if self._relay.has_begun:
            # Part of the answer is out: only a closed connection shows that it is not whole.
            self._responder.abort()
        else:
            self._responder.refuse(refusal)
        _log_refusal(self._request, refusal, cut=self._relay.has_begun)

    def _left_ms(self) -> int:
        return self._admitted.ends_at - self._clock.now()

    def _on_data(self) -> None:
        self._placement.controller.note_progress(self._at)

    def _log(self, choice: str, reason: str) -> None:
        _LOGGER.info(
            "Request %s",
            choice,
            extra={
                "request": self._request.request_id,
                "upstream": self._at,
                "reason": reason,
                "attempts": self._progress.attempts,
                "last_event": self._relay.last_event,
                "age_ms": self._clock.now() - self._request.arrived_at,
            },
        )


def _turn_status(end: RunEnd) -> UpstreamError:
    if end.head.status >= STATUS_FAILED:
        message = f"upstream answered {end.head.status}"
        return UpstreamError(message, UpstreamFailure.LOST, end.head.status)
    return UpstreamError("events are missing", UpstreamFailure.INCOMPLETE)


def _refuse_for_now(message: str, code: RefusalCode, retry_ms: int) -> Refusal:
    return Refusal(message, code, STATUS_UNAVAILABLE, True, retry_ms)


def _log_refusal(request: CallerRequest, refusal: Refusal, *, cut: bool = False) -> None:
    _LOGGER.info(
        "Request refused",
        extra={
            "request": request.request_id,
            "code": refusal.code.value,
            "status": refusal.status,
            "not_run": refusal.not_run,
            "retry_after_ms": refusal.retry_after_ms,
            "reason": refusal.message,
            "cut": cut,
        },
    )
