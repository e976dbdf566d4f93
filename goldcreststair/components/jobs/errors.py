"""Errors of batch jobs."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.errors import GoldcreststairError


class JobProblem(StrEnum):
    """What is wrong."""

    INVALID = "invalid"
    """The submission cannot be read; nothing of it runs."""
    NO_ROOM = "no_room"
    """The customer has too many tokens waiting; nothing of it runs."""
    UNAVAILABLE = "unavailable"
    """The store does not answer; nothing was changed and nothing will be."""
    UNKNOWN = "unknown"
    """It may or may not have taken effect, or may still."""
    MISSING = "missing"
    """There is no such job or item."""


@dataclass(frozen=True, slots=True)
class JobError(GoldcreststairError):
    """A call about a job that did not succeed."""

    problem: JobProblem = JobProblem.UNAVAILABLE
    field: str = ""
    """The field of a submission that cannot be read."""


@dataclass(frozen=True, slots=True)
class JobLost(GoldcreststairError):
    """This daemon does not own the job any more."""

    ended: bool = False
    """Whether it is not open any more at all."""
