"""HTTP routes of batch jobs."""

import re
from typing import Any, Final

import orjson
from result import Err
from tornado.web import stream_request_body

from goldcreststair.client_limits.http import count_body
from goldcreststair.components.batch.const import (
    DEFAULT_DUE_S,
    HEADER_DUE_IN_S,
    MAX_JOB_BYTES,
    RESULT_PAGE,
)
from goldcreststair.components.batch.errors import BatchError, BatchProblem
from goldcreststair.components.batch.models import JobProgress, Manifest, ResultLine
from goldcreststair.components.batch.parsing import PATHS, Defaults
from goldcreststair.components.batch.service import BATCH
from goldcreststair.components.batch.submission import Submission, SubmitOptions
from goldcreststair.components.caller_api.handler import CallerHandler
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.const import HEADER_IDEMPOTENCY_KEY
from goldcreststair.helpers.refusals import Refusal, RefusalCode, clear_not_run

RETRY_AFTER_MS: Final = 2_000
MAX_PAGE: Final = 1_000
MAX_DUE_S: Final = 30 * 24 * 3600

REFUSALS: Final = {
    BatchProblem.BAD_LINE: (RefusalCode.INVALID_REQUEST, 400, True, 0),
    BatchProblem.MISMATCH: (RefusalCode.INVALID_REQUEST, 422, True, 0),
    BatchProblem.UNAVAILABLE: (RefusalCode.NOT_READY, 503, True, RETRY_AFTER_MS),
    BatchProblem.OUTCOME_UNKNOWN: (RefusalCode.OUTCOME_UNKNOWN, 503, False, RETRY_AFTER_MS),
    BatchProblem.MISSING: (RefusalCode.INVALID_REQUEST, 404, True, 0),
}


def refuse_batch(error: BatchError) -> Refusal:
    """Turn a batch error into a refusal."""
    code, status, not_run, retry_after_ms = REFUSALS[error.problem]
    return Refusal(error.message, code, status, not_run, retry_after_ms)


class BatchHandler(CallerHandler):
    """What all batch routes share."""

    def read_number(self, name: str, default: int, low: int, high: int) -> int | None:
        """Return a number of the query, or refuse and return None."""
        text = self.get_query_argument(name, str(default))
        if re.fullmatch(r"\d{1,9}", text) and low <= int(text) <= high:
            return int(text)
        message = f"{name}: must be a number between {low} and {high}"
        self.refuse(Refusal(message, RefusalCode.INVALID_REQUEST, 400, True))
        return None


@stream_request_body
class BatchesHandler(BatchHandler):
    """Submit a job; list jobs."""

    _submission: Submission | None = None
    _is_complete = False
    """Whether the whole body has arrived."""

    async def prepare(self) -> None:  # type: ignore[override]
        """Identify the caller, take one token, and get ready for the body."""
        super().prepare()
        if self._finished or self.request.method != "POST":
            return
        admitted = await self.core.get(LIMITS).async_admit(self.identity.customer)
        if isinstance(admitted, Err):
            error = admitted.err_value
            code = RefusalCode.RATE_LIMITED
            self._refuse_submit(Refusal(error.message, code, 429, True, error.retry_after_ms))
            return
        due_in_s = self._read_due()
        if due_in_s is None:
            return
        path = self.get_query_argument("endpoint", PATHS[0])
        options = SubmitOptions(
            customer=self.identity.customer.name,
            idempotency_key=self.request.headers.get(HEADER_IDEMPOTENCY_KEY, ""),
            due_in_s=due_in_s,
            defaults=Defaults(path, self.get_query_argument("model", "")),
        )
        self._submission = self.core.get(BATCH).begin_submission(options)
        connection: Any = self.request.connection
        connection.set_max_body_size(MAX_JOB_BYTES)

    def _refuse_submit(self, refusal: Refusal) -> None:
        # An earlier request with the same key may have been accepted. If it were told "not run", a
        # caller could submit the job under another key, and every item would run twice.
        resent = HEADER_IDEMPOTENCY_KEY in self.request.headers
        passing = refusal.status in (429, 503)
        self.refuse(clear_not_run(refusal) if resent and passing else refusal)

    async def data_received(self, chunk: bytes) -> None:
        """Store items as they arrive; reading from the socket pauses meanwhile."""
        if self._submission is not None:
            await self._submission.async_feed(chunk)
            count_body(self.request, self._submission.count_held())

    def on_connection_close(self) -> None:
        """Free what was received of a job that will not be complete."""
        super().on_connection_close()
        if self._submission is not None and not self._is_complete:
            self._submission.discard()

    async def post(self) -> None:
        """Commit the job and answer with its id."""
        self._is_complete = True
        if self._submission is None:
            return
        outcome = await self._submission.async_finish()
        if isinstance(outcome, Err):
            self._refuse_submit(refuse_batch(outcome.err_value))
            return
        await self.finish(describe_manifest(outcome.ok_value))

    async def get(self) -> None:
        """Return some of the customer's jobs."""
        limit = self.read_number("limit", 100, 1, MAX_PAGE)
        if limit is None:
            return
        after = self.get_query_argument("after", "")
        customer = self.identity.customer.name
        listed = await self.core.get(BATCH).jobs.async_list(customer, after, limit)
        if isinstance(listed, Err):
            self.refuse(refuse_batch(listed.err_value))
            return
        data = [describe_manifest(manifest) for manifest in listed.ok_value]
        await self.finish({"object": "list", "data": data})

    def _read_due(self) -> int | None:
        text = self.request.headers.get(HEADER_DUE_IN_S, str(DEFAULT_DUE_S))
        if re.fullmatch(r"\d{1,9}", text) and 1 <= int(text) <= MAX_DUE_S:
            return int(text)
        message = f"{HEADER_DUE_IN_S}: must be seconds between 1 and {MAX_DUE_S}"
        self.refuse(Refusal(message, RefusalCode.INVALID_REQUEST, 400, True))
        return None


class JobHandler(BatchHandler):
    """One job."""

    async def get(self, job: str) -> None:
        """Return its progress."""
        customer = self.identity.customer.name
        found = await self.core.get(BATCH).jobs.async_describe(customer, job)
        if isinstance(found, Err):
            self.refuse(refuse_batch(found.err_value))
            return
        await self.finish(describe_progress(found.ok_value))


class CancelHandler(BatchHandler):
    """Cancel a job."""

    async def post(self, job: str) -> None:
        """Answer once the cancel is committed."""
        customer = self.identity.customer.name
        cancelled = await self.core.get(BATCH).jobs.async_cancel(customer, job)
        if isinstance(cancelled, Err):
            self.refuse(refuse_batch(cancelled.err_value))
            return
        await self.finish(describe_manifest(cancelled.ok_value))


class ResultsHandler(BatchHandler):
    """Results by page."""

    async def get(self, job: str) -> None:
        """Return results from item `after` on."""
        after = self.read_number("after", 0, 0, 999_999_999)
        limit = None if after is None else self.read_number("limit", RESULT_PAGE, 1, MAX_PAGE)
        if after is None or limit is None:
            return
        customer = self.identity.customer.name
        page = await self.core.get(BATCH).jobs.async_page(customer, job, after, limit)
        if isinstance(page, Err):
            self.refuse(refuse_batch(page.err_value))
            return
        data = [describe_result(line) for line in page.ok_value.lines]
        next_after = page.ok_value.next_after
        await self.finish({"data": data, "next_after": None if next_after < 0 else next_after})


class OutputHandler(BatchHandler):
    """All results as JSON lines."""

    async def get(self, job: str) -> None:
        """Stream the results; an error in the middle closes without the last chunk."""
        jobs = self.core.get(BATCH).jobs
        found = await jobs.async_find(self.identity.customer.name, job)
        if isinstance(found, Err):
            self.refuse(refuse_batch(found.err_value))
            return
        self.set_header("Content-Type", "application/jsonl")
        async for line in jobs.async_stream(found.ok_value):
            if isinstance(line, Err):
                # A normal end would make partial results look complete, so the connection is closed.
                if self._headers_written:
                    self.detach().close()
                else:
                    self.refuse(refuse_batch(line.err_value))
                return
            self.write(orjson.dumps(describe_result(line.ok_value)) + b"\n")
            if line.ok_value.index % RESULT_PAGE == 0:
                await self.flush()
        await self.finish()


def describe_manifest(manifest: Manifest) -> dict[str, Any]:
    """Return a job as callers see it."""
    return {
        "id": manifest.job,
        "object": "batch",
        "items": manifest.items,
        "created_at": manifest.created_s,
        "due_at": manifest.due_s,
        "cancelled": manifest.cancelled,
    }


def describe_progress(progress: JobProgress) -> dict[str, Any]:
    """Return a job and its counts as callers see them."""
    described = describe_manifest(progress.manifest)
    return described | {"state": progress.state, "counts": dict(progress.counts)}


def describe_result(line: ResultLine) -> dict[str, Any]:
    """Return one result in the format of OpenAI's batch output."""
    body = _read_json(line.body)
    done = line.state == "done"
    return {
        "index": line.index,
        "custom_id": line.custom_id,
        "state": line.state,
        "response": {"status_code": line.status, "body": body} if done else None,
        "error": None if done else {"code": line.state, "status_code": line.status, "body": body},
    }


def _read_json(text: str) -> Any:
    try:
        return orjson.loads(text) if text else None
    except ValueError:
        return text
