"""Saves the progress of items, so that the next owner of a job need not repeat their runs.

All VMs may be lost or replaced within seconds while batch items fill every slot that online
requests leave. An item takes some four seconds: run again from its first event, it would be late,
and it would take the slot of an item that can still be in time. From saved or handed-over progress,
it continues where it was.
"""

import asyncio
import logging
from collections.abc import Callable
from operator import attrgetter

from result import Ok

from goldcreststair.components.fleet.models import FLEET
from goldcreststair.components.jobs.const import (
    CHECKPOINT_EVENTS,
    CHECKPOINT_GROWTH,
    CHECKPOINT_MS,
    CHECKPOINTS_PER_S,
    MAX_COMMIT_BYTES,
    MAX_COMMIT_ENTRIES,
    TEXT_PART_BYTES,
)
from goldcreststair.components.jobs.models import SavedProgress
from goldcreststair.components.jobs.records import JobRecords
from goldcreststair.components.jobs.registry import ItemProgress, ItemState, JobRegistry, OwnedJob
from goldcreststair.components.jobs.result_writer import ResultWriter
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.rows import RowsConflict

_LOGGER = logging.getLogger(__name__)

OnConflict = Callable[[OwnedJob], None]
"""Called with a job whose row in the store is not as this daemon last wrote it."""


def choose_interval_ms(daemons: int, jobs: int) -> int:
    """Return the interval between saves, ms, assuming that all daemons run as many jobs.

    >>> choose_interval_ms(12, 3), choose_interval_ms(820, 1)
    (1000, 8200)
    """
    return max(CHECKPOINT_MS, daemons * jobs * MS_PER_SECOND // CHECKPOINTS_PER_S)


def list_unsaved(job: OwnedJob, *, include_all: bool = False) -> list[SavedProgress]:
    """Return the progress worth saving, or with `include_all` all that fits a transaction."""
    waiting = [item for item in job.items if item.state in (ItemState.WAITING, ItemState.RUNNING)]
    unsaved = [item for item in waiting if _is_worth_saving(item, include_all=include_all)]
    chosen: list[SavedProgress] = []
    size = 0
    for item in sorted(unsaved, key=lambda item: item.saved_event - item.last_event):
        text = b"\n".join(item.data)
        # A text that does not fit into one row keeps its last save: an item can continue after any
        # prefix of its events.
        if len(text) > TEXT_PART_BYTES:
            continue
        size += len(text)
        if len(chosen) == MAX_COMMIT_ENTRIES or (chosen and size > MAX_COMMIT_BYTES):
            break
        chosen.append(SavedProgress(item.number, item.last_event, text, item.origin))
    return chosen


def _is_worth_saving(item: ItemProgress, *, include_all: bool) -> bool:
    if item.origin is None:
        # Without the software that made them, the events cannot be continued.
        return False
    if include_all:
        return item.last_event > item.saved_event
    grown = item.last_event >= item.saved_event * CHECKPOINT_GROWTH
    return grown and item.last_event - item.saved_event >= CHECKPOINT_EVENTS


def mark_saved(job: OwnedJob, saved: list[SavedProgress]) -> None:
    """Record that progress was saved in the store."""
    for progress in saved:
        job.items[progress.number].saved_event = progress.last_event


class CheckpointWriter:
    """Saves the progress of this daemon's jobs periodically."""

    def __init__(
        self,
        core: GatewayCore,
        registry: JobRegistry,
        records: JobRecords,
        writer: ResultWriter,
        on_conflict: OnConflict,
    ) -> None:
        """Set up the writer; nothing is saved before `async_start`."""
        self._core = core
        self._registry = registry
        self._records = records
        self._writer = writer
        self._on_conflict = on_conflict
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start to save periodically."""
        self._task = asyncio.create_task(self._async_repeat())

    async def async_close(self) -> None:
        """Stop saving."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _async_repeat(self) -> None:
        while True:
            daemons = len(self._core.blackboard.read(FLEET).vms)
            interval_ms = choose_interval_ms(daemons, len(self._registry.jobs))
            await self._core.clock.async_sleep(interval_ms)
            try:
                await self._async_save_all()
            except Exception:
                # A failure in one job must not keep the progress of others from being saved.
                _LOGGER.exception("Saving of progress failed")

    async def _async_save_all(self) -> None:
        for job in sorted(self._registry.jobs.values(), key=attrgetter("due_at")):
            if self._core.store_contact.is_unavailable():
                return
            # A commit in progress changes the version that the save depends on.
            if not job.lost and self._writer.is_idle(job):
                await self._async_save(job)

    async def _async_save(self, job: OwnedJob) -> None:
        unsaved = list_unsaved(job)
        if not unsaved:
            return
        saved = await self._records.async_save_progress(job.open, unsaved)
        extra = {"job": job.key.job, "items": len(unsaved)}
        if isinstance(saved, Ok):
            mark_saved(job, unsaved)
            _LOGGER.info("Progress saved", extra=extra)
            return
        error = saved.err_value
        _LOGGER.warning("Progress not saved", extra=extra | {"reason": error.message})
        if isinstance(error, RowsConflict) and self._writer.is_idle(job):
            self._on_conflict(job)
