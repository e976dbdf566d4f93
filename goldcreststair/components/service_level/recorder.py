"""Keeps this VM's counts until the customer's owner has counted them."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from goldcreststair.components.configuration.models import Objective
from goldcreststair.components.service_level.const import (
    HISTOGRAM_DIGITS,
    HISTOGRAM_HIGHEST_MS,
    HISTOGRAM_LOWEST_MS,
)
from goldcreststair.components.service_level.models import Counts


def create_histogram() -> HdrHistogram:
    """Return an empty histogram of times to first token."""
    return HdrHistogram(HISTOGRAM_LOWEST_MS, HISTOGRAM_HIGHEST_MS, HISTOGRAM_DIGITS)


@dataclass(slots=True)
class _OpenCounts:
    counts: dict[str, Counts] = field(default_factory=dict)
    histogram: HdrHistogram = field(default_factory=create_histogram)


@dataclass(frozen=True, slots=True)
class Report:
    """Counts of one customer, resent unchanged until its owner has counted them."""

    customer: str
    sequence: int
    counts: tuple[tuple[str, Counts], ...]
    histogram: bytes


class LevelRecorder:
    """Counts requests and turns the counts into numbered reports."""

    def __init__(self) -> None:
        """Create a recorder without counts."""
        self._open_counts: dict[str, _OpenCounts] = {}
        self._unconfirmed: dict[str, Report] = {}
        self._sequence = 0

    def observe(
        self, customer: str, first_token_ms: int | None, objectives: Iterable[Objective]
    ) -> None:
        """Count one request against each objective of its customer."""
        open_counts = self._open_counts.setdefault(customer, _OpenCounts())
        if first_token_ms is not None:
            open_counts.histogram.record_value(
                min(max(first_token_ms, HISTOGRAM_LOWEST_MS), HISTOGRAM_HIGHEST_MS)
            )
        for objective in objectives:
            if objective.customer not in ("*", customer):
                continue
            good = first_token_ms is not None and first_token_ms <= objective.threshold_ms
            before = open_counts.counts.get(objective.name, Counts())
            open_counts.counts[objective.name] = before + Counts(int(good), 1)

    def collect_reports(self) -> list[Report]:
        """Return the reports to send: those not yet confirmed, and new ones.

        A customer has one report in flight at a time: if the next one were sent before the last is
        known to be counted, the same requests could be counted twice.
        """
        for customer in list(self._open_counts):
            if customer not in self._unconfirmed:
                self._unconfirmed[customer] = self._make_report(
                    customer, self._open_counts.pop(customer)
                )
        return list(self._unconfirmed.values())

    def confirm(self, report: Report) -> None:
        """Drop a report that its owner has counted."""
        if self._unconfirmed.get(report.customer) == report:
            del self._unconfirmed[report.customer]

    def _make_report(self, customer: str, open_counts: _OpenCounts) -> Report:
        self._sequence += 1
        counts = tuple(sorted(open_counts.counts.items()))
        return Report(customer, self._sequence, counts, open_counts.histogram.encode())
