"""Errors of calls to upstreams."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.errors import GoldcreststairError


class UpstreamFailure(StrEnum):
    """How a call failed."""

    CONNECT = "connect"
    """No connection: no byte of the request left."""
    REFUSED = "refused"
    """The upstream itself said that it did not run the request."""
    REJECTED = "rejected"
    """The upstream found the request bad; another upstream would too."""
    LOST = "lost"
    """The connection broke after the request left."""
    SILENT = "silent"
    """No progress for too long."""
    TIMEOUT = "timeout"
    """The call's whole time ran out."""
    CROSSED = "crossed"
    """The answer carried another request's id."""
    INCOMPLETE = "incomplete"
    """The answer had no end marker."""
    FENCED = "fenced"
    """An order's fencing number was too old."""
    MOVED = "moved"
    """This side ended the run, to go on with it at another upstream."""
    CANCELLED = "cancelled"
    """This side gave the call up."""


@dataclass(frozen=True, slots=True)
class UpstreamError(GoldcreststairError):
    """A call to an upstream that did not succeed."""

    failure: UpstreamFailure = UpstreamFailure.LOST
    status: int = 0
    """HTTP status, or 0 without one."""
    body: bytes = b""
    """The upstream's own error answer, for `REJECTED`."""

    @property
    def not_run(self) -> bool:
        """Whether the upstream certainly did not run the request."""
        return self.failure in (UpstreamFailure.CONNECT, UpstreamFailure.REFUSED)
