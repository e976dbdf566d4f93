"""Holds back commits while the store is away, and lets them through in order afterwards."""

import asyncio
import logging
from typing import Final

from goldcreststair.clock import Millis
from goldcreststair.components.jobs.activation import OutageActivation
from goldcreststair.components.jobs.outage import OutageController
from goldcreststair.components.jobs.registry import OwnedJob
from goldcreststair.gateway_core import GatewayCore

_LOGGER = logging.getLogger(__name__)

POLL_MS: Final = 50
"""Interval at which turns are granted during an outage; nothing runs without one."""


class CommitGate:
    """Commits of jobs for which the feature is inactive pass at once."""

    def __init__(self, core: GatewayCore, activation: OutageActivation) -> None:
        """Set up the gate; it is open."""
        self._clock = core.clock
        self._contact = core.store_contact
        self._activation = activation
        self._controller = OutageController(core.random)
        self._waiting: dict[OwnedJob, asyncio.Future[None]] = {}
        self._task: asyncio.Task[None] | None = None

    async def async_close(self) -> None:
        """Stop; jobs that wait stay waiting until their tasks are cancelled."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    @property
    def is_outage(self) -> bool:
        """Whether the store is away, or results still wait after its return."""
        return self._controller.is_outage

    def is_waiting(self, job: OwnedJob) -> bool:
        """Return whether a job waits for its turn, so that it has no commit in progress."""
        return job in self._waiting

    async def async_enter(self, job: OwnedJob) -> None:
        """Wait until a job may attempt a commit, or is lost."""
        controller = self._controller
        if not controller.is_outage or controller.has_turn(job):
            return
        if not self._activation.is_active_for(job):
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[job] = turn
        try:
            await turn
        finally:
            del self._waiting[job]

    def leave(self, job: OwnedJob) -> None:
        """End the turn of a job whose commits have ended."""
        self._controller.release_turn(job)

    def record_success(self, job: OwnedJob, results: int, size: int) -> None:
        """Record a commit that the store accepted, with its results and their bytes."""
        if self._activation.is_active_for(job):
            self._controller.record_success(job, self._clock.now(), results, size)

    def record_failure(self, job: OwnedJob, began_at: Millis, reason: str) -> bool:
        """Record a failed commit; returns whether the next attempt has to wait for a turn."""
        if not self._activation.is_active_for(job):
            return False
        away = self._contact.is_unavailable()
        if self._controller.record_failure(job, began_at, self._clock.now(), away=away):
            _LOGGER.warning("Results wait for the store", extra={"reason": reason})
            self._task = asyncio.create_task(self._async_grant_turns())
        return self._controller.is_outage

    async def _async_grant_turns(self) -> None:
        while self._controller.is_outage:
            await self._clock.async_sleep(POLL_MS)
            try:
                self._grant_turns()
                self._finish()
            except Exception:
                # If turns were no longer granted, no result would be committed any more.
                _LOGGER.exception("Granting of commits failed")

    def _grant_turns(self) -> None:
        now = self._clock.now()
        self._controller.record_contact(now, self._contact.read_age_ms())
        lost = [job for job in self._waiting if job.lost]
        for job in (*lost, *self._controller.choose(self._waiting, now)):
            if not self._waiting[job].done():
                self._waiting[job].set_result(None)

    def _finish(self) -> None:
        written = self._controller.finish(self._clock.now(), waiting=bool(self._waiting))
        if written is None:
            return
        extra = {
            "outage_ms": written.outage_ms,
            "delay_ms": written.delay_ms,
            "commits": written.commits,
            "results": written.results,
            "bytes": written.size,
        }
        _LOGGER.info("Results written after an outage", extra=extra)
