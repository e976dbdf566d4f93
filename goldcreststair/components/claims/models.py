"""Records of claims and the answers of their owner."""

from dataclasses import dataclass
from enum import IntEnum


class ClaimState(IntEnum):
    """State of a claimed run."""

    RUNNING = 1
    DONE = 2
    UNKNOWN = 3


class Ending(IntEnum):
    """How a runner ends its claim."""

    SETTLED = 1
    RELEASED = 2
    ABANDONED = 3


class AnswerCode(IntEnum):
    """Answer of an owner to a claim message."""

    GRANTED = 1
    JOINED = 2
    FINISHED = 3
    ENDED = 4
    MISMATCH = 5
    OUTCOME_UNKNOWN = 6
    TAKEN = 7
    """The claim to be ended is no longer held by the requester."""
    UNAVAILABLE = 8
    """Certainly nothing was changed."""
    UNCERTAIN = 9
    """The partition was lost during the write, which may have taken effect; ask its next owner."""
    NOT_OWNER = 10
    WAITING = 11
    """The run has not ended yet."""
    GONE = 12
    """The joined run will have no outcome; the request may be claimed again."""


@dataclass(frozen=True, slots=True)
class StoredOutcome:
    """A final answer with its body, which is inline or in the object `body_object`."""

    status: int
    content_type: str
    body: bytes = b""
    body_object: str = ""


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One claim as stored in the ledger."""

    fingerprint: str
    request_id: str
    repeatable: bool
    runner: str
    claim_id: str
    state: ClaimState
    tick: int
    """Tick of the partition when the claim was granted."""
    outcome: StoredOutcome | None = None
