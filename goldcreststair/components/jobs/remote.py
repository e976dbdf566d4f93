"""Calls about jobs that another daemon executes while the store is unavailable here."""

import logging
from collections.abc import Callable, Iterable
from typing import Any, Final

from result import Err, Ok, Result

from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.fleet.peer_requests import PeerRequestKind
from goldcreststair.components.fleet.protocols import FleetLinks
from goldcreststair.components.jobs.codec import decode_items, encode_items
from goldcreststair.components.jobs.errors import JobError, JobProblem
from goldcreststair.components.jobs.models import ItemResult, JobKey, ResultPage, Submission
from goldcreststair.components.jobs.protocols import Jobs
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import JobCall, JobReply, JobVerb, ResultRow

_LOGGER = logging.getLogger(__name__)

CALL_TIMEOUT_MS: Final = 2_500
"""Timeout of one call: the other daemon's store answers within 300 ms even when it is slow, and a
reader may wait a second for a result."""
MAX_TRIES: Final = 2
"""Daemons to try; the next one is tried only if the call was certainly not sent to the one
before."""


class RemoteJobs:
    """Implements `Jobs` by calling daemons that can reach the store."""

    def __init__(
        self,
        links: FleetLinks,
        choose: Callable[[list[str]], str],
        filter_by_region: Callable[[Iterable[str], Regions], list[str]],
    ) -> None:
        """Call over `links`; `choose` picks one of the sessions that `filter_by_region` returns."""
        self._links = links
        self._choose = choose
        self._filter_by_region = filter_by_region

    @property
    def is_available(self) -> bool:
        """Whether there is a daemon to call."""
        return bool(self._links.list_with_store_access())

    async def async_submit(self, submission: Submission) -> Result[None, JobError]:
        """Have another daemon accept a job."""
        call = JobCall(
            JobVerb.SUBMIT,
            submission.key.customer,
            submission.key.job,
            submission.route_host,
            submission.route_prefix,
            submission.route,
            encode_items(submission.items),
            submission.max_wait_ms,
            submission.max_waiting_tokens,
            customer_regions=sorted(submission.customer_regions),
        )
        return (await self._async_call_any(call, submission.regions)).map(lambda _: None)

    async def async_read_results(
        self, key: JobKey, position: int, wait_ms: int
    ) -> Result[ResultPage, JobError]:
        """Have another daemon read results."""
        call = JobCall(JobVerb.READ, key.customer, key.job, position=position, wait_ms=wait_ms)
        answer = await self._async_call_any(call)
        if isinstance(answer, Err):
            return answer
        reply = answer.ok_value
        results = tuple(ItemResult(r.item, r.done, r.text) for r in reply.results or ())
        return Ok(ResultPage(reply.total or 0, results, position + len(results)))

    async def async_read_body(self, key: JobKey, item: str) -> Result[bytes, JobError]:
        """Have another daemon read the body of an item."""
        call = JobCall(JobVerb.BODY, key.customer, key.job, item=item)
        return (await self._async_call_any(call)).map(lambda reply: reply.body or b"")

    async def async_end(self, key: JobKey) -> Result[None, JobError]:
        """Have another daemon end a job."""
        return (await self._async_call_any(JobCall(JobVerb.END, key.customer, key.job))).map(
            lambda _: None
        )

    async def _async_call_any(
        self, call: JobCall, regions: Regions = None
    ) -> Result[Any, JobError]:
        error = JobError("no reachable daemon has access to the store")
        for _ in range(MAX_TRIES):
            sessions = self._filter_by_region(self._links.list_with_store_access(), regions)
            if not sessions:
                break
            answer = await self._links.async_request(
                self._choose(sessions), PeerRequestKind.JOB, encode_struct(call), CALL_TIMEOUT_MS
            )
            if isinstance(answer, Ok):
                return _read_reply(answer.ok_value)
            message, not_sent = answer.err_value.message, answer.err_value.not_sent
            problem = JobProblem.UNAVAILABLE if not_sent else JobProblem.UNKNOWN
            error = JobError(message, problem)
            if not not_sent:
                break
        return Err(error)


def _read_reply(encoded: bytes) -> Result[Any, JobError]:
    decoded = decode_struct(JobReply, encoded)
    if isinstance(decoded, Err):
        return Err(JobError(decoded.err_value.message, JobProblem.UNKNOWN))
    reply = decoded.ok_value
    if reply.problem:
        return Err(JobError(reply.message, JobProblem(reply.problem)))
    return Ok(reply)


async def async_answer_call(jobs: Jobs, question: bytes) -> bytes:
    """Execute a call for another daemon; returns the encoded reply."""
    decoded = decode_struct(JobCall, question)
    if isinstance(decoded, Err):
        reply = JobReply(JobProblem.UNAVAILABLE.value, decoded.err_value.message)
    else:
        reply = await _async_execute(jobs, decoded.ok_value)
    return encode_struct(reply)


async def _async_execute(jobs: Jobs, call: Any) -> JobReply:
    key = JobKey(call.customer, call.job)
    if call.verb == JobVerb.SUBMIT:
        submission = Submission(
            key,
            call.route_host,
            call.route_prefix,
            call.route,
            decode_items(call.items),
            call.max_wait_ms,
            call.max_waiting_tokens,
            customer_regions=frozenset(call.customer_regions or ()),
        )
        return _make_reply(await jobs.async_submit(submission))
    if call.verb == JobVerb.READ:
        read = await jobs.async_read_results(key, call.position, call.wait_ms)
        if isinstance(read, Err):
            return _make_reply(read)
        page = read.ok_value
        rows = [ResultRow(r.item_id, r.done, r.text, 1) for r in page.results]
        return JobReply("", "", page.total, rows)
    if call.verb == JobVerb.BODY:
        body = await jobs.async_read_body(key, call.item)
        return JobReply("", "", body=body.ok_value) if isinstance(body, Ok) else _make_reply(body)
    return _make_reply(await jobs.async_end(key))


def _make_reply(outcome: Result[Any, JobError]) -> JobReply:
    if isinstance(outcome, Err):
        return JobReply(outcome.err_value.problem.value, outcome.err_value.message)
    return JobReply("", "")
