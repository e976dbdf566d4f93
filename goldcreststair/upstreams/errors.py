"""Errors of calls to upstreams."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.errors import GoldcreststairError


class UpstreamFailure(StrEnum):
    """How a call failed."""

    CONNECT = "connect"
    """No connection: no byte of the request was sent."""
    REFUSED = "refused"
    """The upstream reported that it did not run the request."""
    REJECTED = "rejected"
    """The upstream found the request invalid; other upstreams would too."""
    LOST = "lost"
    """The connection broke after the request was sent, or the upstream answered with a server error."""
    SILENT = "silent"
    """No progress for too long."""
    TIMEOUT = "timeout"
    """The deadline of the call passed."""
    CROSSED = "crossed"
    """The answer carried another request's id."""
    INCOMPLETE = "incomplete"
    """The answer had no end marker."""
    FENCED = "fenced"
    """The fencing token of an order was too old."""
    OTHER_SOFTWARE = "other_software"
    """The engine runs another software version than the one that began the answer."""
    MOVED = "moved"
    """The daemon ended the run to continue it at another upstream."""
    CANCELLED = "cancelled"
    """The daemon cancelled the call."""


@dataclass(frozen=True, slots=True)
class UpstreamError(GoldcreststairError):
    """A failed call to an upstream."""

    failure: UpstreamFailure = UpstreamFailure.LOST
    status: int = 0
    """HTTP status, or 0 without one."""
    body: bytes = b""
    """The upstream's error response, for `REJECTED`."""
    misdirected: bool = False
    """Whether the address now belongs to another upstream, which did not run the request."""

    @property
    def not_run(self) -> bool:
        """Whether the upstream certainly did not run the request."""
        return self.failure in (UpstreamFailure.CONNECT, UpstreamFailure.REFUSED)
