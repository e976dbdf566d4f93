"""The services that routes have had of late; no I/O.

A route may move to another service while its streams run, and the new service cannot continue what the old one
began.
"""

from collections.abc import Set as AbstractSet

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.catalogue.models import CallKind, Catalogue, Route
from goldcreststair.components.stream_origins.const import SOFTWARE_MEMORY_MS


class RouteServices:
    """Earlier services of the routes of the catalogue, by the services that they have now."""

    def __init__(self, clock: Clock) -> None:
        """Start without a catalogue."""
        self._clock = clock
        self._catalogue = Catalogue()
        self._former: dict[str, dict[str, Millis]] = {}
        """By service, those that a route of it had before, and until when."""
        self._moved_at: Millis | None = None

    def apply_catalogue(self, catalogue: Catalogue) -> bool:
        """Apply a version of the catalogue; returns whether a route has moved from a service."""
        before, self._catalogue = self._catalogue, catalogue
        pairs: list[tuple[Route | None, Route | None]]
        pairs = [(before.find_route(r.host, r.prefix), r) for r in catalogue.routes]
        pairs += [(r, catalogue.find_route(r.host, r.prefix)) for r in before.routes]
        moved = [self._move(_list_services(old), _list_services(new)) for old, new in pairs]
        if any(moved):
            self._moved_at = self._clock.now()
        return any(moved)

    def list_services(self, services: AbstractSet[str], within_ms: int) -> frozenset[str]:
        """Return the present services of a route with those that it had in the last `within_ms`."""
        horizon = self._clock.now() - within_ms
        former = {
            name
            for service in services
            for name, until in self._former.get(service, {}).items()
            if until >= horizon
        }
        return frozenset(services) | former

    def has_moved(self) -> bool:
        """Return whether any route has moved of late."""
        moved_at = self._moved_at
        return moved_at is not None and self._clock.now() - moved_at <= SOFTWARE_MEMORY_MS

    def _move(self, old: frozenset[str], new: frozenset[str]) -> bool:
        left = old - new
        if not left or not new:
            return False
        until = dict.fromkeys(left, self._clock.now())
        for service in old:
            until = self._former.get(service, {}) | until
        for service in new:
            self._former[service] = self._former.get(service, {}) | until
        return True


def _list_services(route: Route | None) -> frozenset[str]:
    """Return the services of a route whose streams may be taken up."""
    if route is None or route.kind is not CallKind.STREAMING:
        return frozenset()
    return frozenset(weighted.service for weighted in route.services)
