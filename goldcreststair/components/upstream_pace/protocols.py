"""Interface of the pace of upstreams for other components."""

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final, Protocol

from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.core import ComponentKey
from goldcreststair.upstreams.dialect import RunHead, UpstreamLoad


class PaceReader(Protocol):
    """Tells how long work takes at each upstream now."""

    def read_factor(self, upstream: str) -> float:
        """Return the factor of an upstream's times: 1.0 is usual, 2.0 takes twice as long."""

    def read_factors(self, service: str) -> Mapping[str, float]:
        """Return the factors of a service's upstreams, by name, without those of usual pace.

        Empty where the feature is inactive. One call serves a whole placement decision, which reads
        the factor of up to 400 upstreams.
        """

    def read_waiting(self, upstream: str) -> int:
        """Return the number of requests that an upstream last reported as waiting there.

        0 if the number is unknown or old.
        """


class UpstreamPaces(PaceReader, Protocol):
    """The pace of upstreams, and the measurements that it is derived from."""

    def count_slow(self) -> int:
        """Return the number of upstreams at which work takes much longer than usual."""

    def read_reported_factor(self, upstream: str, load: UpstreamLoad | None) -> float:
        """Return how much longer than usual work takes by the upstream's own report; at least 1.

        `load` is that of the answer in question; without one, the newest figure counts. Learned
        times have no effect, and there is none where the feature is inactive.
        """

    def record_head(self, name: str, head: RunHead) -> None:
        """Record the load in the head of an answer."""

    def record_events(
        self, entry: UpstreamEntry, first_ms: float | None, gap_ms: float | None
    ) -> None:
        """Record the times of a run: to its first event, and between two events.

        None for a time that was not measured, or not by the upstream alone.
        """


class UsualPace:
    """Implements `PaceReader` for upstreams that all have their usual pace."""

    def read_factor(self, upstream: str) -> float:
        """Return 1."""
        return 1.0

    def read_factors(self, service: str) -> Mapping[str, float]:
        """Return an empty mapping."""
        return NO_FACTORS

    def read_waiting(self, upstream: str) -> int:
        """Return 0."""
        return 0


NO_FACTORS: Final[Mapping[str, float]] = MappingProxyType({})
USUAL_PACE: Final = UsualPace()
UPSTREAM_PACE: Final = ComponentKey[UpstreamPaces]("upstream_pace")
