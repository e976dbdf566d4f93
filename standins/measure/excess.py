"""Computes by how much admissions exceed a rate and a burst."""

from collections.abc import Sequence

ROUNDING_MS = 2


def find_excess(
    admitted_ms: Sequence[int], rate_per_s: float, burst: float, drift: float = 0.0
) -> float:
    """Return the worst excess over every interval, in tokens; at most 0 if the bound holds.

    With the k-th admission at t(k), the interval from i to j holds j - i + 1 of them, so the lowest
    k - rate x t(k) so far gives the worst interval that ends here: one pass. The clocks of
    coordinators may be fast by `drift`, and times are rounded to milliseconds.

    >>> find_excess([0, 0, 0], 1, 2) > 0, find_excess([0, 0, 1000], 1, 2) > 0
    (True, False)
    """
    rate_per_ms = rate_per_s * (1 + drift) / 1000
    lowest, worst = float("inf"), 0.0
    for index, time in enumerate(admitted_ms):
        lowest = min(lowest, index - rate_per_ms * time)
        worst = max(worst, index + 1 - rate_per_ms * time - lowest - burst)
    return worst - 0.01 - rate_per_ms * ROUNDING_MS
