"""Holds batch down from a burst's onset until its online work has gone."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.clock import Clock, Millis


@dataclass(frozen=True, slots=True)
class BurstParameters:
    """What shapes the hold; the defaults are measured (docs/measurements/batch.md)."""

    share: float = 0.08
    """Share of the upstream's streams that batch keeps in a burst."""
    over_share: float = 0.5
    """A burst is over when online work falls to this share of its most."""
    patience_ms: int = 4000
    """Time without a sign of pressure after which the held share rises, for what lasts longer."""
    rise_ms: int = 500
    """Time for each stream that it rises by."""
    cut_share: float = 0.7
    """What online work that waits leaves of the held share."""


NO_BOUND: Final = 1e9


class BurstLimiter:
    """Decides only; `bound` is what batch may run while the hold lasts."""

    def __init__(self, clock: Clock, parameters: BurstParameters) -> None:
        """Start with no burst."""
        self._clock = clock
        self._parameters = parameters
        self._share = NO_BOUND
        self._most = 0
        self._pressed_at = Millis(0)

    @property
    def is_on(self) -> bool:
        """Whether a burst is believed to last."""
        return self._share < NO_BOUND

    @property
    def bound(self) -> float:
        """Streams that batch may run."""
        if not self.is_on:
            return NO_BOUND
        waited = self._clock.now() - self._pressed_at - self._parameters.patience_ms
        return self._share + max(0, waited // self._parameters.rise_ms)

    def begin(self, capacity: int, told: int) -> None:
        """Take an onset; one that is seen again while the hold lasts changes nothing."""
        if self.is_on:
            return
        self._share = capacity * self._parameters.share
        self._most = told
        self._pressed_at = self._clock.now()

    def observe(self, told: int) -> None:
        """Take the online requests there are now."""
        # Released by the requests themselves and not by time: a share that rises during a burst
        # fills the slots that the next online requests need, and is cut once more.
        self._most = max(self._most, told)
        if self.is_on and told <= self._most * self._parameters.over_share:
            self._share = NO_BOUND

    def press(self) -> None:
        """Take it that online work waits in spite of the hold."""
        self._share = self.bound * self._parameters.cut_share
        self._pressed_at = self._clock.now()
