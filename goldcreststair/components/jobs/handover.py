"""Gives a leaving daemon's jobs to others, with what their items have brought.

Load it answers: VMs replaced in turn, two seconds apart, while bursts take the slots of their runs. A
leaving daemon starts nothing more: a job that stays until its last run has ended keeps its waiting items
from starting for up to four seconds.
"""

import logging
from typing import Protocol

from result import Err

from goldcreststair.components.jobs.checkpoints import list_unsaved
from goldcreststair.components.jobs.const import HANDOVER_GRACE_MS, TICK_MS
from goldcreststair.components.jobs.errors import JobLost
from goldcreststair.components.jobs.records import JobRecords
from goldcreststair.components.jobs.registry import JobRegistry, OwnedJob
from goldcreststair.components.jobs.result_writer import ResultWriter
from goldcreststair.components.jobs.sweeping import choose_owner
from goldcreststair.gateway_core import GatewayCore

_LOGGER = logging.getLogger(__name__)

RETRY_MS = TICK_MS * 5
"""Pause after a hand-over that the store did not take."""


class HandoverSource(Protocol):
    """The jobs of this daemon."""

    def is_idle(self, job: OwnedJob) -> bool:
        """Return whether no item of a job runs."""

    def release(self, job: OwnedJob, session: str) -> None:
        """Stop a job that is another daemon's now, and tell that one."""

    def recheck(self, job: OwnedJob) -> None:
        """Ask the store again whether a job is this daemon's."""


class JobHandover:
    """Runs from the begin of a leave until this daemon ends."""

    def __init__(
        self,
        core: GatewayCore,
        registry: JobRegistry,
        records: JobRecords,
        writer: ResultWriter,
        source: HandoverSource,
    ) -> None:
        """Hand over nothing yet."""
        self._core = core
        self._registry = registry
        self._records = records
        self._writer = writer
        self._source = source

    async def async_run(self) -> None:
        """Give each job away once all results are listed, and its runs have had time to end."""
        clock = self._core.clock
        began_at = clock.now()
        # Jobs that were being accepted or taken over when the leave began arrive after it.
        while True:
            waited = clock.now() - began_at >= HANDOVER_GRACE_MS
            for job in tuple(self._registry.jobs.values()):
                if self._writer.is_idle(job) and (waited or self._source.is_idle(job)):
                    await self._async_hand_over(job)
            await clock.async_sleep(TICK_MS)

    async def _async_hand_over(self, job: OwnedJob) -> None:
        """Make another daemon the owner; runs go on until the store has agreed."""
        session = choose_owner(self._core, job.key, job.open.route)
        if not session:
            return
        unsaved = list_unsaved(job, include_all=True)
        assigned = await self._records.async_assign(job.open, session, unsaved)
        if isinstance(assigned, Err):
            _LOGGER.warning("Job not handed over: %s", assigned.err_value.message)
            # An earlier change may have been made although its answer was lost.
            if isinstance(assigned.err_value, JobLost):
                self._source.recheck(job)
            await self._core.clock.async_sleep(RETRY_MS)
            return
        self._source.release(job, session)
