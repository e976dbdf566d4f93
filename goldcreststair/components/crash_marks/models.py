"""Runs that were lost with their upstream, and requests that must take turns."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.helpers.crash_evidence import Extent, RequestSuspects


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run whose connection broke, or that went silent, before its answer was complete."""

    request: str
    """Id of the request or item."""
    suspects: RequestSuspects
    prompt_parts: tuple[str, ...]
    """Names of the prompt's parts in order; the last part belongs to this request alone."""
    extent: Extent
    """How far its answer had got."""


class Turn(StrEnum):
    """Whether a request may run now."""

    READY = "ready"
    TRIAL = "trial"
    """It is refused, but may run as a trial that can refute the verdict."""
    REFUSED = "refused"
    """It crashes the upstreams that run it."""
    BUSY = "busy"
    """It may crash upstreams, and another request that may do so for the same reason still runs."""

    @property
    def may_run(self) -> bool:
        """Whether the request may run now."""
        return self in (Turn.READY, Turn.TRIAL)
