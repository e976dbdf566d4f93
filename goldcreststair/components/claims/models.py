"""Claims as the owner of their partition keeps them."""

from dataclasses import dataclass
from enum import IntEnum


class ClaimState(IntEnum):
    """Where a claimed run stands."""

    RUNNING = 1
    DONE = 2
    UNKNOWN = 3


class Ending(IntEnum):
    """How a runner ends its claim."""

    SETTLED = 1
    RELEASED = 2
    ABANDONED = 3


class AnswerCode(IntEnum):
    """What an owner answers."""

    GRANTED = 1
    JOINED = 2
    FINISHED = 3
    ENDED = 4
    MISMATCH = 5
    OUTCOME_UNKNOWN = 6
    TAKEN = 7
    """The claim to be ended is not the asker's any more."""
    UNAVAILABLE = 8
    """Certainly nothing was changed."""
    UNCERTAIN = 9
    """The partition was lost while the write was under way; ask its next owner."""
    NOT_OWNER = 10
    WAITING = 11
    """The run has not ended yet."""
    GONE = 12
    """The run that was joined will give no outcome, and may be asked for again."""


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """A final answer, its body inline or in an object."""

    status: int
    content_type: str
    body: bytes = b""
    body_object: str = ""


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One claim."""

    fingerprint: str
    request_id: str
    repeatable: bool
    runner: str
    claim_id: str
    state: ClaimState
    tick: int
    """Value of the partition's tick when the record was last written."""
    outcome: StoredOutcome | None = None
