"""What jobs offer to an adapter."""

from typing import Final, Protocol

from result import Result

from goldcreststair.components.jobs.errors import JobError
from goldcreststair.components.jobs.models import JobItem, JobKey, ResultPage, Submission
from goldcreststair.core import ComponentKey


class SubmissionReader(Protocol):
    """Knows how a submission's body reads."""

    def decode(self, body: bytes) -> Result[tuple[JobItem, ...], JobError]:
        """Return the items of a submission; an error names the field."""


class Jobs(Protocol):
    """Takes batch jobs and answers questions about them."""

    async def async_submit(self, submission: Submission) -> Result[None, JobError]:
        """Accept a job; a repeated one is accepted once."""

    async def async_read_results(
        self, key: JobKey, position: int, wait_ms: int
    ) -> Result[ResultPage, JobError]:
        """Return the results from a position on; waits for one up to `wait_ms`."""

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
        """Return whether results from a position on can be told here now."""

    def can_read_items(self, key: JobKey) -> bool:
        """Return whether a job's items can be told here now."""

    def owns(self, key: JobKey) -> bool:
        """Return whether this daemon runs a job."""

    def count_owned(self) -> int:
        """Return the jobs that this daemon runs."""

    def count_waiting(self) -> int:
        """Return the items that wait for a slot here and can be in time."""


JOBS: Final = ComponentKey[LocalJobs]("jobs")
JOB_ROUTER: Final = ComponentKey[Jobs]("job_router")
"""The way for callers."""
