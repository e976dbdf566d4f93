"""Interface that the features component offers to other components."""

from typing import Final, Protocol

from goldcreststair.core import ComponentKey
from goldcreststair.features import Feature


class Features(Protocol):
    """Tells which optional features are active."""

    def is_active(self, feature: Feature, service: str) -> bool:
        """Return whether a feature is active for the requests of a service."""

    def is_active_anywhere(self, feature: Feature) -> bool:
        """Return whether a feature is active for at least one service."""

    def mark_shared(self, service: str) -> bool:
        """Record that upstreams of a service report their pace; returns whether this is new."""

    def list_shared(self) -> list[str]:
        """Return the services whose upstreams report their pace, sorted."""


FEATURES: Final = ComponentKey[Features]("features")
