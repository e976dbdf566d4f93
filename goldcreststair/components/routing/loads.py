"""Estimates the load of each upstream; no I/O."""

from collections import deque
from dataclasses import dataclass, field

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.routing.const import (
    HISTORY_MS,
    MAX_IN_FLIGHT,
    MIN_LIMIT,
    REFUSED_MS,
    REPORT_LAG_MS,
    REPORT_LIFETIME_MS,
)
from goldcreststair.upstreams.models import LoadReport


@dataclass(frozen=True, slots=True)
class _Sample:
    at: Millis
    in_flight: int


@dataclass(slots=True)
class _UpstreamLoad:
    in_flight: int = 0
    history: deque[_Sample] = field(default_factory=deque)
    report: LoadReport | None = None
    report_at: Millis = Millis(0)
    others: float = 0.0
    """Requests of other VMs at the time of the report."""
    refused_until: dict[str, Millis] = field(default_factory=dict)
    """By model; the empty name stands for all models."""


class LoadTracker:
    """Tracks own requests in flight exactly, and other VMs' by delayed reports.

    Reported requests are discounted by the age of the report.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without any load."""
        self._clock = clock
        self._loads: dict[str, _UpstreamLoad] = {}

    def add(self, upstream: str, change: int) -> None:
        """Change the number of this VM's requests in flight at an upstream."""
        load = self._loads.setdefault(upstream, _UpstreamLoad())
        load.in_flight += change
        now = self._clock.now()
        load.history.append(_Sample(now, load.in_flight))
        while len(load.history) > 1 and load.history[1].at <= now - HISTORY_MS:
            load.history.popleft()

    def apply_report(self, upstream: str, report: LoadReport) -> None:
        """Apply a report, which shows the load as it was `REPORT_LAG_MS` ago."""
        load = self._loads.setdefault(upstream, _UpstreamLoad())
        made_at = Millis(self._clock.now() - REPORT_LAG_MS)
        # A report includes this VM's own requests. If they were not subtracted, a burst would
        # count twice: once as requests in flight, and again from the delayed report.
        own = _find_in_flight_at(load, made_at)
        if load.report is None or report.sequence != load.report.sequence:
            load.report_at = made_at
        load.report = report
        load.others = max(0.0, report.running + report.waiting - own)

    def discard_report(self, upstream: str) -> None:
        """Discard the report of an upstream that cannot be reached."""
        load = self._loads.get(upstream)
        if load is not None:
            load.report, load.others = None, 0.0

    def mark_refused(self, upstream: str, model: str = "") -> None:
        """Send an upstream no work of a model for `REFUSED_MS`; without a model, none at all."""
        load = self._loads.setdefault(upstream, _UpstreamLoad())
        now = self._clock.now()
        load.refused_until = {name: at for name, at in load.refused_until.items() if at > now}
        load.refused_until[model] = Millis(now + REFUSED_MS)

    def is_open(self, upstream: str, model: str = "") -> bool:
        """Return whether an upstream accepts work of a model, by its responses and reports."""
        load = self._loads.get(upstream)
        if load is None:
            return True
        now = self._clock.now()
        if any(load.refused_until.get(name, now) > now for name in ("", model)):
            return False
        report = load.report
        if report is None:
            return True
        return not report.draining and (not model or not self._lacks_model(load, report, model))

    def has_room(self, upstream: str) -> bool:
        """Return whether this VM may send one more request to an upstream."""
        limit = max(MIN_LIMIT, MAX_IN_FLIGHT - self.read_waiting(upstream))
        return self.read_in_flight(upstream) < limit

    def read_in_flight(self, upstream: str) -> int:
        """Return the number of this VM's requests in flight at an upstream."""
        load = self._loads.get(upstream)
        return load.in_flight if load else 0

    def read_all_in_flight(self) -> dict[str, int]:
        """Return this VM's requests in flight by upstream, without those that have none."""
        return {name: load.in_flight for name, load in self._loads.items() if load.in_flight}

    def read_software(self, upstream: str) -> str | None:
        """Return the software version that an upstream last reported, or None without a report."""
        load = self._loads.get(upstream)
        return load.report.software_version if load is not None and load.report else None

    def estimate(self, upstream: str) -> float:
        """Return the estimated number of requests at an upstream now."""
        load = self._loads.get(upstream)
        if load is None:
            return 0.0
        return load.in_flight + load.others * self._compute_report_weight(load)

    def read_waiting(self, upstream: str) -> int:
        """Return the reported queue length, discounted by the age of the report."""
        load = self._loads.get(upstream)
        if load is None or load.report is None:
            return 0
        return int(load.report.waiting * self._compute_report_weight(load))

    def _lacks_model(self, load: _UpstreamLoad, report: LoadReport, model: str) -> bool:
        # Engines of idle models are not polled, so an old report may miss a model that was loaded
        # since. A request sent to an engine without the model is refused and retried elsewhere.
        fresh = self._clock.now() - load.report_at < REPORT_LIFETIME_MS
        return fresh and model not in report.models and model not in report.adapters

    def _compute_report_weight(self, load: _UpstreamLoad) -> float:
        age = self._clock.now() - load.report_at
        return max(0.0, 1.0 - age / REPORT_LIFETIME_MS)


def _find_in_flight_at(load: _UpstreamLoad, at: Millis) -> int:
    found = 0
    for sample in load.history:
        if sample.at > at:
            break
        found = sample.in_flight
    return found
