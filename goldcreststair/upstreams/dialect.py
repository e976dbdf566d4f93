"""Translation of forwarded requests and their answers to an upstream's HTTP headers."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from goldcreststair.http_exchange import FIRST_ERROR_STATUS

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RunCall:
    """One run of a request at one upstream."""

    request_id: str
    method: str
    host: str
    path: str
    """Path and query as the caller sent them."""
    headers: Headers
    """The caller's headers that an upstream may receive; never a key."""
    body: bytes
    customer: str
    """Name of the customer; empty for a route that needs no key."""
    upstream: str
    """Name of the upstream that is to run the request; any other upstream refuses it."""
    deadline_ms: int
    """Remaining time, after which the upstream stops the run."""
    resume_after: int = 0
    """Number of the last event received; 0 runs the request from the start."""
    delivers_late: bool = False
    """Whether an answer that is complete before the deadline is delivered after it."""


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that an upstream reports in an answer."""

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None
    """How long work takes at the upstream now; 100 is usual. None if it does not report it."""


@dataclass(frozen=True, slots=True)
class RunHead:
    """The head of an upstream's answer."""

    status: int
    headers: Headers
    """Headers that the caller gets, unchanged."""
    not_run: bool
    """Whether the upstream reports that it did not and will not run the request."""
    misdirected: bool
    """Whether the address now belongs to another upstream than the requested one."""
    load: UpstreamLoad | None
    cold_ms: int = 0
    """For how much longer the upstream tolerates only few requests, if it reports so."""
    load_text: str = ""
    """The beginning of the header that reports the load, as sent; empty if there was none."""

    @property
    def is_refusal(self) -> bool:
        """Whether the upstream certainly has not run the request and will not run it."""
        return self.misdirected or (self.not_run and self.status >= FIRST_ERROR_STATUS)

    @property
    def is_contradictory(self) -> bool:
        """Whether it answers with a success, and says that it has not run the request."""
        return self.not_run and not self.is_refusal


class UpstreamDialect(Protocol):
    """Translates between runs and HTTP headers."""

    def encode_run(self, call: RunCall) -> Mapping[str, str]:
        """Return the request headers of a run."""

    def decode_head(self, status: int, headers: Mapping[str, str]) -> RunHead:
        """Return the head of an answer."""

    def matches_run(self, call: RunCall, headers: Mapping[str, str]) -> bool:
        """Return whether an answer with these headers belongs to this run and not to another request."""
