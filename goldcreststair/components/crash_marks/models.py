"""Runs that were lost with their upstream."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class LostRun:
    """A run whose connection broke before its answer was complete."""

    request: str
    """Id of the request or item."""
    fingerprint: str
    """Identifies the request when its caller sends it again."""
    prompt_parts: tuple[str, ...]
    """Names of the prompt's parts in order; the last part belongs to this request alone."""
    events: int
    """Number of events that the run had returned."""
