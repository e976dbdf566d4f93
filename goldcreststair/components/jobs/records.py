"""Reads and writes jobs in the store.

Accepting a job, committing its results, ending it and changing its owner are conditional
transactions.
"""

import logging
import secrets
from collections.abc import Sequence
from dataclasses import dataclass, replace

from result import Err, Ok, Result

from goldcreststair.clock import Clock
from goldcreststair.components.jobs.codec import (
    decode_open,
    decode_progress,
    decode_readable,
    decode_record,
    decode_results,
    encode_items,
    encode_open,
    encode_progress,
    encode_record,
    encode_result,
)
from goldcreststair.components.jobs.const import (
    ACCEPT_TRIES,
    MAX_COMMIT_ENTRIES,
    TABLE_ENDS,
    TABLE_JOBS,
    TABLE_OPEN,
    TABLE_ORDER,
    TABLE_PROGRESS,
    TABLE_RESULTS,
    USAGE_SERIALIZED_SHARE,
)
from goldcreststair.components.jobs.errors import JobError, JobLost, JobProblem
from goldcreststair.components.jobs.models import (
    ItemResult,
    JobKey,
    JobRecord,
    OpenJob,
    SavedProgress,
    Submission,
    Usage,
    make_progress_key,
    make_result_key,
    make_row_key,
)
from goldcreststair.store.errors import ObjectMissing, PlatformError, PlatformOutcomeUnknown
from goldcreststair.store.reading import async_list_all_parts, async_read_all
from goldcreststair.store.rows import (
    Committed,
    RowKey,
    RowRange,
    RowsConflict,
    RowStore,
    StoredRow,
    Transaction,
)

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ResultCommit:
    """A prepared transaction that appends results to a job."""

    before: OpenJob
    after: OpenJob
    puts: tuple[tuple[RowKey, bytes], ...]
    deletes: tuple[RowKey, ...] = ()
    """Rows of saved progress that the results make obsolete."""


class StoreClock:
    """Estimate of the store's clock, from the times that its answers carry."""

    def __init__(self, clock: Clock) -> None:
        """Start without an offset: until the first answer, both clocks are taken as equal."""
        self._clock = clock
        self._ahead_ms: int | None = None

    def update(self, store_ms: int) -> None:
        """Take the time that an answer carries, ms; it was read when the answer was sent."""
        ahead_ms = store_ms - self._clock.now()
        # Network delay only makes an answer's time look older, so the largest offset seen is the
        # most accurate one.
        if self._ahead_ms is None or ahead_ms > self._ahead_ms:
            self._ahead_ms = ahead_ms

    def to_local(self, store_ms: int) -> int:
        """Convert a time of the store's clock to this daemon's clock."""
        return store_ms - (self._ahead_ms or 0)


class JobRecords:
    """Data access for the tables of jobs; nothing else reads or writes them."""

    def __init__(self, store: RowStore, clock: Clock) -> None:
        """Access the tables through `store`."""
        self.store_clock = StoreClock(clock)
        self._store = store

    async def async_accept(
        self, submission: Submission, owner: str
    ) -> Result[tuple[JobRecord, OpenJob] | None, JobError]:
        """Accept a job; returns None if a job with this id was accepted before."""
        stored: JobRecord | None = None
        for _ in range(ACCEPT_TRIES):
            found = await self._async_read_usage(submission)
            if isinstance(found, Err):
                return found
            usage = found.ok_value
            if submission.key.job in usage.jobs:
                return Ok(None)
            limit = submission.max_waiting_tokens
            if limit and usage.tokens + submission.tokens > limit:
                message = f"{usage.tokens} tokens are waiting; the limit is {limit}"
                return Err(JobError(message, JobProblem.NO_ROOM))
            if stored is None:
                put = await self._async_put_items(submission, usage.now_ms)
                if isinstance(put, Err):
                    return put
                stored = put.ok_value
            serialize = usage.tokens + submission.tokens > limit * USAGE_SERIALIZED_SHARE
            order = usage.order_version if limit and serialize else None
            done = await self._async_commit_job(submission, stored, owner, order)
            if isinstance(done, Ok) or done.err_value.problem is not JobProblem.MISSING:
                return done
        return Err(JobError("gave up after conflicts with other submissions"))

    async def async_list_open(self, customer: str) -> Result[dict[str, OpenJob], PlatformError]:
        """Return the open jobs of a customer, by id."""
        read = await async_read_all(self._store, RowRange(TABLE_OPEN, customer))
        if isinstance(read, Err):
            return read
        self.store_clock.update(read.ok_value.now_ms)
        opened = decode_readable(read.ok_value.rows, decode_open)
        return Ok({job.key.job: job for job in opened})

    async def async_list_customers(self, *, open_only: bool) -> Result[list[str], PlatformError]:
        """Return the names of the customers that have jobs, or open jobs, whatever the catalogue says."""
        return await async_list_all_parts(self._store, TABLE_OPEN if open_only else TABLE_JOBS)

    async def async_find(self, key: JobKey) -> Result[JobRecord | None, PlatformError]:
        """Return a job as it was accepted, or None if it is unknown."""
        row = await self._async_read_row(make_row_key(TABLE_JOBS, key))
        return row.map(lambda found: None if found is None else decode_record(found))

    async def async_find_open(self, key: JobKey) -> Result[OpenJob | None, PlatformError]:
        """Return an open job; None if it is finished, ended or unknown."""
        row = await self._async_read_row(make_row_key(TABLE_OPEN, key))
        return row.map(lambda found: None if found is None else decode_open(found))

    async def async_read_results(
        self, key: JobKey, position: int
    ) -> Result[list[ItemResult], PlatformError]:
        """Return the committed results from a position on, as many as one read returns."""
        first = make_result_key(key, position)
        end = make_row_key(first.table, key, "0").key
        read = await self._store.async_read(RowRange(first.table, first.part, first.key, end))
        if isinstance(read, Err):
            return read
        self.store_clock.update(read.ok_value.now_ms)
        return Ok(decode_results(read.ok_value.rows))

    async def async_read_all_results(
        self, key: JobKey, count: int
    ) -> Result[list[ItemResult], PlatformError]:
        """Return the first `count` committed results."""
        results: list[ItemResult] = []
        while len(results) < count:
            read = await self.async_read_results(key, len(results))
            if isinstance(read, Err):
                return read
            if not read.ok_value:
                return Err(
                    PlatformError(f"only {len(results)} of {count} results of {key.job} found")
                )
            results += read.ok_value
        return Ok(results)

    async def async_read_object(self, name: str) -> Result[bytes, PlatformError]:
        """Return the encoded items of a job."""
        return await self._store.async_get_object(name)

    def prepare_commit(
        self,
        job: OpenJob,
        results: Sequence[tuple[int, ItemResult]],
        failures: tuple[int, ...],
        saved: Sequence[int] = (),
    ) -> ResultCommit:
        """Prepare the transaction that appends results at the next positions.

        `results` pairs the tokens of each item with its result; `saved` holds the numbers of those
        items that have a row of saved progress.
        """
        puts = [
            row
            for at, (_, result) in enumerate(results)
            for row in encode_result(job.key, job.committed + at, result)
        ]
        tokens = job.waiting_tokens - sum(tokens for tokens, _ in results)
        after = replace(
            job,
            committed=job.committed + len(results),
            waiting_tokens=max(0, tokens),
            failures=failures,
            commit=secrets.token_hex(4),
        )
        deletes = tuple(make_progress_key(job.key, number) for number in saved)
        return ResultCommit(job, after, tuple(puts), deletes)

    async def async_commit_results(
        self, commit: ResultCommit
    ) -> Result[OpenJob, PlatformError | JobLost]:
        """Commit results; returns the job's new state in the store.

        After an unknown outcome the same commit must be retried until the outcome is known. The
        commit is conditional on the version of the job's row, which acts as a fencing token: an
        owner that was paused and replaced cannot commit anything.
        """
        return await self._async_change(commit.before, commit.after, commit.puts, commit.deletes)

    async def async_close_job(self, job: OpenJob) -> Result[None, PlatformError | JobLost]:
        """Remove a job from the open ones, once the results of all its items are committed."""
        row = make_row_key(TABLE_OPEN, job.key)
        closing = Transaction(deletes=(row,), conditions=((row, job.version),))
        closed = await self._store.async_commit(closing)
        if isinstance(closed, Ok):
            return Ok(None)
        if isinstance(closed.err_value, RowsConflict):
            gone = not closed.err_value.rows
            return Ok(None) if gone else Err(JobLost("another daemon owns the job"))
        return closed

    async def async_assign(
        self, job: OpenJob, owner: str, progress: Sequence[SavedProgress] = ()
    ) -> Result[OpenJob, PlatformError | JobLost]:
        """Make a daemon the owner of a job, and save the progress of its items for that daemon."""
        puts = tuple(encode_progress(job.key, saved) for saved in progress)
        after = replace(job, owner=owner, commit=secrets.token_hex(4))
        return await self._async_change(job, after, puts)

    async def async_save_progress(
        self, job: OpenJob, progress: Sequence[SavedProgress]
    ) -> Result[None, PlatformError | RowsConflict]:
        """Save the progress of items; a `RowsConflict` means that the job's row has changed.

        The condition keeps rows of a job that is finished, ended or owned by another daemon from
        being written again: nothing would remove them.
        """
        open_row = make_row_key(TABLE_OPEN, job.key)
        puts = tuple(encode_progress(job.key, saved) for saved in progress)
        saving = Transaction(puts, conditions=((open_row, job.version),))
        committed = await self._store.async_commit(saving)
        return committed.map(lambda _: None)

    async def async_read_progress(self, key: JobKey) -> Result[list[SavedProgress], PlatformError]:
        """Return the saved progress of items whose results are not committed."""
        first = make_progress_key(key, 0)
        end = make_row_key(first.table, key, "0").key
        read = await async_read_all(self._store, RowRange(first.table, first.part, first.key, end))
        return read.map(lambda page: decode_progress(page.rows))

    async def async_end(self, key: JobKey) -> Result[bool, JobError]:
        """End a job on behalf of its caller; returns False if there is no such job."""
        for _ in range(ACCEPT_TRIES):
            record = await self.async_find(key)
            if isinstance(record, Err):
                return Err(JobError(record.err_value.message))
            found = record.ok_value
            if found is None:
                return Ok(False)
            opened = await self.async_find_open(key)
            if isinstance(opened, Err):
                return Err(JobError(opened.err_value.message))
            if opened.ok_value is None:
                return Ok(True)
            ended = await self._async_commit_end(found, opened.ok_value)
            if isinstance(ended, Ok):
                return Ok(True)
            # A conflict means that results were committed meanwhile. After an unknown outcome, the
            # next attempt reads whether the job is still open.
            if not isinstance(ended.err_value, RowsConflict | PlatformOutcomeUnknown):
                return Err(JobError(ended.err_value.message))
        return Err(JobError("the job kept changing while it was being ended", JobProblem.UNKNOWN))

    async def async_remove(self, record: JobRecord) -> Result[None, PlatformError]:
        """Permanently remove a finished job with its results and its object of items."""
        for table in (TABLE_PROGRESS, TABLE_RESULTS):
            cleared = await self._async_clear(table, record.key)
            if isinstance(cleared, Err):
                return cleared
        rows = (make_row_key(TABLE_JOBS, record.key), make_row_key(TABLE_ENDS, record.key))
        removed = await self._store.async_commit(Transaction(deletes=rows))
        if isinstance(removed, Err):
            return removed
        return await self.async_drop_object(record.body_object)

    async def _async_clear(self, table: str, key: JobKey) -> Result[None, PlatformError]:
        """Remove all rows of a job's items from one table."""
        first, end = make_row_key(table, key, "/"), make_row_key(table, key, "0").key
        while True:
            row_range = RowRange(table, first.part, first.key, end, limit=MAX_COMMIT_ENTRIES)
            read = await self._store.async_read(row_range)
            if isinstance(read, Err):
                return read
            rows = tuple(row.key for row in read.ok_value.rows)
            removed = (
                await self._store.async_commit(Transaction(deletes=rows)) if rows else Ok(None)
            )
            if isinstance(removed, Err):
                return removed
            if not read.ok_value.truncated:
                return Ok(None)

    async def async_drop_object(self, name: str) -> Result[None, PlatformError]:
        """Remove the object of a job's items; one that is already missing is no error."""
        dropped = await self._store.async_drop_object(name)
        if isinstance(dropped, Err) and not isinstance(dropped.err_value, ObjectMissing):
            return dropped
        return Ok(None)

    async def async_list_records(self, customer: str) -> Result[list[JobRecord], PlatformError]:
        """Return the first page of a customer's jobs, finished ones included."""
        read = await self._store.async_read(RowRange(TABLE_JOBS, customer))
        if isinstance(read, Err):
            return read
        self.store_clock.update(read.ok_value.now_ms)
        return Ok(decode_readable(read.ok_value.rows, decode_record))

    async def _async_read_usage(self, submission: Submission) -> Result[Usage, JobError]:
        customer, route = submission.key.customer, submission.route
        order = await self._store.async_read(RowRange(TABLE_ORDER, customer, route, limit=1))
        if isinstance(order, Err):
            return Err(JobError(order.err_value.message))
        listed = await self.async_list_open(customer)
        if isinstance(listed, Err):
            return Err(JobError(listed.err_value.message))
        page = order.ok_value
        self.store_clock.update(page.now_ms)
        version = next((row.version for row in page.rows if row.key.key == route), 0)
        jobs = listed.ok_value
        waiting = sum(job.waiting_tokens for job in jobs.values() if job.route == route)
        return Ok(Usage(waiting, jobs, version, page.now_ms))

    async def _async_put_items(
        self, submission: Submission, now_ms: int
    ) -> Result[JobRecord, JobError]:
        # Each submission writes an object of its own: one that another daemon wrote for the same
        # job may belong to a submission that was accepted, and must not be overwritten.
        name = f"{submission.key.customer}.{submission.key.job}.{secrets.token_hex(4)}"
        put = await self._store.async_put_object(name, encode_items(submission.items))
        if isinstance(put, Err):
            return Err(JobError(put.err_value.message))
        return Ok(
            JobRecord(
                submission.key,
                submission.route_host,
                submission.route_prefix,
                len(submission.items),
                now_ms,
                name,
                max_wait_ms=submission.max_wait_ms,
            )
        )

    async def _async_commit_job(
        self, submission: Submission, record: JobRecord, owner: str, order: int | None
    ) -> Result[tuple[JobRecord, OpenJob] | None, JobError]:
        """Commit a new job's rows; the problem `MISSING` means: read the usage again."""
        key = submission.key
        opened = OpenJob(
            key,
            owner,
            secrets.token_hex(4),
            0,
            submission.tokens,
            submission.route,
            tuple(0 for _ in submission.items),
            submission.customer_regions,
        )
        job_row, open_row = make_row_key(TABLE_JOBS, key), make_row_key(TABLE_OPEN, key)
        order_row = RowKey(TABLE_ORDER, key.customer, submission.route)
        conditions = [(job_row, 0)]
        puts = [(job_row, encode_record(record)), (open_row, encode_open(opened))]
        if submission.max_waiting_tokens:
            puts.append((order_row, opened.commit.encode()))
        if order is not None:
            conditions.append((order_row, order))
        transaction = Transaction(tuple(puts), conditions=tuple(conditions))
        committed = await self._store.async_commit(transaction)
        if isinstance(committed, Err) and isinstance(committed.err_value, PlatformOutcomeUnknown):
            # The first attempt may still take effect. Repeating the same transaction either commits
            # it or conflicts with it, which settles the outcome.
            committed = await self._store.async_commit(transaction)
            if isinstance(committed, Err) and not isinstance(committed.err_value, RowsConflict):
                return Err(JobError(committed.err_value.message, JobProblem.UNKNOWN))
        if isinstance(committed, Ok):
            self.store_clock.update(committed.ok_value.now_ms)
            return Ok((record, replace(opened, version=committed.ok_value.version)))
        return await self._async_read_conflict(committed.err_value, record, opened)

    async def _async_read_conflict(
        self, error: PlatformError, record: JobRecord, opened: OpenJob
    ) -> Result[tuple[JobRecord, OpenJob] | None, JobError]:
        if not isinstance(error, RowsConflict):
            return Err(JobError(error.message))
        rows = [row for row in error.rows if row.key.table == TABLE_JOBS]
        if not rows:
            return Err(JobError("another submission was committed first", JobProblem.MISSING))
        if decode_record(rows[0]).body_object != record.body_object:
            await self._store.async_drop_object(record.body_object)
            return Ok(None)
        # The conflict is with this daemon's own first attempt, whose answer was lost.
        return Ok((record, replace(opened, version=rows[0].version)))

    async def _async_change(
        self,
        before: OpenJob,
        after: OpenJob,
        puts: tuple[tuple[RowKey, bytes], ...],
        deletes: tuple[RowKey, ...] = (),
    ) -> Result[OpenJob, PlatformError | JobLost]:
        row = make_row_key(TABLE_OPEN, before.key)
        transaction = Transaction(
            (*puts, (row, encode_open(after))), deletes, ((row, before.version),)
        )
        committed = await self._store.async_commit(transaction)
        if isinstance(committed, Err) and isinstance(committed.err_value, PlatformOutcomeUnknown):
            committed = await self._store.async_commit(transaction)
        return self._read_change(committed, after)

    def _read_change(
        self, committed: Result[Committed, PlatformError | RowsConflict], after: OpenJob
    ) -> Result[OpenJob, PlatformError | JobLost]:
        if isinstance(committed, Ok):
            self.store_clock.update(committed.ok_value.now_ms)
            return Ok(replace(after, version=committed.ok_value.version))
        error = committed.err_value
        if not isinstance(error, RowsConflict):
            return Err(error)
        if not error.rows:
            return Err(JobLost("the job is no longer open", ended=True))
        found = decode_open(error.rows[0])
        # The row holds the id of its last change: if that is this change, only its answer was lost.
        if found.commit == after.commit:
            return Ok(found)
        return Err(JobLost(f"owned by {found.owner}"))

    async def _async_commit_end(
        self, record: JobRecord, opened: OpenJob
    ) -> Result[Committed, PlatformError | RowsConflict]:
        open_row = make_row_key(TABLE_OPEN, record.key)
        return await self._store.async_commit(
            Transaction(
                puts=(
                    (
                        make_row_key(TABLE_JOBS, record.key),
                        encode_record(replace(record, ended=True)),
                    ),
                    (make_row_key(TABLE_ENDS, record.key), opened.owner.encode()),
                ),
                deletes=(open_row,),
                conditions=((open_row, opened.version),),
            )
        )

    async def _async_read_row(self, key: RowKey) -> Result[StoredRow | None, PlatformError]:
        row_range = RowRange(key.table, key.part, key.key, key.key + "\0", limit=1)
        read = await self._store.async_read(row_range)
        if isinstance(read, Err):
            return read
        self.store_clock.update(read.ok_value.now_ms)
        rows = read.ok_value.rows
        return Ok(rows[0] if rows else None)
