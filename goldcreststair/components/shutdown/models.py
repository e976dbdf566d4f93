"""Models of the graceful shutdown."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final, Protocol

from goldcreststair.blackboard import SectionKey
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

    @property
    def leaving(self) -> bool:
        """Return whether this daemon is leaving."""
        return self.reason is not None


SHUTDOWN: Final = SectionKey[Shutdown]("shutdown")


class GracefulShutdown(Protocol):
    """Interface of the graceful shutdown."""

    def begin(self, reason: LeaveReason) -> None:
        """Begin to leave the fleet; does nothing if it has already begun."""

    async def async_wait(self) -> None:
        """Wait until all work has ended and the daemon may stop."""


SHUTDOWN_SERVICE: Final = ComponentKey[GracefulShutdown]("shutdown")
