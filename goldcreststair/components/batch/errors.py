"""Errors of batch jobs."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.errors import GoldcreststairError


class BatchProblem(StrEnum):
    """Why a batch call has no result."""

    BAD_LINE = "bad_line"
    MISMATCH = "mismatch"
    """The idempotency key was used before with other content."""
    UNAVAILABLE = "unavailable"
    """Certainly not accepted; try again later."""
    OUTCOME_UNKNOWN = "outcome_unknown"
    """It may have been accepted; resend with the same idempotency key to find out."""
    MISSING = "missing"


@dataclass(frozen=True, slots=True)
class BatchError(GoldcreststairError):
    """Failure of a batch call."""

    problem: BatchProblem = BatchProblem.UNAVAILABLE
    job: str = ""
