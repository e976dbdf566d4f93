"""Limits batch from the onset of a burst until the burst's online requests have ended."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.clock import Clock, Millis


@dataclass(frozen=True, slots=True)
class BurstParameters:
    """Parameters of the limit; the defaults are measured (docs/measurements/batch.md)."""

    share: float = 0.08
    """Share of the upstream's streams that batch keeps during a burst."""
    over_share: float = 0.5
    """A burst is over when online requests fall to this share of their peak."""
    patience_ms: int = 4000
    """Time without pressure after which the bound rises, for loads that last."""
    rise_ms: int = 500
    """Time per stream by which the bound rises."""
    cut_share: float = 0.7
    """Share of the bound that is left when online work waits in spite of it."""


NO_BOUND: Final = 1e9


class BurstLimiter:
    """Bound of batch streams during a burst; no I/O."""

    def __init__(self, clock: Clock, parameters: BurstParameters) -> None:
        """Create without a burst."""
        self._clock = clock
        self._parameters = parameters
        self._share = NO_BOUND
        self._peak = 0
        self._pressure_at = Millis(0)

    @property
    def is_on(self) -> bool:
        """Whether a burst is going on."""
        return self._share < NO_BOUND

    @property
    def bound(self) -> float:
        """Streams that batch may run; `NO_BOUND` without a burst."""
        if not self.is_on:
            return NO_BOUND
        waited = self._clock.now() - self._pressure_at - self._parameters.patience_ms
        return self._share + max(0, waited // self._parameters.rise_ms)

    def begin(self, capacity: int, online: int) -> None:
        """Start limiting at an onset; does nothing while a burst is going on."""
        if self.is_on:
            return
        self._share = capacity * self._parameters.share
        self._peak = online
        self._pressure_at = self._clock.now()

    def observe(self, online: int) -> None:
        """Apply the present count of online requests."""
        # Ends by the count of requests and not by time: a bound that rises during a burst fills
        # the slots that the next online requests need, and batch would be cut again.
        self._peak = max(self._peak, online)
        if self.is_on and online <= self._peak * self._parameters.over_share:
            self._share = NO_BOUND

    def tighten(self) -> None:
        """Reduce the bound, as online work waits in spite of it."""
        self._share = self.bound * self._parameters.cut_share
        self._pressure_at = self._clock.now()
