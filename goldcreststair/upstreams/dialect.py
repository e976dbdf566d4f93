"""How a forwarded request and its answer look on the wire of an upstream."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

Headers = tuple[tuple[str, str], ...]


@dataclass(frozen=True, slots=True)
class RunCall:
    """One run of a request at one upstream."""

    request_id: str
    method: str
    host: str
    path: str
    """With its query, as the caller sent it."""
    headers: Headers
    """The caller's headers that an upstream may see; never a key."""
    body: bytes
    customer: str
    """Whose request it is; empty for a route that asks for no key."""
    upstream: str
    """Name of the upstream that shall run it; any other one refuses."""
    deadline_ms: int
    """Time left, after which the upstream stops its work."""
    resume_after: int = 0
    """Number of the last event received; 0 runs from the start."""


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """What an upstream says of itself in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class RunHead:
    """The head of an upstream's answer."""

    status: int
    headers: Headers
    """Those that the caller gets, unchanged."""
    not_run: bool
    """Whether the upstream says that it did not and will not run the request."""
    misdirected: bool
    """Whether another upstream than the named one has the address now."""
    load: UpstreamLoad | None
    cold_ms: int = 0
    """How much longer the upstream bears few requests, if it says so."""


class UpstreamDialect(Protocol):
    """Translates between runs and HTTP."""

    def encode_run(self, call: RunCall) -> Mapping[str, str]:
        """Return the headers of a run."""

    def decode_head(self, status: int, headers: Mapping[str, str]) -> RunHead:
        """Return the head of an answer."""

    def is_own(self, call: RunCall, headers: Mapping[str, str]) -> bool:
        """Return whether an answer belongs to this run and not to another request."""
