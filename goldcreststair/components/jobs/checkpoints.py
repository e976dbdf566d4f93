"""Saves what running items have brought, so that a lost or leaving VM's work is not done twice.

Load it answers: all VMs are lost or replaced within seconds while batch fills every slot that online
work leaves. An item takes some four seconds; run again from its first event by the next owner, it is
late, and takes the slot of one that could still be in time. Saved and handed over, it
goes on where it was.
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
"""Takes a job whose row in the store is not as this daemon wrote it."""


def choose_interval_ms(daemons: int, jobs: int) -> int:
    """Return how often a daemon with so many jobs saves, if the others have as many.

    >>> choose_interval_ms(12, 3), choose_interval_ms(820, 1)
    (1000, 8200)
    """
    return max(CHECKPOINT_MS, daemons * jobs * MS_PER_SECOND // CHECKPOINTS_PER_S)


def list_unsaved(job: OwnedJob, *, include_all: bool = False) -> list[SavedProgress]:
    """Return the progress that is worth saving now, or all that one transaction can hold."""
    waiting = [item for item in job.items if item.state in (ItemState.WAITING, ItemState.RUNNING)]
    unsaved = [item for item in waiting if _is_worth_saving(item, include_all=include_all)]
    chosen: list[SavedProgress] = []
    size = 0
    for item in sorted(unsaved, key=lambda item: item.saved_event - item.last_event):
        text = b"\n".join(item.data)
        # What does not fit into one row stays as it was saved last: any beginning is good to go on from.
        if len(text) > TEXT_PART_BYTES:
            continue
        size += len(text)
        if len(chosen) == MAX_COMMIT_ENTRIES or (chosen and size > MAX_COMMIT_BYTES):
            break
        chosen.append(SavedProgress(item.number, item.last_event, text))
    return chosen


def _is_worth_saving(item: ItemProgress, *, include_all: bool) -> bool:
    if include_all:
        return item.last_event > item.saved_event
    grown = item.last_event >= item.saved_event * CHECKPOINT_GROWTH
    return grown and item.last_event - item.saved_event >= CHECKPOINT_EVENTS


def mark_saved(job: OwnedJob, saved: list[SavedProgress]) -> None:
    """Take it that progress stands in the store."""
    for progress in saved:
        job.items[progress.number].saved_event = progress.last_event


class CheckpointWriter:
    """Saves the progress of this daemon's jobs from time to time."""

    def __init__(
        self,
        core: GatewayCore,
        registry: JobRegistry,
        records: JobRecords,
        writer: ResultWriter,
        on_conflict: OnConflict,
    ) -> None:
        """Save nothing yet."""
        self._core = core
        self._registry = registry
        self._records = records
        self._writer = writer
        self._on_conflict = on_conflict
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Begin to save."""
        self._task = asyncio.create_task(self._async_repeat())

    async def async_close(self) -> None:
        """Stop."""
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
                # One job's progress must not keep the others' from being saved.
                _LOGGER.exception("Progress not saved")

    async def _async_save_all(self) -> None:
        for job in sorted(self._registry.jobs.values(), key=attrgetter("due_at")):
            if self._core.store_contact.is_away():
                return
            # A listing under way changes the version that a save would be made under.
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
