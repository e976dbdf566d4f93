"""Interfaces of the job component for adapters and other components."""

from typing import Final, Protocol

from result import Result

from goldcreststair.components.jobs.errors import JobError
from goldcreststair.components.jobs.models import JobItem, JobKey, ResultPage, Submission
from goldcreststair.core import ComponentKey


class SubmissionReader(Protocol):
    """Decodes the body of a submission."""

    def decode(self, body: bytes) -> Result[tuple[JobItem, ...], JobError]:
        """Return the items of a submission; an error names the malformed field."""

    def read_prompt_parts(self, item: JobItem) -> tuple[str, ...]:
        """Return the names of an item's prompt parts in order; the last one is the item's own."""


class Jobs(Protocol):
    """Accepts batch jobs and serves calls about them."""

    async def async_submit(self, submission: Submission) -> Result[None, JobError]:
        """Accept a job; submitting it again is no error and does not run it twice."""

    async def async_read_results(
        self, key: JobKey, position: int, wait_ms: int
    ) -> Result[ResultPage, JobError]:
        """Return the results from a position on; waits up to `wait_ms` for the first one."""

    async def async_read_body(self, key: JobKey, item: str) -> Result[bytes, JobError]:
        """Return the body of an item."""

    async def async_end(self, key: JobKey) -> Result[None, JobError]:
        """End a job; a repeated call is no error."""


class LocalJobs(Jobs, Protocol):
    """The jobs of this daemon."""

    @property
    def can_accept(self) -> bool:
        """Whether a submission can be accepted here now."""

    def can_read_results(self, key: JobKey, position: int) -> bool:
        """Return whether results from a position on can be read here now."""

    def can_read_items(self, key: JobKey) -> bool:
        """Return whether a job's items can be read here now."""

    def owns(self, key: JobKey) -> bool:
        """Return whether this daemon runs a job, or is loading it."""

    def count_owned(self) -> int:
        """Return the number of jobs that this daemon runs."""

    def count_body_bytes(self) -> int:
        """Return the length of the bodies of the jobs that this daemon runs."""

    def count_waiting(self) -> int:
        """Return the number of items that wait for a slot here and can still be in time."""


JOBS: Final = ComponentKey[LocalJobs]("jobs")
JOB_ROUTER: Final = ComponentKey[Jobs]("job_router")
"""Entry point for the calls of callers."""
