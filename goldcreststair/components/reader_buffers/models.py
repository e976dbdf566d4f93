"""State of a caller's connection that does not accept bytes as fast as they arrive."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.clock import Millis


class ShedReason(StrEnum):
    """Why a stream was shed."""

    BOUND = "bound"
    """The bytes held for all readers exceeded the daemon's bound."""
    STALLED = "stalled"
    """The reader accepted nothing for too long."""


@dataclass(frozen=True, slots=True)
class ReaderIdentity:
    """The request whose answer a reader gets."""

    request_id: str
    resumable: bool
    """Whether the caller may continue the stream with another request."""
    ends_at: Millis
    """Deadline by which the upstream must have been read."""


@dataclass(slots=True, eq=False)
class ReaderState:
    """What is held for one reader, and how fast it accepts it."""

    identity: ReaderIdentity
    held: int = 0
    """Bytes that the connection has not accepted."""
    accepted: int = 0
    """Bytes that it has accepted since it began to lag."""
    lags_since: Millis | None = None
    """Since when no write was accepted at once; None if the last one was."""
