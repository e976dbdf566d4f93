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
from goldcreststair.components.jobs.registry import JobBook, OwnedJob
from goldcreststair.components.jobs.result_writer import JobLister
from goldcreststair.components.jobs.sweeping import choose_owner
from goldcreststair.gateway_core import GatewayCore

_LOGGER = logging.getLogger(__name__)

RETRY_MS = TICK_MS * 5
"""Pause after a hand-over that the store did not take."""


class JobGiver(Protocol):
    """The jobs of this daemon."""

    def is_idle(self, job: OwnedJob) -> bool:
        """Return whether no item of a job runs."""

    def give_up(self, job: OwnedJob, session: str) -> None:
        """Stop a job that is another daemon's now, and tell that one."""

    def doubt(self, job: OwnedJob) -> None:
        """Ask the store again whether a job is this daemon's."""


class JobHandover:
    """Runs from the begin of a leave until this daemon ends."""

    def __init__(
        self,
        core: GatewayCore,
        book: JobBook,
        records: JobRecords,
        lister: JobLister,
        giver: JobGiver,
    ) -> None:
        """Hand over nothing yet."""
        self._core = core
        self._book = book
        self._records = records
        self._lister = lister
        self._giver = giver

    async def async_run(self) -> None:
        """Give each job away once all results are listed, and its runs have had time to end."""
        clock = self._core.clock
        began_at = clock.now()
        # Jobs that were being accepted or taken over when the leave began arrive after it.
        while True:
            waited = clock.now() - began_at >= HANDOVER_GRACE_MS
            for job in tuple(self._book.jobs.values()):
                if self._lister.is_idle(job) and (waited or self._giver.is_idle(job)):
                    await self._async_give(job)
            await clock.async_sleep(TICK_MS)

    async def _async_give(self, job: OwnedJob) -> None:
        """Make another daemon the owner; runs go on until the store has agreed."""
        session = choose_owner(self._core, job.key, job.open.route)
        if not session:
            return
        unsaved = list_unsaved(job, all_of_it=True)
        given = await self._records.async_assign(job.open, session, unsaved)
        if isinstance(given, Err):
            _LOGGER.warning("Job not handed over: %s", given.err_value.message)
            # An earlier change may have been made although its answer was lost.
            if isinstance(given.err_value, JobLost):
                self._giver.doubt(job)
            await self._core.clock.async_sleep(RETRY_MS)
            return
        self._giver.give_up(job, session)
