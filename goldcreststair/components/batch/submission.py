"""Accepts a job while it is uploaded; it exists once its manifest, written last, is committed."""

import hashlib
import uuid
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.components.batch.calendar import Calendar
from goldcreststair.components.batch.const import CHUNK_ITEMS, FAN_OUT, MAX_ITEMS
from goldcreststair.components.batch.directory import Directory
from goldcreststair.components.batch.errors import BatchError, BatchProblem
from goldcreststair.components.batch.fan_out import async_map
from goldcreststair.components.batch.models import (
    ChunkRecord,
    IndexEntry,
    Item,
    ItemState,
    Manifest,
)
from goldcreststair.components.batch.objects import async_put_object
from goldcreststair.components.batch.parsing import Defaults, LineSplitter, parse_line
from goldcreststair.components.batch.records import (
    decode_chunk,
    decode_manifest,
    encode_lines,
    encode_record,
    make_chunk_key,
    make_index_key,
    make_job_key,
)
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.core import Core
from goldcreststair.journal import Subject
from goldcreststair.wire.generated.batch.ttypes import RecordGet, RecordPut, Reply, ReplyStatus


@dataclass(frozen=True, slots=True)
class SubmitOptions:
    """Options of a submission beside its lines."""

    customer: str
    idempotency_key: str
    due_in_s: int
    defaults: Defaults


@dataclass(frozen=True, slots=True)
class _StoredChunk:
    items_object: str
    count: int
    models: tuple[str, ...]


def make_job_id(customer: str, idempotency_key: str) -> str:
    """Return a job id that is the same for every resend with this key; random without a key."""
    if not idempotency_key:
        return uuid.uuid4().hex
    return hashlib.sha256(f"{customer}\0{idempotency_key}".encode()).hexdigest()[:32]


def _digest_id(custom_id: str) -> bytes:
    # A job of 140,000 items may have long ids, which would take tens of megabytes unhashed.
    return hashlib.blake2b(custom_id.encode(), digest_size=12).digest()


class Submission:
    """Upload of one job; holds one chunk of items in memory at a time."""

    def __init__(
        self, core: Core, directory: Directory, calendar: Calendar, options: SubmitOptions
    ) -> None:
        """Create without writing anything."""
        self._core = core
        self._directory = directory
        self._calendar = calendar
        self._options = options
        self.job = make_job_id(options.customer, options.idempotency_key)
        upstreams = core.blackboard.read(CONFIGURATION).upstreams.values()
        self._models = frozenset(model for upstream in upstreams for model in upstream.served_names)
        self._splitter = LineSplitter()
        self._lines = 0
        self._attempt = uuid.uuid4().hex[:8]
        self._ids: dict[bytes, int] = {}
        """Digest of each custom id to its line."""
        self._items: list[Item] = []
        self._items_bytes = 0
        """Length of the lines of these items."""
        self._chunks: list[_StoredChunk] = []
        self._digest = hashlib.sha256()
        self._unused: list[int] = []
        """Chunks that an earlier submit committed with objects of its own."""
        self._error: BatchError | None = None

    def count_held(self) -> int:
        """Return the bytes of the body that are held until their chunk is stored."""
        return self._items_bytes + self._splitter.count_held()

    def discard(self) -> None:
        """Free what is held; the job will not be complete."""
        self._splitter.finish()
        self._drop_items()

    async def async_feed(self, data: bytes) -> None:
        """Process bytes of the body; returns once full chunks are stored or a line is refused."""
        if self._error is not None:
            return
        await self._async_take(self._splitter.feed(data))
        if self._splitter.too_long:
            self._fail(BatchError(f"line {self._lines + 1}: too long", BatchProblem.BAD_LINE))

    async def async_finish(self) -> Result[Manifest, BatchError]:
        """Commit the chunks, then the manifest; returns the job's manifest, old or new."""
        await self._async_take(self._splitter.finish())
        await self._async_store_chunk()
        if self._error is not None:
            return Err(self._error)
        if not self._chunks:
            return Err(BatchError("line 1: the job has no items", BatchProblem.BAD_LINE))
        manifest = self._make_manifest()
        existing = await self._async_find()
        if isinstance(existing, Err):
            return existing
        if existing.ok_value is not None:
            await self._async_delete(range(len(self._chunks)))
            return self._compare(existing.ok_value, manifest.fingerprint)
        stored = await self._async_commit_chunks(manifest)
        if isinstance(stored, Err):
            return stored
        accepted = await self._async_commit_manifest(manifest)
        if isinstance(accepted, Ok):
            reason = "its chunks and its manifest are kept"
            items, chunks = manifest.items, manifest.chunks
            self._core.journal.record(
                Subject.JOB, self.job, "accept", reason, items=items, chunks=chunks
            )
            await self._async_delete(self._unused)
        return accepted

    async def _async_take(self, lines: list[bytes]) -> None:
        for line in lines:
            self._lines += 1
            if not line.strip() or self._error is not None:
                continue
            parsed = parse_line(line, self._lines, self._options.defaults)
            if isinstance(parsed, Err):
                self._fail(parsed.err_value)
                return
            if parsed.ok_value.model not in self._models:
                message = f"line {self._lines}: body.model: no upstream serves this model"
                self._fail(BatchError(message, BatchProblem.BAD_LINE))
                return
            earlier = self._ids.setdefault(_digest_id(parsed.ok_value.custom_id), self._lines)
            if earlier != self._lines:
                message = f"line {self._lines}: custom_id: already in line {earlier}"
                self._fail(BatchError(message, BatchProblem.BAD_LINE))
                return
            self._items.append(parsed.ok_value)
            self._items_bytes += len(line)
            if len(self._items) >= CHUNK_ITEMS:
                await self._async_store_chunk()

    async def _async_store_chunk(self) -> None:
        if not self._items or self._error is not None:
            return
        if len(self._chunks) * CHUNK_ITEMS >= MAX_ITEMS:
            message = f"line {self._lines}: more than {MAX_ITEMS} items"
            self._fail(BatchError(message, BatchProblem.BAD_LINE))
            return
        content = encode_lines(self._items)
        digest = hashlib.sha256(content).hexdigest()
        self._digest.update(digest.encode())
        # Each submit has objects of its own, so the sweep of a submit that was never accepted
        # cannot delete the items of a resend, however late it runs.
        number = len(self._chunks)
        name = f"batch/{self.job}/items/{number:05d}-{digest[:16]}-{self._attempt}"
        put = await async_put_object(self._core, name, content)
        if isinstance(put, Err):
            self._fail(put.err_value)
            return
        models = tuple(sorted({item.model for item in self._items}))
        self._chunks.append(_StoredChunk(name, len(self._items), models))
        self._drop_items()

    def _make_manifest(self) -> Manifest:
        now_s = self._calendar.now_s()
        return Manifest(
            job=self.job,
            customer=self._options.customer,
            fingerprint=self._digest.hexdigest(),
            items=sum(chunk.count for chunk in self._chunks),
            chunks=len(self._chunks),
            created_s=now_s,
            due_s=now_s + self._options.due_in_s,
        )

    async def _async_find(self) -> Result[Manifest | None, BatchError]:
        if not self._options.idempotency_key:
            return Ok(None)
        return await async_read_manifest(self._directory, self.job)

    async def _async_commit_chunks(self, manifest: Manifest) -> Result[None, BatchError]:
        async def async_commit(number: int) -> Reply:
            key = make_chunk_key(self.job, manifest.fingerprint, number)
            value = encode_record(_make_chunk(manifest, number, self._chunks[number]))
            return await self._directory.async_ask(key, RecordPut(key, key, value))

        for first in range(0, manifest.chunks, FAN_OUT):
            numbers = range(first, min(first + FAN_OUT, manifest.chunks))
            replies = await async_map(async_commit, numbers)
            for number, reply in zip(numbers, replies, strict=True):
                if reply.status != ReplyStatus.OK:
                    # Without a manifest the job does not exist, whichever chunks were committed.
                    return Err(BatchError("the store cannot be reached", job=self.job))
                if decode_chunk(reply.value).items_object != self._chunks[number].items_object:
                    self._unused.append(number)
        return Ok(None)

    async def _async_delete(self, numbers: Iterable[int]) -> None:
        async def async_delete(number: int) -> None:
            await self._core.platform.objects.async_delete(self._chunks[number].items_object)

        await async_map(async_delete, numbers)

    async def _async_commit_manifest(self, manifest: Manifest) -> Result[Manifest, BatchError]:
        partition = make_index_key(manifest.customer)
        value = encode_record(IndexEntry(self.job, manifest.due_s))
        entry = RecordPut(partition, f"{partition}{self.job}", value)
        indexed = await self._directory.async_ask(partition, entry)
        if indexed.status != ReplyStatus.OK:
            return Err(BatchError("the store cannot be reached", job=self.job))
        key = make_job_key(self.job)
        reply = await self._directory.async_ask(key, RecordPut(key, key, encode_record(manifest)))
        if reply.status == ReplyStatus.OK:
            return self._compare(decode_manifest(reply.value), manifest.fingerprint)
        if reply.status == ReplyStatus.UNKNOWN:
            # The manifest may be committed although the reply was lost: "not run" would be wrong.
            message = "it is not known whether the job was accepted; resend with the same key"
            return Err(BatchError(message, BatchProblem.OUTCOME_UNKNOWN, self.job))
        return Err(BatchError("the store cannot be reached", job=self.job))

    def _compare(self, existing: Manifest, fingerprint: str) -> Result[Manifest, BatchError]:
        if existing.fingerprint == fingerprint:
            return Ok(existing)
        message = f"the idempotency key stands for job {self.job} with other content"
        return Err(BatchError(message, BatchProblem.MISMATCH, self.job))

    def _fail(self, error: BatchError) -> None:
        self._error = error
        self._drop_items()

    def _drop_items(self) -> None:
        self._items = []
        self._items_bytes = 0


def _make_chunk(manifest: Manifest, number: int, chunk: _StoredChunk) -> ChunkRecord:
    return ChunkRecord(
        job=manifest.job,
        fingerprint=manifest.fingerprint,
        number=number,
        customer=manifest.customer,
        items_object=chunk.items_object,
        models=chunk.models,
        created_s=manifest.created_s,
        due_s=manifest.due_s,
        states=ItemState.UNDONE * chunk.count,
    )


async def async_read_manifest(
    directory: Directory, job: str
) -> Result[Manifest | None, BatchError]:
    """Return a job's manifest from its owner, None if there is no such job."""
    key = make_job_key(job)
    reply = await directory.async_ask(key, RecordGet(key, key))
    if reply.status == ReplyStatus.OK:
        return Ok(decode_manifest(reply.value))
    if reply.status == ReplyStatus.MISSING:
        return Ok(None)
    return Err(BatchError("the job's owner cannot be reached", job=job))
