"""Reads the manifests of jobs with chunks here; activates, ends and sweeps the chunks."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from result import Err, Ok

from goldcreststair.clock import Millis
from goldcreststair.components.batch.calendar import Calendar
from goldcreststair.components.batch.chunks import Chunk
from goldcreststair.components.batch.const import (
    COMMIT_TIMEOUT_MS,
    JOB_CHECK_MS,
    ORPHAN_S,
    RETENTION_S,
)
from goldcreststair.components.batch.directory import Directory
from goldcreststair.components.batch.submission import async_read_manifest
from goldcreststair.components.ledger.protocols import Change
from goldcreststair.core import Core


class EndChunk(Protocol):
    """Callback that ends the undone items of a chunk."""

    def __call__(self, chunk: Chunk, *, cancelled: bool) -> None:
        """End them as cancelled or as failed."""


class JobMonitor:
    """Reads each job's manifest every `JOB_CHECK_MS`."""

    def __init__(
        self,
        core: Core,
        directory: Directory,
        calendar: Calendar,
        chunks: dict[str, Chunk],
        end: EndChunk,
    ) -> None:
        """Share the chunk owner's `chunks`; swept chunks are removed from it."""
        self._core = core
        self._directory = directory
        self._calendar = calendar
        self._chunks = chunks
        self._end = end
        self._checked: dict[str, Millis] = {}
        self._checking: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_close(self) -> None:
        """Stop all checks."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def recheck_soon(self, job: str) -> None:
        """Read a job's manifest again at the next tick."""
        self._checked.pop(job, None)

    def check(self, job: str) -> None:
        """Read a job's manifest now if this VM has a chunk of it."""
        if any(chunk.record.job == job for chunk in self._chunks.values()):
            self.recheck_soon(job)
            self.tick()

    def tick(self) -> None:
        """Start the checks that are due."""
        now = self._core.clock.now()
        for chunk in tuple(self._chunks.values()):
            job = chunk.record.job
            last = self._checked.get(job)
            if job in self._checking or (last is not None and now - last < JOB_CHECK_MS):
                continue
            if not chunk.cancelled and (chunk.record.undone or self._is_expired(chunk)):
                self._checking.add(job)
                self._spawn(self._async_check_job(job))

    async def _async_check_job(self, job: str) -> None:
        try:
            found = await async_read_manifest(self._directory, job)
            self._checked[job] = self._core.clock.now()
            if isinstance(found, Err):
                return
            manifest = found.ok_value
            for chunk in [c for c in self._chunks.values() if c.record.job == job]:
                accepted = manifest is not None and (
                    manifest.fingerprint == chunk.record.fingerprint
                )
                if manifest is None or not accepted or self._is_expired(chunk):
                    await self._async_sweep(chunk, accepted=accepted)
                elif manifest.cancelled or self._is_overdue(chunk):
                    self._end(chunk, cancelled=manifest.cancelled)
                else:
                    chunk.active = True
        finally:
            self._checking.discard(job)

    def _is_expired(self, chunk: Chunk) -> bool:
        return not chunk.record.undone and self._is_overdue(chunk)

    def _is_overdue(self, chunk: Chunk) -> bool:
        """Return whether a job's retention has passed; undone items are then given up."""
        start = max(chunk.record.due_s, chunk.record.created_s)
        return self._calendar.now_s() - start > RETENTION_S

    async def _async_sweep(self, chunk: Chunk, *, accepted: bool) -> None:
        """Delete a chunk past its retention, or one whose job was never accepted."""
        age_s = self._calendar.now_s() - chunk.record.created_s
        if not accepted and min(age_s, self._read_touch_age_s(chunk)) < ORPHAN_S:
            return
        gone = await chunk.partition.async_commit([Change(chunk.key, None)], COMMIT_TIMEOUT_MS)
        if isinstance(gone, Ok):
            self._chunks.pop(chunk.key, None)
            for name in (*chunk.record.results, chunk.record.items_object):
                await self._core.platform.objects.async_delete(name)

    def _read_touch_age_s(self, chunk: Chunk) -> int:
        # A resend may reuse the chunks of a submit that failed long ago and commit its manifest a
        # moment later. If they were swept in between, the accepted job would lack items.
        return self._calendar.now_s() - chunk.touched_s

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
