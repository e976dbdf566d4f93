"""Chooses the upstream with the fewest of this VM's requests in flight."""

from collections import Counter

from result import Err, Ok, Result

from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.routing.protocols import NoUpstream, RouteQuery
from goldcreststair.core import Core
from goldcreststair.upstreams.models import Upstream


class LeastInFlightRouter:
    """Least own in-flight, ties broken at random."""

    def __init__(self, core: Core) -> None:
        """Start with nothing in flight."""
        self._core = core
        self._in_flight: Counter[str] = Counter()

    async def async_start(self) -> None:
        """Do nothing."""

    async def async_close(self) -> None:
        """Do nothing."""

    def choose(self, query: RouteQuery) -> Result[Upstream, NoUpstream]:
        """Return the upstream that shall run a request."""
        configuration = self._core.blackboard.read(CONFIGURATION)
        able = [u for u in configuration.upstreams.values() if _fits(u, query)]
        if not able:
            return Err(NoUpstream("no upstream serves this", known=False))
        free = [
            upstream
            for upstream in able
            if upstream.name not in query.excluded
            and upstream.name not in configuration.leaving_upstreams
        ]
        if not free:
            return Err(NoUpstream("no upstream can take this now"))
        self._core.random.shuffle(free)
        return Ok(min(free, key=lambda upstream: self._in_flight[upstream.name]))

    def begin(self, upstream: str) -> None:
        """Count a request as in flight."""
        self._in_flight[upstream] += 1

    def end(self, upstream: str, *, ok: bool) -> None:
        """Count a request as ended."""
        self._in_flight[upstream] -= 1


def _fits(upstream: Upstream, query: RouteQuery) -> bool:
    if query.service:
        return upstream.service == query.service
    return query.model in upstream.models
