"""Operations on jobs for callers: progress, results, cancel and lists."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.components.batch.const import CHUNK_ITEMS
from goldcreststair.components.batch.directory import Directory
from goldcreststair.components.batch.errors import BatchError, BatchProblem
from goldcreststair.components.batch.fan_out import async_map
from goldcreststair.components.batch.models import (
    STATE_NAMES,
    ChunkRecord,
    IndexEntry,
    ItemState,
    JobProgress,
    Manifest,
    ResultLine,
)
from goldcreststair.components.batch.objects import async_get_object
from goldcreststair.components.batch.progress import async_count_items, async_read_chunk
from goldcreststair.components.batch.records import (
    decode_index,
    decode_items,
    decode_results,
    list_chunk_keys,
    make_index_key,
    make_job_key,
)
from goldcreststair.components.batch.submission import async_read_manifest
from goldcreststair.core import Core
from goldcreststair.journal import Subject
from goldcreststair.wire.generated.batch.ttypes import (
    JobCancel,
    JobChanged,
    RecordList,
    ReplyStatus,
)


@dataclass(frozen=True, slots=True)
class ResultPage:
    """Some results in the order of the items."""

    lines: tuple[ResultLine, ...]
    next_after: int
    """Value of `after` for the next page; -1 at the end."""


class Jobs:
    """Reads and cancels jobs through the owners of their records."""

    def __init__(self, core: Core, directory: Directory) -> None:
        """Use the directory."""
        self._core = core
        self._directory = directory

    async def async_find(self, customer: str, job: str) -> Result[Manifest, BatchError]:
        """Return a job's manifest; another customer's job counts as missing."""
        found = await async_read_manifest(self._directory, job)
        if isinstance(found, Err):
            return found
        manifest = found.ok_value
        if manifest is None or manifest.customer != customer:
            return Err(BatchError("no such job", BatchProblem.MISSING, job))
        return Ok(manifest)

    async def async_describe(self, customer: str, job: str) -> Result[JobProgress, BatchError]:
        """Return a job with its progress."""
        found = await self.async_find(customer, job)
        if isinstance(found, Err):
            return found
        counts = await async_count_items(self._directory, found.ok_value)
        if isinstance(counts, Err):
            return counts
        return Ok(JobProgress(found.ok_value, counts.ok_value))

    async def async_list(
        self, customer: str, after: str, limit: int
    ) -> Result[tuple[Manifest, ...], BatchError]:
        """Return some of a customer's jobs in the order of their ids."""
        prefix = make_index_key(customer)
        request = RecordList(prefix, prefix, f"{prefix}{after}" if after else "", limit)
        reply = await self._directory.async_ask(prefix, request)
        if reply.status != ReplyStatus.OK:
            return Err(BatchError("the list's owner cannot be reached"))
        entries = [decode_index(value) for value in (reply.value or b"").split(b"\n") if value]
        found = await async_map(self._async_read_entry, entries)
        manifests = []
        for outcome in found:
            if isinstance(outcome, Err):
                return outcome
            if outcome.ok_value is not None:
                manifests.append(outcome.ok_value)
        return Ok(tuple(manifests))

    async def async_cancel(self, customer: str, job: str) -> Result[Manifest, BatchError]:
        """Commit the cancel, then push it to the owners of the chunks."""
        found = await self.async_find(customer, job)
        if isinstance(found, Err):
            return found
        reply = await self._directory.async_ask(make_job_key(job), JobCancel(job))
        if reply.status == ReplyStatus.UNKNOWN:
            message = "it is not known whether the job was cancelled; send the request again"
            return Err(BatchError(message, BatchProblem.OUTCOME_UNKNOWN, job))
        if reply.status != ReplyStatus.OK:
            return Err(BatchError("the store cannot be reached", job=job))
        self._core.journal.record(Subject.JOB, job, "cancel", "requested by its customer")
        keys = list_chunk_keys(found.ok_value)
        owners = {self._directory.find_owner(key) for key in keys}
        for owner in owners - {None}:
            await self._async_push(str(owner), job)
        return await self.async_find(customer, job)

    async def async_page(
        self, customer: str, job: str, after: int, limit: int
    ) -> Result[ResultPage, BatchError]:
        """Return up to `limit` results of items from index `after` on."""
        found = await self.async_find(customer, job)
        if isinstance(found, Err):
            return found
        lines: list[ResultLine] = []
        keys = list_chunk_keys(found.ok_value)
        for number in range(max(0, after) // CHUNK_ITEMS, len(keys)):
            chunk = await self._async_read_results(keys[number])
            if isinstance(chunk, Err):
                return chunk
            for line in chunk.ok_value:
                if line.index < after:
                    continue
                if len(lines) == limit:
                    return Ok(ResultPage(tuple(lines), line.index))
                lines.append(line)
        return Ok(ResultPage(tuple(lines), -1))

    async def async_stream(
        self, manifest: Manifest
    ) -> AsyncIterator[Result[ResultLine, BatchError]]:
        """Yield all results, one chunk in memory at a time; ends after an error."""
        for key in list_chunk_keys(manifest):
            chunk = await self._async_read_results(key)
            if isinstance(chunk, Err):
                yield chunk
                return
            for line in chunk.ok_value:
                yield Ok(line)

    async def _async_push(self, owner: str, job: str) -> None:
        if owner == self._core.session_id:
            await self._directory.async_send(owner, JobChanged(job))
        else:
            self._directory.post(owner, JobChanged(job))

    async def _async_read_entry(self, entry: IndexEntry) -> Result[Manifest | None, BatchError]:
        return await async_read_manifest(self._directory, entry.job)

    async def _async_read_results(self, key: str) -> Result[list[ResultLine], BatchError]:
        """Return the results of a chunk with indexes of the whole job."""
        found = await async_read_chunk(self._directory, key)
        if isinstance(found, Err):
            return found
        record = found.ok_value
        first = record.number * CHUNK_ITEMS
        by_index: dict[int, ResultLine] = {}
        for name in record.results:
            content = await async_get_object(self._core, name)
            if isinstance(content, Err):
                return content
            by_index |= {line.index: line for line in decode_results(content.ok_value)}
        if len(by_index) < len(record.states) - record.undone:
            filled = await self._async_fill(record, by_index)
            if isinstance(filled, Err):
                return filled
        return Ok(
            [
                ResultLine(first + index, line.custom_id, line.state, line.status, line.body)
                for index, line in sorted(by_index.items())
                if record.states[index] != ItemState.UNDONE
            ]
        )

    async def _async_fill(
        self, record: ChunkRecord, by_index: dict[int, ResultLine]
    ) -> Result[None, BatchError]:
        """Add result lines for the items that ended without a result object."""
        content = await async_get_object(self._core, record.items_object)
        if isinstance(content, Err):
            return content
        for index, item in enumerate(decode_items(content.ok_value)):
            state = ItemState(record.states[index])
            if index not in by_index and state is not ItemState.UNDONE:
                line = ResultLine(index, item.custom_id, STATE_NAMES[state], 0, "")
                by_index[index] = line
        return Ok(None)
