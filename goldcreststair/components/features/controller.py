"""Decides for which services the optional features are active; no I/O.

Designed for deployments with different loads on one build: a deployment gets the features that its
settings name, and a service whose upstreams report the pace of the machines that they share gets
those that such machines require.
"""

from collections.abc import Set as AbstractSet

from goldcreststair.features import Feature


class FeatureController:
    """Implements `Features`."""

    def __init__(self, always: AbstractSet[Feature], shared: AbstractSet[Feature]) -> None:
        """Create a controller.

        `always` are the features of all services, `shared` those of services on shared machines.
        """
        self._always = frozenset(always)
        self._shared = frozenset(shared)
        self._shared_services: set[str] = set()

    def is_active(self, feature: Feature, service: str) -> bool:
        """Return whether a feature is active for the requests of a service."""
        return feature in self._always or (
            feature in self._shared and service in self._shared_services
        )

    def is_active_anywhere(self, feature: Feature) -> bool:
        """Return whether a feature is active for at least one service."""
        return feature in self._always or (feature in self._shared and bool(self._shared_services))

    def mark_shared(self, service: str) -> bool:
        """Record that upstreams of a service report their pace; returns whether this is new."""
        if service in self._shared_services:
            return False
        self._shared_services.add(service)
        return True

    def list_shared(self) -> list[str]:
        """Return the services whose upstreams report their pace, sorted."""
        return sorted(self._shared_services)
