"""Models of the graceful shutdown."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final, Protocol

from goldcreststair.blackboard import SectionKey
from goldcreststair.clock import Millis
from goldcreststair.core import ComponentKey


class LeaveReason(StrEnum):
    """Why this daemon leaves."""

    SIGNAL = "signal"
    LISTED = "listed as leaving by the platform"
    CONFIGURED = "taken out of service by an operator"


@dataclass(frozen=True, slots=True)
class Shutdown:
    """Whether this daemon is leaving; once it is, it never returns to service."""

    reason: LeaveReason | None = None
    addresses_until: Millis | None = None
    """When the last address responses that name this VM expire."""
    ends_at: Millis | None = None
    """When running requests are cut."""

    @property
    def leaving(self) -> bool:
        """Return whether this daemon is leaving."""
        return self.reason is not None

    def lets_finish(self, deadline_at: Millis, now: Millis) -> bool:
        """Return whether a request that starts now may run.

        While callers may still have only old addresses all requests run, later only those that end
        in any case.

        >>> shutdown = Shutdown(LeaveReason.SIGNAL, addresses_until=20, ends_at=100)
        >>> shutdown.lets_finish(150, now=10), shutdown.lets_finish(150, now=30)
        (True, False)
        >>> shutdown.lets_finish(90, now=30), Shutdown().lets_finish(150, now=30)
        (True, True)
        """
        if self.addresses_until is None or self.ends_at is None or now < self.addresses_until:
            return True
        return deadline_at <= self.ends_at


SHUTDOWN: Final = SectionKey[Shutdown]("shutdown")


class GracefulShutdown(Protocol):
    """Interface of the graceful shutdown."""

    def begin(self, reason: LeaveReason) -> None:
        """Begin to leave the fleet; does nothing if it has already begun."""

    async def async_wait(self) -> None:
        """Wait until all work has ended and the daemon may stop."""


SHUTDOWN_SERVICE: Final = ComponentKey[GracefulShutdown]("shutdown")
