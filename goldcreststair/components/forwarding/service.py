"""Serves one caller's request: admission, placing, runs, and what follows each of them."""

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
from goldcreststair.components.crash_marks.service import CRASH_MARKS
from goldcreststair.components.fleet.models import OWN_STATE
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.forwarding.const import RETRY_NOW_MS, SETTLE_LOOK_MS
from goldcreststair.components.forwarding.durations import RequestDurations
from goldcreststair.components.forwarding.protocols import Responder
from goldcreststair.components.forwarding.refusals import log_refusal, refuse_for_now
from goldcreststair.components.forwarding.request import ForwardedRequest, ForwardingTools
from goldcreststair.components.forwarding.watch import SilenceWatcher
from goldcreststair.components.jobs.api import JOB_API
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.components.quotas.service import QUOTAS
from goldcreststair.components.requests.admission import (
    choose_ready_retry_ms,
    choose_service,
    find_end,
    find_route,
    identify_customer,
    needs_key,
)
from goldcreststair.components.requests.models import AdmittedRequest, CallerRequest
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.fingerprints import make_call_fingerprint
from goldcreststair.helpers.refusals import Refusal, RefusalCode
from goldcreststair.helpers.retry_budget import RetryBudget

_LOGGER = logging.getLogger(__name__)

STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503
STATUS_FAILED = 500


def _is_rate_limited(admitted: Result[AdmittedRequest, Refusal]) -> bool:
    return isinstance(admitted, Err) and admitted.err_value.code is RefusalCode.RATE_LIMITED


class ForwardingService:
    """Implements `Forwarding`."""

    def __init__(self, core: GatewayCore) -> None:
        """Use the components set up before."""
        self._core = core
        self._clock = core.clock
        self._board = core.blackboard
        self._links = core.get(FLEET_LINKS)
        self._quotas = core.get(QUOTAS)
        self._marks = core.get(CRASH_MARKS)
        self._desk = core.get(JOB_API)
        self._placement = core.get(PLACEMENT)
        self._durations = RequestDurations(core.clock)
        self.budget = RetryBudget()
        self._tools = ForwardingTools(core, self.budget, SilenceWatcher(core.clock))

    async def async_start(self) -> None:
        """Do nothing; requests come from the caller's side."""

    async def async_close(self) -> None:
        """Do nothing; requests end with their connections."""

    async def async_forward(self, request: CallerRequest, responder: Responder) -> None:
        """Serve one request to its end; cancel it when the caller goes away."""
        admitted = await self._async_admit(request)
        if isinstance(admitted, Err):
            self._core.meters.count_request("none", admitted.err_value.code.value)
            log_refusal(request, admitted.err_value)
            responder.refuse(admitted.err_value)
            return
        if admitted.ok_value.route.kind is CallKind.BATCH:
            await self._async_submit(admitted.ok_value, responder)
            return
        began_at = self._clock.now()
        await ForwardedRequest(self._tools, admitted.ok_value, responder).async_run()
        self._durations.note(admitted.ok_value.route.name, began_at)

    async def _async_admit(self, request: CallerRequest) -> Result[AdmittedRequest, Refusal]:
        """Return what `admit` does, once this daemon knows enough to tell."""
        admitted = self.admit(request)
        # After a loss of all VMs their callers return within moments, before the daemons hear each other:
        # with a two-hundredth part of each quota, they would refuse most of those who had waited.
        while _is_rate_limited(admitted) and self._quotas.is_settling():
            await self._clock.async_sleep(SETTLE_LOOK_MS)
            admitted = self.admit(request)
        return admitted

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
            log_refusal(request, submitted.err_value)
            responder.refuse(submitted.err_value)
        else:
            responder.accept()

    def admit(self, request: CallerRequest) -> Result[AdmittedRequest, Refusal]:
        """Return the request with its route and customer, or why it may not run."""
        catalogue = self._board.read(CATALOGUE)
        if not catalogue.version or self._links.is_isolated():
            message = "cut off from the fleet" if catalogue.version else "no catalogue yet"
            away = self._core.store_contact.is_away()
            retry_ms = choose_ready_retry_ms(request.deadline_ms, store_away=away)
            return Err(refuse_for_now(message, RefusalCode.NOT_READY, retry_ms))
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
        if self._marks.is_refused(fingerprint):
            message = f"fingerprint {fingerprint} crashed the upstreams that ran it"
            code = RefusalCode.QUARANTINED
            return Err(Refusal(message, code, STATUS_UNAVAILABLE, True))
        ends_at = find_end(request, route)
        if not self._can_end(route, ends_at):
            message = "this VM leaves before the answer would be whole"
            return Err(refuse_for_now(message, RefusalCode.NOT_READY, RETRY_NOW_MS))
        if customer is not None and route.kind is not CallKind.BATCH:
            wait_ms = self._quotas.admit(customer)
            if wait_ms is not None:
                seen = self._quotas.describe(customer)
                message = f"rate and burst of {customer.name} are spent: {seen}"
                code = RefusalCode.RATE_LIMITED
                return Err(Refusal(message, code, STATUS_TOO_MANY, True, wait_ms))
        service = choose_service(route, self._core.random.random())
        return Ok(AdmittedRequest(request, route, customer, service, ends_at, fingerprint))

    def _can_end(self, route: Route, ends_at: Millis) -> bool:
        """Return whether a request that is placed now ends before this daemon does."""
        own = self._board.read(OWN_STATE)
        if own.ends_at is None or ends_at <= own.ends_at:
            return True
        now = self._clock.now()
        read_traits = self._placement.controller.read_traits
        run_ms = max(read_traits(weighted.service).run_ms for weighted in route.services)
        # A request sent away at once is served elsewhere; one that is cut is lost, or run twice. While
        # callers may still be led here, sent away they could come back: then the usual run counts.
        if own.named_until is None or now >= own.named_until:
            longest_ms = self._durations.read_longest_ms(route.name)
            # A VM that has just started knows no length: the request may take all of its time.
            if longest_ms is None:
                return False
            run_ms = max(run_ms, longest_ms)
        return now + run_ms <= own.ends_at
