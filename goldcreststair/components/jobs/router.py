"""Routes a call about a job to this daemon, or to another one that can reach the store.

The store can reject some VMs for seconds while callers still reach them. A submission that waited
there for the store would be late, even if the caller's next attempt succeeds.
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
    """Implements `Jobs` with this daemon's jobs or, if that cannot work, through another daemon."""

    def __init__(self, local: LocalJobs, remote: RemoteJobs, contact: StoreContact) -> None:
        """Route to `local` while the store answers, else to `remote`."""
        self._local = local
        self._remote = remote
        self._contact = contact

    async def async_submit(self, submission: Submission) -> Result[None, JobError]:
        """Accept a job; submitting it again is no error and does not run it twice."""
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
            not self._contact.is_unavailable(),
            lambda: self._local.async_end(key),
            lambda: self._remote.async_end(key),
        )

    async def _async_call(
        self,
        prefer_local: bool,
        call_local: Callable[[], Awaitable[Result[T, JobError]]],
        call_remote: Callable[[], Awaitable[Result[T, JobError]]],
    ) -> Result[T, JobError]:
        """Make a call here if that can succeed; otherwise, or if it fails, at another daemon."""
        if not prefer_local:
            return await call_remote()
        done = await call_local()
        failed = isinstance(done, Err) and done.err_value.problem is JobProblem.UNAVAILABLE
        # `UNAVAILABLE` means that nothing was changed here, and other daemons may still reach the
        # store.
        return await call_remote() if failed and self._remote.is_available else done
