"""Errors of batch jobs."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.errors import GoldcreststairError


class JobProblem(StrEnum):
    """Kind of failure of a call about a job."""

    INVALID = "invalid"
    """The submission is malformed; none of it runs."""
    NO_ROOM = "no_room"
    """The customer's waiting tokens are at their limit; none of the submission runs."""
    UNAVAILABLE = "unavailable"
    """The store does not answer; nothing was changed, and nothing will be later."""
    UNKNOWN = "unknown"
    """The call may or may not have taken effect, or may take effect later."""
    MISSING = "missing"
    """There is no such job or item."""


@dataclass(frozen=True, slots=True)
class JobError(GoldcreststairError):
    """A call about a job failed."""

    problem: JobProblem = JobProblem.UNAVAILABLE
    field: str = ""
    """The malformed field of a submission; empty for other problems."""


@dataclass(frozen=True, slots=True)
class JobLost(GoldcreststairError):
    """This daemon no longer owns the job."""

    ended: bool = False
    """Whether the job is not open any more, as opposed to having another owner."""
