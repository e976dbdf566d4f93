"""Learns the pace of upstreams that do not report it from the times of this daemon's runs; no I/O.

Designed for services of which some upstreams always take longer than others. Only times at upstreams
of one service are compared, so that the length of its answers has no effect.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from statistics import median

from goldcreststair.clock import Millis
from goldcreststair.components.upstream_pace.const import (
    LEARNED_FORGET_MS,
    MIN_COMPARED,
    SMOOTHING,
)


@dataclass(slots=True)
class _Times:
    at: Millis
    first_ms: float | None = None
    gap_ms: float | None = None


class LearnedPaces:
    """Moving averages of the times of runs by service and upstream."""

    def __init__(self) -> None:
        """Start without measured runs."""
        self._times: dict[str, dict[str, _Times]] = {}

    def record(
        self,
        service: str,
        upstream: str,
        now: Millis,
        first_ms: float | None,
        gap_ms: float | None,
    ) -> float | None:
        """Record a run; returns the upstream's pace in percent of the median, None if unknown."""
        known = self._times.setdefault(service, {}).setdefault(upstream, _Times(now))
        known.at = now
        known.first_ms = _smooth(known.first_ms, first_ms)
        known.gap_ms = _smooth(known.gap_ms, gap_ms)
        others = [t for t in self._times[service].values() if now - t.at < LEARNED_FORGET_MS]
        ratios = list(_list_ratios(known, others))
        return 100 * sum(ratios) / len(ratios) if ratios else None

    def forget(self, service: str, upstream: str) -> None:
        """Drop the times of an upstream that is gone or has restarted."""
        self._times.get(service, {}).pop(upstream, None)


def _smooth(known: float | None, measured: float | None) -> float | None:
    if measured is None or known is None:
        return known if measured is None else measured
    return known + SMOOTHING * (measured - known)


def _list_ratios(own: _Times, all_times: list[_Times]) -> Iterator[float]:
    pairs = (
        (own.first_ms, [t.first_ms for t in all_times if t.first_ms is not None]),
        (own.gap_ms, [t.gap_ms for t in all_times if t.gap_ms is not None]),
    )
    for value, values in pairs:
        if value is None or len(values) < MIN_COMPARED:
            continue
        usual = median(values)
        if usual > 0:
            yield value / usual
