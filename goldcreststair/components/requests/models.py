"""One request of a caller, as far as it is read."""

from dataclasses import dataclass

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import CatalogueCustomer, Route
from goldcreststair.upstreams.dialect import Headers


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """What a caller sent."""

    request_id: str
    method: str
    host: str
    path: str
    """Without the query."""
    target: str
    """Path and query, as sent."""
    headers: Headers
    """Those that an upstream may see."""
    body: bytes
    key: str
    """Empty if it brought none."""
    deadline_ms: int
    """Time that the caller waits from `arrived_at`; 0 if it named none."""
    arrived_at: Millis
    resume_after: int = 0
    """Number of the last event that the caller has; 0 starts anew."""
    prompt_parts: tuple[str, ...] = ()
    """Names of the prompt's parts in their order; the last is the request's own."""


@dataclass(frozen=True, slots=True)
class AdmittedRequest:
    """A request that may run."""

    request: CallerRequest
    route: Route
    customer: CatalogueCustomer | None
    """None on a route that asks for no key."""
    service: str
    ends_at: Millis
    """When its answer must be whole."""
    fingerprint: str = ""
    """Recognises it when its caller sends it again."""

    @property
    def affinity(self) -> str:
        """What names the part of its prompt that others share."""
        if not self.route.affinity or len(self.request.prompt_parts) < 2:
            return ""
        return self.request.prompt_parts[-2]
