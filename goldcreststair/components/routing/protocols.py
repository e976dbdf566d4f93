"""What other components ask of routing."""

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
    """No upstream can take the request now."""

    known: bool = True
    """False if no upstream is configured for this model or service at all."""
    retry_after_ms: int = 1000
    saturated: bool = False
    """True if upstreams serve this but all run as many of this VM's requests as they may."""


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """What a request needs of its upstream."""

    model: str = ""
    service: str = ""
    prefix: str = ""
    """Digest of the prompt's first block, or empty."""
    excluded: frozenset[str] = frozenset()
    """Names of upstreams already tried."""
    alone: bool = False
    """Whether the request is suspected of crashing upstreams, and runs apart from others."""
    admitted: bool = False
    """Whether the request ran before and only moves, so that no limit holds it back."""
    preferred: str = ""
    """Name of the upstream that holds the request's KV state: taken if it is open."""


class Router(Protocol):
    """Chooses upstreams and counts this VM's requests in flight."""

    def choose(self, query: RouteQuery) -> Result[Upstream, NoUpstream]:
        """Return the upstream that shall run a request."""

    def begin(self, upstream: str) -> None:
        """Count a request as in flight."""

    def end(self, upstream: str, *, ok: bool) -> None:
        """Count a request as ended."""

    def isolate(self, upstream: str, request_id: str) -> None:
        """Keep new work away from an upstream while a suspect runs there."""

    def release(self, upstream: str, request_id: str) -> None:
        """End an isolation."""

    def note_refused(self, upstream: str, model: str = "") -> None:
        """Note that an upstream said it takes no work, of this model or at all, for a while."""

    def find_departure(self, upstream: Upstream) -> Millis | None:
        """Return when an upstream that the platform takes away is gone, None if it stays."""

    def count_in_flight(self) -> Mapping[str, int]:
        """Return this VM's requests in flight by upstream."""


ROUTER: Final = ComponentKey[Router]("routing")
