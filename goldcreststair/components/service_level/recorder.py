"""This VM's own counts, until the customer's owner has them."""

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
class _Tally:
    counts: dict[str, Counts] = field(default_factory=dict)
    histogram: HdrHistogram = field(default_factory=create_histogram)


@dataclass(frozen=True, slots=True)
class Report:
    """Counts of one customer, sent again unchanged until they are counted."""

    customer: str
    sequence: int
    counts: tuple[tuple[str, Counts], ...]
    histogram: bytes


class LevelRecorder:
    """Tallies requests and cuts the tallies into numbered reports."""

    def __init__(self) -> None:
        """Start with nothing tallied."""
        self._tallies: dict[str, _Tally] = {}
        self._pending: dict[str, Report] = {}
        self._sequence = 0

    def observe(
        self, customer: str, first_token_ms: int | None, objectives: Iterable[Objective]
    ) -> None:
        """Count one request against each objective of its customer."""
        tally = self._tallies.setdefault(customer, _Tally())
        if first_token_ms is not None:
            tally.histogram.record_value(
                min(max(first_token_ms, HISTOGRAM_LOWEST_MS), HISTOGRAM_HIGHEST_MS)
            )
        for objective in objectives:
            if objective.customer not in ("*", customer):
                continue
            good = first_token_ms is not None and first_token_ms <= objective.threshold_ms
            before = tally.counts.get(objective.name, Counts())
            tally.counts[objective.name] = before + Counts(int(good), 1)

    def collect_reports(self) -> list[Report]:
        """Return the reports to send: those not yet counted, and new ones.

        A customer has one report under way at a time: sending the next before the last is known
        to be counted could count the same requests twice.
        """
        for customer in list(self._tallies):
            if customer not in self._pending:
                self._pending[customer] = self._cut(customer, self._tallies.pop(customer))
        return list(self._pending.values())

    def confirm(self, report: Report) -> None:
        """Forget a report that its owner has counted."""
        if self._pending.get(report.customer) == report:
            del self._pending[report.customer]

    def _cut(self, customer: str, tally: _Tally) -> Report:
        self._sequence += 1
        counts = tuple(sorted(tally.counts.items()))
        return Report(customer, self._sequence, counts, tally.histogram.encode())
