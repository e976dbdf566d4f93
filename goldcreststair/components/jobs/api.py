"""Calls about jobs from outside: identifies the customer, and turns errors into refusals."""

from typing import Final

from result import Err, Ok, Result

from goldcreststair.components.catalogue.models import CATALOGUE
from goldcreststair.components.catalogue.regions import find_request_regions
from goldcreststair.components.fleet.models import OWN_STATE
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.jobs.errors import JobError, JobProblem
from goldcreststair.components.jobs.models import JobKey, ResultPage, Submission
from goldcreststair.components.jobs.protocols import JOB_ROUTER
from goldcreststair.components.jobs.reading import limit_wait
from goldcreststair.components.requests.admission import identify_customer
from goldcreststair.components.requests.const import NOT_READY_RETRY_MS
from goldcreststair.components.requests.models import AdmittedRequest
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import ComponentKey
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.refusals import Refusal, RefusalCode

RETRY_MS: Final = 1_000
"""Retry delay for callers while the store does not answer: its outages last seconds."""
NO_ROOM_RETRY_MS: Final = 1_500
"""Retry delay for callers at their limit of waiting tokens: some items finish meanwhile."""

_CODES: Final = {
    JobProblem.INVALID: (RefusalCode.INVALID_REQUEST, True, 0),
    JobProblem.NO_ROOM: (RefusalCode.QUOTA_FULL, True, NO_ROOM_RETRY_MS),
    JobProblem.UNAVAILABLE: (RefusalCode.NOT_READY, True, RETRY_MS),
    JobProblem.UNKNOWN: (RefusalCode.OUTCOME_UNKNOWN, False, 0),
    JobProblem.MISSING: (RefusalCode.UNKNOWN_ROUTE, True, 0),
}


def refuse_job(error: JobError) -> Refusal:
    """Convert a job error into a refusal."""
    code, not_run, retry_ms = _CODES[error.problem]
    message = f"{error.field}: {error.message}" if error.field else error.message
    return Refusal(message, code, not_run=not_run, retry_after_ms=retry_ms)


class JobApi:
    """Serves the calls about jobs for an adapter."""

    def __init__(self, core: GatewayCore) -> None:
        """Serve calls through the job router."""
        self._core = core
        self._jobs = core.get(JOB_ROUTER)
        self._links = core.get(FLEET_LINKS)

    async def async_submit(self, admitted: AdmittedRequest) -> Result[None, Refusal]:
        """Accept the job that a request submits."""
        request, route = admitted.request, admitted.route
        if admitted.customer is None or route.batch is None or request.method != "POST":
            message = "jobs are submitted by POST with a customer's key"
            return Err(Refusal(message, RefusalCode.INVALID_REQUEST, 400, True))
        items = self._core.adapter.submission_reader.decode(request.body)
        if isinstance(items, Err):
            return Err(refuse_job(items.err_value))
        submission = Submission(
            key=JobKey(admitted.customer.name, request.request_id),
            route_host=route.host,
            route_prefix=route.prefix,
            route=route.name,
            items=items.ok_value,
            max_wait_ms=route.batch.max_wait_ms,
            max_waiting_tokens=route.batch.max_waiting_tokens,
            regions=find_request_regions(route, admitted.customer),
            customer_regions=admitted.customer.regions,
        )
        submitted = await self._jobs.async_submit(submission)
        return submitted.map_err(refuse_job)

    def identify(self, key: str, job: str) -> Result[JobKey, Refusal]:
        """Return the key of a job, for the customer that an API key belongs to."""
        catalogue = self._core.blackboard.read(CATALOGUE)
        if not catalogue.version or self._links.is_isolated():
            message = "no catalogue yet, or cut off from the fleet"
            return Err(Refusal(message, RefusalCode.NOT_READY, 503, True, NOT_READY_RETRY_MS))
        customer = identify_customer(catalogue, key)
        return customer.map(lambda found: JobKey(found.name, job))

    async def async_read_results(
        self, key: JobKey, position: int, wait_ms: int
    ) -> Result[ResultPage, Refusal]:
        """Return the results from a position on; waits at most a second for the first one."""
        own, now = self._core.blackboard.read(OWN_STATE), self._core.clock.now()
        wait_ms = limit_wait(min(wait_ms, MS_PER_SECOND), own, now)
        page = await self._jobs.async_read_results(key, position, wait_ms)
        return page.map_err(refuse_job)

    async def async_read_body(self, key: JobKey, item: str) -> Result[bytes, Refusal]:
        """Return the body of an item."""
        body = await self._jobs.async_read_body(key, item)
        return body.map_err(refuse_job)

    async def async_end(self, key: JobKey) -> Result[None, Refusal]:
        """End a job."""
        ended = await self._jobs.async_end(key)
        return Ok(None) if isinstance(ended, Ok) else Err(refuse_job(ended.err_value))


JOB_API: Final = ComponentKey[JobApi]("job_api")
