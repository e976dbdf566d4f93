"""Interface that the outliers component offers to other components."""

from typing import TYPE_CHECKING, Final, Protocol

from goldcreststair.clock import Millis
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.core import ComponentKey

if TYPE_CHECKING:
    # The placement component imports this module.
    from goldcreststair.components.placement.models import RunOutcome


class OutlierReader(Protocol):
    """Tells which upstreams get no requests, or only trial requests."""

    def has_excluded(self) -> bool:
        """Return whether any upstream is ejected or half-open."""

    def is_ejected(self, upstream: str) -> bool:
        """Return whether an upstream is ejected."""

    def is_excluded(self, upstream: str) -> bool:
        """Return whether an upstream is ejected or half-open; batch runs are not sent there."""

    def may_send(self, upstream: str) -> bool:
        """Return whether this daemon may send a request to an upstream now.

        False while it is ejected, and while it is half-open unless this daemon sends a trial request.
        """


class Outliers(OutlierReader, Protocol):
    """Receives the outcomes of all runs of this daemon."""

    def is_active(self, service: str) -> bool:
        """Return whether the feature is active for a service."""

    def count_ejected(self) -> int:
        """Return the number of upstreams that are ejected."""

    def read_slow_ms(self, service: str) -> int | None:
        """Return the time after which a first event is late; None if unknown or inactive."""

    def record_begin(self, upstream: str) -> None:
        """Record that an online run begins at an upstream."""

    def record_outcome(
        self,
        entry: UpstreamEntry,
        outcome: "RunOutcome",
        first_ms: int | None,
        began_at: Millis | None = None,
    ) -> None:
        """Record the end of a run; `began_at` is None for a batch run."""


class NoOutliers:
    """Implements `OutlierReader` without any ejected upstream."""

    def has_excluded(self) -> bool:
        """Return False."""
        return False

    def is_ejected(self, upstream: str) -> bool:
        """Return False."""
        return False

    def is_excluded(self, upstream: str) -> bool:
        """Return False."""
        return False

    def may_send(self, upstream: str) -> bool:
        """Return True."""
        return True


NO_OUTLIERS: Final = NoOutliers()
OUTLIERS: Final = ComponentKey[Outliers]("outliers")
