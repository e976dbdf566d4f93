"""What other components ask of routing."""

from dataclasses import dataclass
from typing import Final, Protocol

from result import Result

from goldcreststair.core import ComponentKey
from goldcreststair.errors import GoldcreststairError
from goldcreststair.upstreams.models import Upstream


@dataclass(frozen=True, slots=True)
class NoUpstream(GoldcreststairError):
    """No upstream can take the request now."""

    known: bool = True
    """False if no upstream is configured for this model or service at all."""
    retry_after_ms: int = 1000


@dataclass(frozen=True, slots=True)
class RouteQuery:
    """What a request needs of its upstream."""

    model: str = ""
    service: str = ""
    prefix: str = ""
    """Digest of the prompt's first block, or empty."""
    excluded: frozenset[str] = frozenset()
    """Names of upstreams already tried."""


class Router(Protocol):
    """Chooses upstreams and counts this VM's requests in flight."""

    def choose(self, query: RouteQuery) -> Result[Upstream, NoUpstream]:
        """Return the upstream that shall run a request."""

    def begin(self, upstream: str) -> None:
        """Count a request as in flight."""

    def end(self, upstream: str, *, ok: bool) -> None:
        """Count a request as ended."""


ROUTER: Final = ComponentKey[Router]("routing")
