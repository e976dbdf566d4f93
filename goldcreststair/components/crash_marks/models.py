"""Runs that were lost with their upstream, and requests that must take turns."""

from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.helpers.crash_evidence import Suspects


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run whose connection broke, or that went silent, before its answer was complete."""

    request: str
    """Id of the request or item."""
    suspects: Suspects
    """Everything about the request that may crash upstreams."""
    prompt_parts: tuple[str, ...]
    """Names of the prompt's parts in order; the last part belongs to this request alone."""
    events: int
    """Number of events that the run had returned."""


class Turn(StrEnum):
    """Whether a request may run now."""

    READY = "ready"
    REFUSED = "refused"
    """It crashes the upstreams that run it."""
    BUSY = "busy"
    """It may crash upstreams, and another request that may do so for the same reason still runs."""
