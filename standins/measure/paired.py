"""Mean differences of pairs with a bootstrap confidence interval."""

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

RESAMPLES: Final = 10_000
COVERED: Final = 0.95
"""Share of the resampled means that lie in the interval."""


@dataclass(frozen=True, slots=True)
class Difference:
    """A mean difference and its confidence interval."""

    mean: float
    low: float
    high: float

    @property
    def is_clear(self) -> bool:
        """Whether the interval excludes zero."""
        return self.low > 0 or self.high < 0


def compare(
    first: Sequence[float], second: Sequence[float], seed: int = 1, resamples: int = RESAMPLES
) -> Difference:
    """Return the mean of `first` minus `second` over all pairs."""
    differences = [a - b for a, b in zip(first, second, strict=True)]
    chance, count = random.Random(seed), len(differences)
    means = sorted(sum(chance.choices(differences, k=count)) / count for _ in range(resamples))
    cut = round(resamples * (1 - COVERED) / 2)
    return Difference(sum(differences) / count, means[cut], means[-1 - cut])
