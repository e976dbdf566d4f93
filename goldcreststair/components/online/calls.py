"""Runs calls of plain services; a call that is not repeatable never runs twice."""

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.claims.protocols import Outcome
from goldcreststair.components.online.fair_queue import Ticket
from goldcreststair.components.online.gate import AdmissionGate
from goldcreststair.components.online.models import ServiceRequest
from goldcreststair.components.online.recovery import NextStep, RunProgress, decide_next
from goldcreststair.components.routing.protocols import ROUTER, RouteQuery
from goldcreststair.core import Core
from goldcreststair.helpers.refusals import Refusal, RefusalCode
from goldcreststair.helpers.retry_budget import RetryBudget
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.models import ServiceCall, ServiceResponse, Upstream


class ServiceRunner:
    """Places calls and retries those that are repeatable or certainly did not run."""

    def __init__(self, core: Core, gate: AdmissionGate) -> None:
        """Look up the components that are set up earlier."""
        self._clock = core.clock
        self._services = core.upstreams.services
        self._router = core.get(ROUTER)
        self._gate = gate
        self._budget = RetryBudget()

    async def async_run(
        self, request: ServiceRequest, deadline_at: Millis
    ) -> Result[Outcome, Refusal]:
        """Run one call until its response is complete or refused."""
        self._budget.record_request()
        progress = RunProgress(request.repeatable)
        excluded: frozenset[str] = frozenset()
        customer = request.identity.customer
        ticket = Ticket(request.request_id, customer.name, customer.weight, deadline_at)
        while True:
            query = RouteQuery(service=request.service, excluded=excluded)
            placed = await self._gate.async_enter(ticket, query)
            if isinstance(placed, Err):
                return Err(_make_placement_refusal(placed.err_value, progress))
            upstream = placed.ok_value
            answered = await self._async_attempt(request, upstream, deadline_at)
            if isinstance(answered, Ok):
                response = answered.ok_value
                return Ok(Outcome(response.status, response.content_type, response.body))
            error = answered.err_value
            progress.attempts += 1
            progress.may_have_run = progress.may_have_run or not error.not_run
            if error.failure is UpstreamFailure.REFUSED:
                self._router.mark_refused(upstream.name)
            remaining = deadline_at - self._clock.now()
            if decide_next(progress, error, self._budget, remaining) is NextStep.GIVE_UP:
                return Err(_make_failure_refusal(error, progress))
            excluded |= {upstream.name} if error.not_run else set()

    async def _async_attempt(
        self, request: ServiceRequest, upstream: Upstream, deadline_at: Millis
    ) -> Result[ServiceResponse, UpstreamError]:
        call = ServiceCall(
            request_id=request.request_id,
            method=request.method,
            path=request.path,
            body=request.body,
            timeout_ms=max(1, deadline_at - self._clock.now()),
            headers=request.headers,
        )
        ok = False
        try:
            answered = await self._services.async_call(upstream, call)
            ok = isinstance(answered, Ok)
            return answered
        finally:
            self._gate.leave(upstream.name, request.request_id, ok=ok)


def _make_placement_refusal(refusal: Refusal, progress: RunProgress) -> Refusal:
    if not progress.may_have_run:
        if refusal.code is RefusalCode.UNKNOWN_MODEL:
            return Refusal(refusal.message, RefusalCode.UNKNOWN_SERVICE, 404, True)
        return refusal
    return Refusal(refusal.message, RefusalCode.UPSTREAM_FAILED, 502, False, 1000)


def _make_failure_refusal(error: UpstreamError, progress: RunProgress) -> Refusal:
    if error.failure is UpstreamFailure.REJECTED:
        return Refusal(
            error.message, RefusalCode.INVALID_REQUEST, error.status, upstream_body=error.body
        )
    if not progress.may_have_run:
        return Refusal("no upstream accepted it", RefusalCode.NO_UPSTREAM, 503, True, 1000)
    if not progress.repeatable:
        message = "it may have run; its answer was lost"
        return Refusal(message, RefusalCode.OUTCOME_UNKNOWN, 409, False)
    return Refusal(error.message, RefusalCode.UPSTREAM_FAILED, 502, False, 1000)
