"""Hands the jobs of a leaving daemon over to others, with the progress of their items.

During rolling replacements, two seconds apart, online bursts may take the slots of a leaving
daemon's runs. The daemon starts no more items, so a job that stayed until its last run has ended
would keep its waiting items from starting for up to four seconds.
"""

import logging
from typing import Protocol

from result import Err

from goldcreststair.components.jobs.checkpoints import list_unsaved, mark_saved
from goldcreststair.components.jobs.const import HANDOVER_GRACE_MS, TICK_MS
from goldcreststair.components.jobs.errors import JobLost
from goldcreststair.components.jobs.records import JobRecords
from goldcreststair.components.jobs.registry import JobRegistry, OwnedJob
from goldcreststair.components.jobs.result_writer import ResultWriter
from goldcreststair.components.jobs.sweeping import choose_owner
from goldcreststair.gateway_core import GatewayCore

_LOGGER = logging.getLogger(__name__)

RETRY_MS = TICK_MS * 5
"""Delay after a handover that the store did not accept."""


class HandoverSource(Protocol):
    """The jobs of the leaving daemon."""

    def is_idle(self, job: OwnedJob) -> bool:
        """Return whether no item of a job runs."""

    def release(self, job: OwnedJob, session: str) -> None:
        """Stop a job that another daemon owns now, and notify that daemon."""

    def recheck(self, job: OwnedJob) -> None:
        """Recheck with the store whether this daemon still owns a job."""


class JobHandover:
    """Runs from the start of a leave until the daemon exits."""

    def __init__(
        self,
        core: GatewayCore,
        registry: JobRegistry,
        records: JobRecords,
        writer: ResultWriter,
        source: HandoverSource,
    ) -> None:
        """Set up the handover; nothing is handed over before `async_run`."""
        self._core = core
        self._registry = registry
        self._records = records
        self._writer = writer
        self._source = source

    async def async_run(self) -> None:
        """Hand each job over once its results are committed and its runs had time to finish."""
        clock = self._core.clock
        began_at = clock.now()
        # Jobs whose acceptance or takeover was in progress when the leave began are added later.
        while True:
            waited = clock.now() - began_at >= HANDOVER_GRACE_MS
            for job in tuple(self._registry.jobs.values()):
                if self._writer.is_idle(job) and (waited or self._source.is_idle(job)):
                    await self._async_hand_over(job)
            await clock.async_sleep(TICK_MS)

    async def _async_hand_over(self, job: OwnedJob) -> None:
        """Make another daemon the owner; runs continue until the store has confirmed it."""
        session = choose_owner(self._core, job.open)
        if not session:
            return
        unsaved = list_unsaved(job, include_all=True)
        assigned = await self._records.async_assign(job.open, session, unsaved)
        if isinstance(assigned, Err):
            _LOGGER.warning("Job not handed over: %s", assigned.err_value.message)
            # An earlier change of the owner may have taken effect although its answer was lost.
            if isinstance(assigned.err_value, JobLost):
                self._source.recheck(job)
            await self._core.clock.async_sleep(RETRY_MS)
            return
        mark_saved(job, unsaved)
        self._source.release(job, session)
