"""Errors of the platform's services."""

from dataclasses import dataclass

from goldcreststair.errors import GoldcreststairError
from goldcreststair.store.models import Row


@dataclass(frozen=True, slots=True)
class PlatformError(GoldcreststairError):
    """A call to the platform that did not succeed."""


@dataclass(frozen=True, slots=True)
class PlatformUnavailable(PlatformError):
    """The call certainly had no effect: it was refused, or never sent."""


@dataclass(frozen=True, slots=True)
class PlatformOutcomeUnknown(PlatformError):
    """No answer was received: the call may or may not have taken effect."""


@dataclass(frozen=True, slots=True)
class RowConflict(PlatformError):
    """A compare-and-set found another version; nothing was written."""

    current: Row | None = None
    """The row's current state, or None if it does not exist."""


@dataclass(frozen=True, slots=True)
class ObjectMissing(PlatformError):
    """No object has this name."""
