"""Commits results to the store, one transaction at a time per job."""

import asyncio
import logging
from collections.abc import Callable

from result import Err, Ok

from goldcreststair.components.jobs.activation import OutageActivation
from goldcreststair.components.jobs.backlog import Backlog
from goldcreststair.components.jobs.commit_gate import CommitGate
from goldcreststair.components.jobs.const import (
    COMMIT_RETRY_MS,
    MAX_COMMIT_BYTES,
    MAX_COMMIT_ENTRIES,
    MAX_COMMIT_RETRY_MS,
    TEXT_PART_BYTES,
)
from goldcreststair.components.jobs.errors import JobLost
from goldcreststair.components.jobs.item_order import count_unsaved_events
from goldcreststair.components.jobs.models import ItemResult
from goldcreststair.components.jobs.records import JobRecords, ResultCommit
from goldcreststair.components.jobs.registry import ItemState, OwnedJob
from goldcreststair.gateway_core import GatewayCore

_LOGGER = logging.getLogger(__name__)

OnLost = Callable[[OwnedJob, str], None]
"""Called with a job that this daemon no longer owns, and the reason."""
OnCommitted = Callable[[OwnedJob], None]
"""Called with a job after more of its results were committed."""


class ResultWriter:
    """Retries through outages of the store: finished results are kept until they are committed."""

    def __init__(
        self, core: GatewayCore, records: JobRecords, on_committed: OnCommitted, on_lost: OnLost
    ) -> None:
        """Set up the writer; nothing is committed yet."""
        self._clock = core.clock
        self._meters = core.meters
        self._activation = OutageActivation(core)
        self._gate = CommitGate(core, self._activation)
        self._backlog = Backlog()
        """Results of the jobs for which the feature `outage-jobs` is active."""
        self._records = records
        self._on_committed = on_committed
        self._on_lost = on_lost
        self._tasks: dict[OwnedJob, asyncio.Task[None]] = {}
        """By job object, not by key: a job that is taken over again is independent of commits of
        its earlier ownership."""

    async def async_close(self) -> None:
        """Stop; the next owner runs items again whose results are not committed."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._gate.async_close()

    def schedule(self, job: OwnedJob) -> None:
        """Commit the finished results of a job, and those that finish meanwhile."""
        self._update_backlog(job)
        if job not in self._tasks:
            self._tasks[job] = asyncio.create_task(self._async_run(job))

    def is_idle(self, job: OwnedJob) -> bool:
        """Return whether all finished results are committed."""
        return job not in self._tasks

    def is_committing(self, job: OwnedJob) -> bool:
        """Return whether a commit is in progress, which verifies the ownership of a job as well."""
        return job in self._tasks and not self._gate.is_waiting(job)

    def is_outage_for(self, job: OwnedJob) -> bool:
        """Return whether an outage is in force and the feature is active for a job."""
        return self._gate.is_outage and self._activation.is_active_for(job)

    def is_full(self, job: OwnedJob, running: int) -> bool:
        """Return whether results leave no memory for one more item beside `running` ones."""
        return self._activation.is_active_for(job) and self._backlog.is_full(running)

    def count_repeated(self, job: OwnedJob) -> None:
        """Count the events that another owner of a job computes again."""
        self._meters.count_repeated(count_unsaved_events(job))

    def _update_backlog(self, job: OwnedJob) -> None:
        if not self._activation.is_active_for(job):
            return
        self._backlog.update(job)
        self._report_backlog()

    def _report_backlog(self) -> None:
        self._meters.set_gauge("results_waiting", float(self._backlog.total.count))
        self._meters.set_gauge("results_waiting_bytes", float(self._backlog.total.size))

    async def _async_run(self, job: OwnedJob) -> None:
        try:
            await self._async_commit_finished(job)
        finally:
            # Removed in the task's last step: a result that arrives between its end and a done
            # callback would not be committed.
            del self._tasks[job]
            self._gate.leave(job)
            if self._backlog.remove(job):
                self._report_backlog()

    async def _async_commit_finished(self, job: OwnedJob) -> None:
        while job.finished and not job.lost:
            # Results that finish while a job waits for the store join its next commit.
            await self._gate.async_enter(job)
            if job.lost:
                return
            commit, count = self._prepare(job)
            if not await self._async_commit(job, commit):
                return
            done = job.finished[:count]
            del job.finished[:count]
            self._update_backlog(job)
            self._gate.record_success(job, count, sum(len(result.text) for _, result in done))
            for item, result in done:
                item.state = ItemState.COMMITTED
                job.committed.append(result)
            self._on_committed(job)
        if job.is_complete and not job.lost:
            await self._async_close_job(job)

    def _prepare(self, job: OwnedJob) -> tuple[ResultCommit, int]:
        chosen: list[tuple[int, ItemResult]] = []
        saved: list[int] = []
        entries = size = 0
        for item, result in job.finished:
            entries += 1 + len(result.text) // TEXT_PART_BYTES + bool(item.saved_event)
            size += len(result.text)
            if chosen and (entries > MAX_COMMIT_ENTRIES or size > MAX_COMMIT_BYTES):
                break
            chosen.append((item.spec.tokens, result))
            if item.saved_event:
                saved.append(item.number)
        failures = tuple(item.failures for item in job.items)
        return self._records.prepare_commit(job.open, chosen, failures, saved), len(chosen)

    async def _async_commit(self, job: OwnedJob, commit: ResultCommit) -> bool:
        """Retry one commit until it succeeds or the job is lost; returns whether it succeeded."""
        pause_ms = COMMIT_RETRY_MS
        while not job.lost:
            began_at = self._clock.now()
            result = await self._records.async_commit_results(commit)
            if isinstance(result, Ok):
                job.open = result.ok_value
                return True
            error = result.err_value
            if isinstance(error, JobLost):
                if not (error.ended or job.lost):
                    self.count_repeated(job)
                self._on_lost(job, "ended" if error.ended else error.message)
                return False
            # The results are kept here meanwhile: to run the items again would cost their slots
            # twice. An attempt may have taken effect, so that the same commit is repeated.
            if not self._gate.record_failure(job, began_at, error.message):
                extra = {"job": job.key.job, "results": len(commit.puts), "reason": error.message}
                _LOGGER.warning("Results not committed; retrying", extra=extra)
                await self._clock.async_sleep(pause_ms)
                pause_ms = min(MAX_COMMIT_RETRY_MS, pause_ms * 2)
            await self._gate.async_enter(job)
        return False

    async def _async_close_job(self, job: OwnedJob) -> None:
        pause_ms = COMMIT_RETRY_MS
        while not job.lost:
            closed = await self._records.async_close_job(job.open)
            if isinstance(closed, Ok) or isinstance(closed.err_value, JobLost):
                break
            await self._clock.async_sleep(pause_ms)
            pause_ms = min(MAX_COMMIT_RETRY_MS, pause_ms * 2)
        self._on_lost(job, "finished")
        dropped = await self._records.async_drop_object(job.record.body_object)
        if isinstance(dropped, Err):
            _LOGGER.warning("Object of a finished job not removed: %s", dropped.err_value.message)
