"""Where a call about a job is made: here, or by another daemon whose store answers.

Load it answers: the store turns some VMs away for seconds while callers reach them all the same. A
submission that waits there for the store is late even if the caller's next one succeeds.
"""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from result import Err, Result

from goldcreststair.components.jobs.errors import JobError, JobProblem
from goldcreststair.components.jobs.models import JobKey, ResultPage, Submission
from goldcreststair.components.jobs.protocols import LocalJobs
from goldcreststair.components.jobs.remote import RemoteJobs
from goldcreststair.store.contact import StoreContact

T = TypeVar("T")


class JobRouter:
    """Implements `Jobs` over the daemon's own jobs and those of others."""

    def __init__(self, local: LocalJobs, remote: RemoteJobs, contact: StoreContact) -> None:
        """Prefer `own` while the store answers."""
        self._local = local
        self._remote = remote
        self._contact = contact

    async def async_submit(self, submission: Submission) -> Result[None, JobError]:
        """Accept a job; a repeated one is accepted once."""
        return await self._async_call(
            self._local.can_accept,
            lambda: self._local.async_submit(submission),
            lambda: self._remote.async_submit(submission),
        )

    async def async_read_results(
        self, key: JobKey, position: int, wait_ms: int
    ) -> Result[ResultPage, JobError]:
        """Return the results from a position on."""
        return await self._async_call(
            self._local.can_read_results(key, position),
            lambda: self._local.async_read_results(key, position, wait_ms),
            lambda: self._remote.async_read_results(key, position, wait_ms),
        )

    async def async_read_body(self, key: JobKey, item: str) -> Result[bytes, JobError]:
        """Return the body of an item."""
        return await self._async_call(
            self._local.can_read_items(key),
            lambda: self._local.async_read_body(key, item),
            lambda: self._remote.async_read_body(key, item),
        )

    async def async_end(self, key: JobKey) -> Result[None, JobError]:
        """End a job."""
        return await self._async_call(
            not self._contact.is_away(),
            lambda: self._local.async_end(key),
            lambda: self._remote.async_end(key),
        )

    async def _async_call(
        self,
        prefer_local: bool,
        call_local: Callable[[], Awaitable[Result[T, JobError]]],
        call_remote: Callable[[], Awaitable[Result[T, JobError]]],
    ) -> Result[T, JobError]:
        """Make a call here if it can succeed here, else elsewhere if that can."""
        if not prefer_local:
            return await call_remote()
        done = await call_local()
        failed = isinstance(done, Err) and done.err_value.problem is JobProblem.UNAVAILABLE
        # Nothing was done here, and others may still reach the store.
        return await call_remote() if failed and self._remote.is_available else done
