"""Recent outcomes at upstreams, this daemon's own and those of other daemons; no I/O."""

from collections import deque
from collections.abc import Mapping

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.outliers.const import ROW_MS, WINDOW_MS
from goldcreststair.components.outliers.models import NO_OUTCOMES, Outcomes


class OutcomeWindow:
    """Outcomes of this daemon's requests at one upstream within `WINDOW_MS`."""

    def __init__(self) -> None:
        """Start without outcomes."""
        self._entries: deque[tuple[Millis, bool, bool]] = deque()
        """Time, whether it failed, and whether it failed by being slow."""
        self._failed = 0

    def add(self, at: Millis, *, failed: bool, slow: bool = False) -> None:
        """Add an outcome."""
        self._entries.append((at, failed, slow))
        self._failed += failed

    def clear(self) -> None:
        """Drop all outcomes."""
        self._entries.clear()
        self._failed = 0

    def read(self, now: Millis) -> Outcomes:
        """Return the outcomes within the window."""
        while self._entries and self._entries[0][0] <= now - WINDOW_MS:
            self._failed -= self._entries.popleft()[1]
        return Outcomes(len(self._entries) - self._failed, self._failed)

    def read_since(self, at: Millis) -> Outcomes:
        """Return the outcomes since a point in time within the window."""
        recent = [failed for since, failed, _ in self._entries if since >= at]
        return Outcomes(len(recent) - sum(recent), sum(recent))

    def find_row(self, now: Millis) -> tuple[int, Millis]:
        """Return the number of the last consecutive failures within `ROW_MS`, and their start."""
        row, started_at = 0, now
        for at, failed, _ in reversed(self._entries):
            if not failed or at <= now - ROW_MS:
                break
            row, started_at = row + 1, at
        return row, started_at

    @property
    def is_mostly_slow(self) -> bool:
        """Whether at least half of the failures are late first events."""
        slow = sum(slow for _, _, slow in self._entries)
        return slow > 0 and slow * 2 >= self._failed

    @property
    def last_failed(self) -> bool:
        """Whether the last outcome is a failure."""
        return bool(self._entries) and self._entries[-1][1]


class PeerOutcomes:
    """Outcomes that other daemons report, by the hash of the upstream's name."""

    def __init__(self, clock: Clock) -> None:
        """Start without reports."""
        self._clock = clock
        self._reports: dict[str, tuple[Millis, Mapping[int, Outcomes]]] = {}
        self._totals: dict[int, Outcomes] = {}
        self._suspected: dict[int, Millis] = {}
        """When each upstream was last suspected.

        It stays suspected for a window: behind a relay, the answers hide the question from those who
        answer. If they stopped at once, the sums would rise and fall with every digest.
        """

    def apply(self, session: str, by_upstream: Mapping[int, Outcomes]) -> None:
        """Replace what another daemon, or a relay for all of them, has reported.

        Negative figures are ignored: added up with others they give shares above 1, or divide by 0.
        """
        by_upstream = {
            upstream: each
            for upstream, each in by_upstream.items()
            if each.succeeded >= 0 and each.failed >= 0
        }
        if by_upstream:
            self._reports[session] = (self._clock.now(), by_upstream)
        elif self._reports.pop(session, None) is None:
            return
        self._add_up()

    def forget(self, session: str) -> None:
        """Drop the report of a daemon that is gone."""
        self.apply(session, {})

    def expire(self) -> None:
        """Drop the reports of daemons that have been silent for a window."""
        horizon = self._clock.now() - WINDOW_MS
        for session in [name for name, (at, _) in self._reports.items() if at <= horizon]:
            self.forget(session)
        for upstream in [key for key, at in self._suspected.items() if at <= horizon]:
            del self._suspected[upstream]

    def read(self, upstream: int) -> Outcomes:
        """Return the outcomes of all other daemons at an upstream."""
        return self._totals.get(upstream, NO_OUTCOMES)

    def is_suspected(self, upstream: int) -> bool:
        """Return whether another daemon reports failures, or asks for outcomes by reporting none."""
        return upstream in self._suspected

    def list_suspected(self) -> frozenset[int]:
        """Return the upstreams for which `is_suspected` holds."""
        return frozenset(self._suspected)

    def _add_up(self) -> None:
        self._totals = {}
        for _, report in self._reports.values():
            for upstream, outcomes in report.items():
                self._totals[upstream] = self._totals.get(upstream, NO_OUTCOMES) + outcomes
                if outcomes.failed or not outcomes.succeeded:
                    self._suspected[upstream] = self._clock.now()
