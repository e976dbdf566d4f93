"""Owner of chunks: assigns items, accepts results and commits them in groups."""

import asyncio
import logging
from collections.abc import Coroutine, Iterator
from typing import Any

from result import Err, Ok

from goldcreststair.clock import Millis
from goldcreststair.components.batch.calendar import Calendar
from goldcreststair.components.batch.chunks import Chunk
from goldcreststair.components.batch.const import (
    COMMIT_TIMEOUT_MS,
    FLUSH_MS,
    LEASE_MS,
    LOADED_CHUNKS,
    MAX_FINISHED_BYTES,
    TRIES_FLUSH_MS,
)
from goldcreststair.components.batch.directory import Directory
from goldcreststair.components.batch.fair_scheduler import ChunkFacts, FairScheduler
from goldcreststair.components.batch.job_monitor import JobMonitor
from goldcreststair.components.batch.models import ItemState
from goldcreststair.components.batch.objects import async_get_object, async_put_object
from goldcreststair.components.batch.quarantine import ItemQuarantine
from goldcreststair.components.batch.records import (
    PREFIX_CHUNK,
    decode_chunk,
    decode_items,
    encode_lines,
    encode_record,
)
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.ledger.protocols import Change, CommitUnknown, Partition
from goldcreststair.core import Core
from goldcreststair.wire.generated.batch.ttypes import (
    ItemResult,
    Lot,
    LotItem,
    LotRequest,
    LotStop,
)

_LOGGER = logging.getLogger(__name__)


class ChunkOwner:
    """All chunks of the partitions that this VM owns."""

    def __init__(self, core: Core, directory: Directory, calendar: Calendar) -> None:
        """Create without chunks; the ledger reports gained partitions."""
        self._core = core
        self._directory = directory
        self._calendar = calendar
        self._item_quarantine = ItemQuarantine(core)
        self._item_quarantine.parts.on_verdict(self._end_quarantined)
        self._order = FairScheduler()
        self.chunks: dict[str, Chunk] = {}
        self.commits = 0
        self._assignments = 0
        self._job_monitor = JobMonitor(core, directory, calendar, self.chunks, self._end)
        self._loading: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_close(self) -> None:
        """Stop all tasks; items with uncommitted results run again on other VMs."""
        await self._job_monitor.async_close()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def on_gained(self, partition: Partition) -> None:
        """Load a partition's chunks from its records."""
        for key, value in partition.scan(PREFIX_CHUNK):
            self.add(partition, key, value)

    def on_lost(self, index: int) -> None:
        """Drop the chunks of a partition; its new owner runs uncommitted items again."""
        gone = [key for key, chunk in self.chunks.items() if chunk.partition.index == index]
        for key in gone:
            del self.chunks[key]

    def add(self, partition: Partition, key: str, value: bytes) -> None:
        """Add a committed chunk; its items run once its manifest is known to be committed."""
        if key not in self.chunks:
            self.chunks[key] = Chunk(key, partition, decode_chunk(value))
            self._job_monitor.recheck_soon(self.chunks[key].record.job)

    def touch(self, key: str) -> None:
        """Record that a submit uses a chunk, which delays its sweep."""
        if key in self.chunks:
            self.chunks[key].touched_s = self._calendar.now_s()

    def check_job(self, job: str) -> None:
        """Read a job's manifest again now."""
        self._job_monitor.check(job)

    def tick(self) -> None:
        """Expire leases, commit, check jobs, sweep and load items as due."""
        now = self._core.clock.now()
        for chunk in tuple(self.chunks.values()):
            if chunk.expire_leases(now):
                _LOGGER.info("Leases of items of chunk %s expired", chunk.key)
            if self._is_due_for_commit(chunk, now):
                self._spawn_commit(chunk)
        self._job_monitor.tick()
        self._load_items()

    def count_backlog(self) -> dict[str, int]:
        """Return the number of ready items by model."""
        counts: dict[str, int] = {}
        if self._is_result_memory_full():
            return counts
        for chunk in self.chunks.values():
            if chunk.active and chunk.items is not None:
                for model in chunk.record.models:
                    ready = len(chunk.list_ready(model, suspects=False))
                    ready += len(chunk.list_ready(model, suspects=True))
                    counts[model] = counts.get(model, 0) + ready
        return {model: count for model, count in counts.items() if count}

    def assign(self, holder: str, request: LotRequest) -> Lot:
        """Assign items in fair order; none while too many results wait for a commit."""
        items: list[LotItem] = []
        if self._is_result_memory_full():
            return Lot(items, LEASE_MS)
        if request.suspect_wanted:
            items = self._assign_suspect(holder, request.model)
        for chunk in () if items else self._list_ranked():
            free = request.limit - len(items)
            ready = chunk.list_ready(request.model, suspects=False)[:free]
            items += self._lease(chunk, ready, holder, suspect=False)
            if len(items) >= request.limit:
                break
        return Lot(items, LEASE_MS)

    def _assign_suspect(self, holder: str, model: str) -> list[LotItem]:
        """Assign a single suspect, so that a crash can be attributed to it."""
        for chunk in self._list_ranked():
            suspects = chunk.list_ready(model, suspects=True)[:1]
            if suspects:
                return self._lease(chunk, suspects, holder, suspect=True)
        return []

    def accept(self, holder: str, key: str, results: list[ItemResult]) -> bool:
        """Accept results of a chunk; False if its items are not loaded here yet."""
        chunk = self.chunks.get(key)
        if chunk is None or (chunk.items is None and chunk.record.undone and not chunk.cancelled):
            return False
        for result in results:
            chunk.accept(holder, result, self._core.clock.now())
            self._item_quarantine.publish(chunk, result.index)
        if self._is_due_for_commit(chunk, self._core.clock.now()):
            self._spawn_commit(chunk)
        return True

    def _end_quarantined(self) -> None:
        """End the items that a new verdict refuses, also those that run somewhere."""
        for chunk in self.chunks.values():
            self._item_quarantine.end_quarantined(chunk, self._core.clock.now())

    def renew(self, holder: str, key: str, indexes: list[int]) -> bool:
        """Renew a holder's leases; False if it should stop these items."""
        chunk = self.chunks.get(key)
        if chunk is None or chunk.cancelled:
            return False
        chunk.renew(indexes, holder, self._core.clock.now())
        return True

    def _is_result_memory_full(self) -> bool:
        held = (f for chunk in self.chunks.values() for f in chunk.finished.values())
        return sum(len(finished.body) for finished in held) > MAX_FINISHED_BYTES

    def _list_ranked(self) -> Iterator[Chunk]:
        facts = [
            ChunkFacts(chunk.key, chunk.record.customer, chunk.record.due_s, chunk.record.undone)
            for chunk in self.chunks.values()
            if chunk.active and chunk.items is not None
        ]
        for fact in self._order.rank(facts, self._calendar.now_s()):
            yield self.chunks[fact.key]

    def _lease(
        self, chunk: Chunk, indexes: list[int], holder: str, *, suspect: bool
    ) -> list[LotItem]:
        if not indexes or chunk.items is None:
            return []
        chunk.lease(indexes, holder, self._core.clock.now())
        customer = self._core.blackboard.read(CONFIGURATION).customers.get(chunk.record.customer)
        weight = customer.weight if customer else 1.0
        self._order.charge(chunk.record.customer, len(indexes), weight)
        self._assignments += 1
        # The assignment is part of the id: an engine must not mistake a second run for the first.
        name = f"{self._core.session_id}-{self._assignments}"
        return [
            LotItem(
                chunk=chunk.key,
                index=index,
                request_id=f"batch-{name}-{index}",
                path=chunk.items[index].path,
                body=chunk.items[index].body.encode(),
                suspect=suspect,
            )
            for index in indexes
        ]

    def _is_due_for_commit(self, chunk: Chunk, now: Millis) -> bool:
        if chunk.committing or self.chunks.get(chunk.key) is not chunk:
            return False
        if chunk.tried_at is not None and now - chunk.tried_at >= TRIES_FLUSH_MS:
            return True
        if not chunk.finished:
            return False
        if chunk.cancelled or len(chunk.finished) >= chunk.record.undone:
            return True
        return chunk.finished_at is not None and now - chunk.finished_at >= FLUSH_MS

    def _spawn_commit(self, chunk: Chunk) -> None:
        chunk.committing = True
        self._spawn(self._async_commit(chunk))

    async def _async_commit(self, chunk: Chunk) -> None:
        """Commit all finished results of a chunk: first the result object, then the record."""
        try:
            indexes = sorted(chunk.finished)
            name = ""
            lines = chunk.make_lines(indexes)
            if lines:
                # With the epoch a paused owner that resumes cannot overwrite its successor's object.
                record = chunk.record
                name = (
                    f"batch/{record.job}/results/{record.fingerprint[:12]}/{record.number:05d}"
                    f"-{chunk.partition.epoch}-{len(record.results)}-{indexes[0]}-{len(indexes)}"
                )
                put = await async_put_object(self._core, name, encode_lines(lines))
                if isinstance(put, Err):
                    return
            record = chunk.make_record(indexes, name)
            change = Change(chunk.key, encode_record(record))
            outcome = await chunk.partition.async_commit([change], COMMIT_TIMEOUT_MS)
            if isinstance(outcome, Ok):
                self.commits += 1
                chunk.drop_committed(indexes, record)
            elif isinstance(outcome.err_value, CommitUnknown):
                # It is unknown which states are committed; those in memory may contradict them.
                self.chunks.pop(chunk.key, None)
        finally:
            chunk.committing = False

    def _end(self, chunk: Chunk, *, cancelled: bool) -> None:
        if chunk.cancelled or not chunk.record.undone:
            return
        for holder in chunk.cancel() if cancelled else chunk.end_overdue():
            self._spawn(self._async_send_stop(holder, chunk.key))
        if not chunk.committing:
            self._spawn_commit(chunk)

    async def _async_send_stop(self, holder: str, key: str) -> None:
        await self._directory.async_send(holder, LotStop(key))

    def _load_items(self) -> None:
        loaded = sum(1 for chunk in self.chunks.values() if chunk.items is not None)
        room = LOADED_CHUNKS - loaded - len(self._loading)
        if room <= 0:
            return
        waiting = [
            ChunkFacts(chunk.key, chunk.record.customer, chunk.record.due_s, chunk.record.undone)
            for chunk in self.chunks.values()
            if chunk.active
            and chunk.items is None
            and chunk.record.undone
            and chunk.key not in self._loading
        ]
        for fact in self._order.rank(waiting, self._calendar.now_s())[:room]:
            self._loading.add(fact.key)
            self._spawn(self._async_load(self.chunks[fact.key]))

    async def _async_load(self, chunk: Chunk) -> None:
        try:
            content = await async_get_object(self._core, chunk.record.items_object)
            if isinstance(content, Ok):
                chunk.items = decode_items(content.ok_value)
                self._item_quarantine.end_quarantined(chunk, self._core.clock.now())
        finally:
            self._loading.discard(chunk.key)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


def count_states(states: str) -> dict[ItemState, int]:
    """Return the number of items in each state."""
    return {state: states.count(state) for state in ItemState}
