"""Service that admits callers' requests and forwards them to upstreams or to the job API."""

import asyncio
import logging

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import (
    CATALOGUE,
    CallKind,
    CatalogueCustomer,
    Route,
)
from goldcreststair.components.crash_marks.service import CRASH_TRACKER
from goldcreststair.components.fleet.models import FLEET, OWN_STATE
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.forwarding.const import SETTLE_POLL_MS
from goldcreststair.components.forwarding.leave import find_basis
from goldcreststair.components.forwarding.protocols import Responder
from goldcreststair.components.forwarding.refusals import (
    log_refusal,
    make_leave_refusal,
    make_quarantine_refusal,
)
from goldcreststair.components.forwarding.request import ForwardedRequest, ForwardingContext
from goldcreststair.components.forwarding.resumption import async_find_origin
from goldcreststair.components.forwarding.returning import ReturnLimit
from goldcreststair.components.forwarding.silence_detector import SilenceMonitor
from goldcreststair.components.jobs.api import JOB_API
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.components.quotas.service import QUOTAS
from goldcreststair.components.reader_buffers.models import ReaderIdentity
from goldcreststair.components.reader_buffers.protocols import READER_BUFFERS
from goldcreststair.components.requests.admission import (
    choose_not_ready_retry_ms,
    choose_service,
    find_deadline,
    find_route,
    identify_customer,
    needs_key,
)
from goldcreststair.components.requests.models import (
    AdmissionBasis,
    AdmittedRequest,
    CallerRequest,
)
from goldcreststair.components.stream_origins.protocols import STREAM_ORIGINS
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.crash_evidence import list_suspects
from goldcreststair.helpers.fingerprints import make_call_fingerprint
from goldcreststair.helpers.refusals import (
    Refusal,
    RefusalCode,
    make_retryable_refusal,
)
from goldcreststair.helpers.retry_budget import RetryBudget

_LOGGER = logging.getLogger(__name__)

STATUS_TOO_MANY = 429
STATUS_FAILED = 500


def _is_rate_limited(admitted: Result[AdmittedRequest, Refusal]) -> bool:
    return isinstance(admitted, Err) and admitted.err_value.code is RefusalCode.RATE_LIMITED


class ForwardingService:
    """Implements `Forwarding`."""

    def __init__(self, core: GatewayCore) -> None:
        """Initialise from the components that were set up before."""
        self._core = core
        self._clock = core.clock
        self._board = core.blackboard
        self._links = core.get(FLEET_LINKS)
        self._quotas = core.get(QUOTAS)
        self._crash_tracker = core.get(CRASH_TRACKER)
        self._job_api = core.get(JOB_API)
        self._placement = core.get(PLACEMENT)
        self._origins = core.get(STREAM_ORIGINS)
        self._return_limit = ReturnLimit(core)
        self.budget = RetryBudget()
        self._context = ForwardingContext(core, self.budget, SilenceMonitor(core.clock))

    async def async_start(self) -> None:
        """Do nothing; the callers' connections drive this service."""

    async def async_close(self) -> None:
        """Do nothing; closing the callers' connections cancels their requests."""

    async def async_forward(self, request: CallerRequest, responder: Responder) -> None:
        """Serve one request to its end; cancel the coroutine when the caller disconnects."""
        admitted = await self._async_admit_when_settled(request)
        if isinstance(admitted, Ok):
            admitted = await self._async_find_origin(admitted.ok_value)
        if isinstance(admitted, Err):
            self._core.meters.count_request("none", admitted.err_value.code.value)
            log_refusal(request, admitted.err_value)
            responder.refuse(admitted.err_value)
            return
        if admitted.ok_value.route.kind is CallKind.BATCH:
            await self._async_submit(admitted.ok_value, responder)
            return
        resumable, ends_at = admitted.ok_value.route.resumable, admitted.ok_value.ends_at
        identity = ReaderIdentity(request.request_id, resumable, ends_at)
        await self._core.get(READER_BUFFERS).async_serve(
            responder,
            identity,
            lambda caller: ForwardedRequest(self._context, admitted.ok_value, caller).async_run(),
        )

    async def _async_admit_when_settled(
        self, request: CallerRequest
    ) -> Result[AdmittedRequest, Refusal]:
        """Admit a request; a rate-limit refusal is retried while the quotas still settle."""
        admitted = self.admit(request)
        # After a loss of all VMs the callers return within moments, before the daemons receive each
        # other's beacons. A daemon that admits only a two-hundredth of each quota would refuse most of
        # the callers that had waited.
        while _is_rate_limited(admitted) and self._quotas.is_settling():
            await self._clock.async_sleep(SETTLE_POLL_MS)
            admitted = self.admit(request)
        return admitted

    async def _async_find_origin(
        self, admitted: AdmittedRequest
    ) -> Result[AdmittedRequest, Refusal]:
        found = await async_find_origin(self._origins, admitted)
        if isinstance(found, Err) and admitted.customer is not None:
            self._quotas.refund(admitted.customer)
        return found

    async def _async_submit(self, admitted: AdmittedRequest, responder: Responder) -> None:
        request = admitted.request
        remaining_ms = max(1, admitted.ends_at - self._clock.now())
        try:
            async with asyncio.timeout(remaining_ms / MS_PER_SECOND):
                submitted = await self._job_api.async_submit(admitted)
        except TimeoutError:
            # The transaction may still be committed, so its outcome is unknown.
            message = "the store did not answer in time"
            submitted = Err(Refusal(message, RefusalCode.OUTCOME_UNKNOWN))
        if isinstance(submitted, Err):
            log_refusal(request, submitted.err_value)
            responder.refuse(submitted.err_value)
        else:
            responder.accept()

    def admit(self, request: CallerRequest) -> Result[AdmittedRequest, Refusal]:
        """Return the request with its route and customer, or the refusal if it may not run."""
        catalogue = self._board.read(CATALOGUE)
        if not catalogue.version or self._links.is_isolated():
            message = "cut off from the fleet" if catalogue.version else "no catalogue yet"
            unavailable = self._core.store_contact.is_unavailable()
            retry_ms = choose_not_ready_retry_ms(request.deadline_ms, store_unavailable=unavailable)
            return Err(make_retryable_refusal(message, RefusalCode.NOT_READY, retry_ms))
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
        name = customer.name if customer is not None else ""
        fingerprint = make_call_fingerprint(name, request.method, request.target, request.body)
        suspects = list_suspects(fingerprint, request.prompt_parts)
        if self._crash_tracker.must_refuse(suspects):
            return Err(make_quarantine_refusal(may_have_run=False))
        ends_at = find_deadline(request, route)
        basis = self._find_basis(route, ends_at)
        if basis is None:
            has_other_vm = bool(self._board.read(FLEET).list_ready())
            return Err(make_leave_refusal(has_other_vm=has_other_vm))
        returned = self._return_limit.check(route, ends_at)
        if isinstance(returned, Err):
            return returned
        if customer is not None and route.kind is not CallKind.BATCH:
            wait_ms = self._quotas.admit(customer)
            if wait_ms is not None:
                usage = self._quotas.describe(customer)
                message = f"rate and burst of {customer.name} are spent: {usage}"
                code = RefusalCode.RATE_LIMITED
                return Err(Refusal(message, code, STATUS_TOO_MANY, True, wait_ms))
        self._return_limit.count(returned.ok_value)
        service = choose_service(route, self._core.random.random())
        return Ok(
            AdmittedRequest(request, route, customer, service, ends_at, suspects, basis=basis)
        )

    def _find_basis(self, route: Route, ends_at: Millis) -> AdmissionBasis | None:
        """Return why a request that starts now ends before this daemon shuts down; None if it may not."""
        own, now = self._board.read(OWN_STATE), self._clock.now()
        return find_basis(own, route, now, ends_at, lambda: self._read_run_ms(route))

    def _read_run_ms(self, route: Route) -> float:
        """Return the usual time of an answer of a route, at its slowest service, ms."""
        read_run_times = self._placement.controller.read_run_times
        return max(read_run_times(weighted.service).run_ms for weighted in route.services)
