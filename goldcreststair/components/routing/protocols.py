"""The interface of routing to other components."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.clock import Millis
from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError
from goldcreststair.upstreams.models import Upstream


@dataclass(frozen=True, slots=True)
class NoUpstream(GoldcreststairError):
    """No upstream can run the request now."""

    known: bool = True
    """False if no upstream is configured for the model or service."""
    retry_after_ms: int = 1000
    saturated: bool = False
    """True if all suitable upstreams are at their limit or isolated for suspect requests."""
    software_gone: bool = False
    """True if no upstream that stays runs the software version that the request needs."""


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """Requirements of a request on its upstream."""

    model: str = ""
    service: str = ""
    prefix: str = ""
    """Digest of the beginning of the prompt, or empty."""
    excluded: frozenset[str] = frozenset()
    """Names of upstreams that must not be chosen."""
    alone: bool = False
    """Whether the request is suspected of crashing upstreams and runs isolated from new work."""
    admitted: bool = False
    """Whether the request was admitted before and only moves; limits then do not apply."""
    software_version: str | None = None
    """Software version that began the response; None for a new one."""
    preferred: str = ""
    """Name of the upstream that holds the request's KV state; chosen if it accepts work."""


class Router(Protocol):
    """Chooses upstreams and counts this VM's requests in flight."""

    def choose(self, query: RouteQuery) -> Result[Upstream, NoUpstream]:
        """Return the upstream to run a request."""

    def begin(self, upstream: str) -> None:
        """Count a request as in flight."""

    def end(self, upstream: str, *, ok: bool) -> None:
        """Count a request as ended."""

    def isolate(self, upstream: str, request_id: str) -> None:
        """Send no new work to an upstream while a suspect request runs there."""

    def release(self, upstream: str, request_id: str) -> None:
        """End the isolation for one request."""

    def mark_refused(self, upstream: str, model: str = "") -> None:
        """Record that an upstream refused work; without a model, work of all models."""

    def find_departure(self, upstream: Upstream) -> Millis | None:
        """Return when an upstream listed as leaving stops serving; None if it stays."""

    def count_in_flight(self) -> Mapping[str, int]:
        """Return this VM's requests in flight by upstream."""


ROUTER: Final = ComponentKey[Router]("routing")
