"""What this VM believes of each upstream's load; no I/O."""

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
    """Requests of other VMs when the report was made."""
    refused_until: dict[str, Millis] = field(default_factory=dict)
    """By model; the empty one stands for all."""


class LoadBook:
    """Own requests in flight, exact, and other VMs' from lagged reports, discounted by age."""

    def __init__(self, clock: Clock) -> None:
        """Start knowing nothing."""
        self._clock = clock
        self._loads: dict[str, _UpstreamLoad] = {}

    def add(self, upstream: str, change: int) -> None:
        """Change this VM's requests in flight at an upstream."""
        load = self._loads.setdefault(upstream, _UpstreamLoad())
        load.in_flight += change
        now = self._clock.now()
        load.history.append(_Sample(now, load.in_flight))
        while len(load.history) > 1 and load.history[1].at <= now - HISTORY_MS:
            load.history.popleft()

    def take_report(self, upstream: str, report: LoadReport) -> None:
        """Take a report, which shows the load as it stood a lag ago."""
        load = self._loads.setdefault(upstream, _UpstreamLoad())
        made_at = Millis(self._clock.now() - REPORT_LAG_MS)
        # A report counts our own requests too. Taken as it is, a burst of ours would count
        # twice, once from our book and again a lag later from the report.
        own = _find_in_flight(load, made_at)
        if load.report is None or report.sequence != load.report.sequence:
            load.report_at = made_at
        load.report = report
        load.others = max(0.0, report.running + report.waiting - own)

    def forget_report(self, upstream: str) -> None:
        """Drop a report whose upstream cannot be reached."""
        load = self._loads.get(upstream)
        if load is not None:
            load.report, load.others = None, 0.0

    def note_refused(self, upstream: str, model: str = "") -> None:
        """Give an upstream no new work of a model for a while, or none at all without one."""
        load = self._loads.setdefault(upstream, _UpstreamLoad())
        now = self._clock.now()
        load.refused_until = {name: at for name, at in load.refused_until.items() if at > now}
        load.refused_until[model] = Millis(now + REFUSED_MS)

    def is_open(self, upstream: str, model: str = "") -> bool:
        """Return whether an upstream may be given work of a model, by its answers and reports."""
        load = self._loads.get(upstream)
        if load is None:
            return True
        now = self._clock.now()
        if any(load.refused_until.get(name, now) > now for name in ("", model)):
            return False
        report = load.report
        if report is None:
            return True
        return not report.draining and (not model or not self._lacks(load, report, model))

    def has_room(self, upstream: str) -> bool:
        """Return whether one more of this VM's requests may run at an upstream."""
        limit = max(MIN_LIMIT, MAX_IN_FLIGHT - self.read_waiting(upstream))
        return self.read_in_flight(upstream) < limit

    def read_in_flight(self, upstream: str) -> int:
        """Return this VM's requests in flight."""
        load = self._loads.get(upstream)
        return load.in_flight if load else 0

    def read_all_in_flight(self) -> dict[str, int]:
        """Return this VM's requests in flight by upstream, those at zero left out."""
        return {name: load.in_flight for name, load in self._loads.items() if load.in_flight}

    def estimate(self, upstream: str) -> float:
        """Return the requests believed to be at an upstream now."""
        load = self._loads.get(upstream)
        if load is None:
            return 0.0
        return load.in_flight + load.others * self._weigh(load)

    def read_waiting(self, upstream: str) -> int:
        """Return the reported queue, discounted by age."""
        load = self._loads.get(upstream)
        if load is None or load.report is None:
            return 0
        return int(load.report.waiting * self._weigh(load))

    def _lacks(self, load: _UpstreamLoad, report: LoadReport, model: str) -> bool:
        # Shows as refusals although the model was loaded long ago: engines of idle models are not
        # polled, so an old report says nothing. A request tried in vain is refused and repeated.
        fresh = self._clock.now() - load.report_at < REPORT_LIFETIME_MS
        return fresh and model not in report.models and model not in report.adapters

    def _weigh(self, load: _UpstreamLoad) -> float:
        age = self._clock.now() - load.report_at
        return max(0.0, 1.0 - age / REPORT_LIFETIME_MS)


def _find_in_flight(load: _UpstreamLoad, at: Millis) -> int:
    found = 0
    for sample in load.history:
        if sample.at > at:
            break
        found = sample.in_flight
    return found
