"""Figures about the pace of upstreams."""

from dataclasses import dataclass

from goldcreststair.clock import Millis


@dataclass(frozen=True, slots=True)
class PaceFigure:
    """How long work takes at an upstream, as of one moment."""

    percent: float
    """100 is usual, 200 twice as long."""
    at: Millis
    decay_ms: float
    """Time constant with which the figure loses its effect."""


@dataclass(frozen=True, slots=True)
class SharedPace:
    """A reported figure that this daemon sends to others."""

    upstream: str
    percent: int
    age_ms: int
