"""Requests of callers, before and after admission."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CatalogueCustomer, Route
from goldcreststair.components.stream_origins.models import StreamOrigin
from goldcreststair.helpers.crash_evidence import Suspects
from goldcreststair.upstreams.dialect import Headers


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A request as received from a caller."""

    request_id: str
    method: str
    host: str
    path: str
    """Without the query."""
    target: str
    """Path and query, as sent."""
    headers: Headers
    """The headers that an upstream may receive."""
    body: bytes
    key: str
    """The API key; empty if the caller sent none."""
    deadline_ms: int
    """Time that the caller waits, counted from `arrived_at`; 0 if it sent none."""
    arrived_at: Millis
    resume_after: int = 0
    """Number of the last event that the caller received; 0 runs from the start."""
    begun_as: str = ""
    """Request id of the caller's attempt that brought the first event, where `resume_after` is not 0;
    empty if the caller does not name it."""
    prompt_parts: tuple[str, ...] = ()
    """Names of the prompt's parts in order; the last part belongs to this request alone."""


class AdmissionBasis(StrEnum):
    """Why a request is expected to end before this daemon stops."""

    NOT_LEAVING = "not leaving"
    DEADLINE = "deadline"
    """Its deadline passes before the stop."""
    RUN_TIME = "run time"
    """The usual run time of its route is less than the time left."""


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that was admitted."""

    request: CallerRequest
    route: Route
    customer: CatalogueCustomer | None
    """None on a route that needs no key."""
    service: str
    ends_at: Millis
    """Deadline for the complete answer."""
    suspects: Suspects = frozenset()
    """Everything about the request that may crash upstreams."""
    origin: StreamOrigin | None = None
    """The software that began the stream that the caller takes up; None for a new stream."""
    basis: AdmissionBasis = AdmissionBasis.NOT_LEAVING

    @property
    def affinity(self) -> str:
        """Name of the last prompt part that other requests share; empty without affinity."""
        if not self.route.affinity or len(self.request.prompt_parts) < 2:
            return ""
        return self.request.prompt_parts[-2]
