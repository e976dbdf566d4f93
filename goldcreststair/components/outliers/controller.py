"""Decides which upstreams are ejected because they fail more often than the others; no I/O.

Designed for one upstream of seven that fails 45% of its requests, hangs, takes 7.5 times as long or
flaps, while it accepts connections. Each daemon decides from its own outcomes and the sums that all
others report, so that all decide alike without agreeing, and a daemon that is cut off still decides.
An upstream is compared with the others of its service: one that fails as a whole is never excluded.
"""

import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from statistics import median

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.outliers.const import (
    EJECTION_JITTER,
    EJECTION_MS,
    FIRST_EVENT_SAMPLES,
    LEVEL_RESET_MS,
    MAX_EJECTED_SHARE,
    MAX_EJECTION_MS,
    MAX_REPORTED,
    MIN_FAILURE_SHARE,
    MIN_FAILURES,
    MIN_SAMPLES,
    RELATIVE_SHARE,
    ROW_FAILURES,
    SETTLE_MS,
    SLOW_FACTOR,
    SLOW_MIN_MS,
    TRIAL_DAEMONS,
    TRIAL_SUCCESSES,
    WINDOW_MS,
)
from goldcreststair.components.outliers.models import (
    NO_OUTCOMES,
    EjectionReason,
    Outcomes,
    OutlierChange,
    OutlierState,
)
from goldcreststair.components.outliers.window import OutcomeWindow, PeerOutcomes
from goldcreststair.components.placement.models import RunOutcome
from goldcreststair.helpers.rendezvous import score


@dataclass(slots=True)
class _Upstream:
    entry: UpstreamEntry
    key: int
    window: OutcomeWindow = field(default_factory=OutcomeWindow)
    state: OutlierState = OutlierState.CLOSED
    changed_at: Millis = Millis(0)
    duration_ms: int = 0
    """Length of the last ejection."""
    level: int = 0
    """Number of consecutive ejections."""
    severity: float = 0.0
    """Failure share at the last ejection."""
    trials: int = 0
    """Trial requests of this daemon in progress."""
    successes: int = 0
    """Successful trial requests of this daemon."""
    sends_trials: bool = False
    baseline: Outcomes | None = None
    """Part of other daemons' reports that dates from before the half-open state."""
    suspected_at: Millis | None = None
    """Since when a failure is known."""


class OutlierController:
    """Implements `OutlierReader`."""

    def __init__(
        self, clock: Clock, rng: random.Random, session: str, is_active: Callable[[str], bool]
    ) -> None:
        """Create a controller without upstreams; `is_active` tells the services with the feature."""
        self.peers = PeerOutcomes(clock)
        self._clock = clock
        self._random = rng
        self._session = session
        self._is_active = is_active
        self._sessions: frozenset[str] = frozenset((session,))
        self._upstreams: dict[str, _Upstream] = {}
        self._by_service: dict[str, list[_Upstream]] = {}
        self._by_key: dict[int, _Upstream] = {}
        self._suspects: set[int] = set()
        """Upstreams with known failures or an exclusion."""
        self._unreliable: set[str] = set()
        """Services at which this daemon's own network probably fails."""
        self._first_ms: dict[str, deque[int]] = {}
        """Recent times to the first event by service."""
        self._excluded: frozenset[str] = frozenset()
        """Upstreams that are ejected or half-open, without those beyond the limit."""
        self._changes: list[OutlierChange] = []

    def apply_upstreams(self, by_name: Mapping[str, UpstreamEntry]) -> None:
        """Apply a new list of upstreams; one that restarted has no outcomes."""
        known, self._upstreams, self._by_service = self._upstreams, {}, {}
        for name, entry in by_name.items():
            upstream = known.get(name)
            if upstream is None or upstream.entry.started_ms != entry.started_ms:
                if upstream is not None and upstream.state is not OutlierState.CLOSED:
                    self._changes.append(OutlierChange(name, OutlierState.CLOSED))
                upstream = _Upstream(entry, hash_name(name))
            upstream.entry = entry
            self._upstreams[name] = upstream
            self._by_service.setdefault(entry.service, []).append(upstream)
        self._by_key = {upstream.key: upstream for upstream in self._upstreams.values()}
        self._suspects &= self._by_key.keys()
        self._apply_limit()

    def apply_sessions(self, sessions: Iterable[str]) -> None:
        """Apply the reachable daemons, of which the first ones send trial requests."""
        self._sessions = frozenset(sessions) | {self._session}
        for upstream in self._upstreams.values():
            if upstream.state is OutlierState.HALF_OPEN:
                upstream.sends_trials = self._is_trial_daemon(upstream)

    def reset_own(self) -> None:
        """Drop this daemon's outcomes after a pause of its process, which lets runs fail everywhere."""
        for upstream in self._upstreams.values():
            upstream.window.clear()

    def has_excluded(self) -> bool:
        """Return whether any upstream is ejected or half-open."""
        return bool(self._excluded)

    def is_ejected(self, upstream: str) -> bool:
        """Return whether an upstream is ejected."""
        return (
            upstream in self._excluded
            and self._upstreams[upstream].state is not OutlierState.HALF_OPEN
        )

    def is_excluded(self, upstream: str) -> bool:
        """Return whether an upstream is ejected or half-open; batch runs are not sent there."""
        return upstream in self._excluded

    def may_send(self, upstream: str) -> bool:
        """Return whether this daemon may send a request to an upstream now."""
        if upstream not in self._excluded:
            return True
        found = self._upstreams[upstream]
        return found.state is OutlierState.HALF_OPEN and found.sends_trials and not found.trials

    def count_ejected(self) -> int:
        """Return the number of upstreams that are ejected."""
        return sum(self.is_ejected(name) for name in self._excluded)

    def record_begin(self, name: str) -> None:
        """Record that an online run begins at an upstream."""
        upstream = self._upstreams.get(name)
        if upstream is not None and upstream.state is OutlierState.HALF_OPEN:
            upstream.trials += 1

    def record_outcome(
        self,
        entry: UpstreamEntry,
        outcome: RunOutcome,
        first_ms: int | None,
        began_at: Millis | None = None,
    ) -> None:
        """Record the end of a run; `first_ms` is None where it says nothing about the upstream.

        `began_at` is None for batch runs, which are no trial requests.
        """
        upstream = self._upstreams.get(entry.name)
        if upstream is None or upstream.entry.started_ms != entry.started_ms:
            return
        slow = first_ms is not None and self._record_first(entry.service, first_ms)
        failed = outcome is RunOutcome.FAILED or (outcome is RunOutcome.SUCCESS and slow)
        counts = failed or outcome is RunOutcome.SUCCESS
        if upstream.state is OutlierState.HALF_OPEN:
            # Runs that began before the half-open state say nothing about the upstream now.
            if not upstream.trials or began_at is None or began_at < upstream.changed_at:
                return
            upstream.trials -= 1
            upstream.successes += counts and not failed
        if not counts or self.is_ejected(entry.name):
            return
        upstream.window.add(self._clock.now(), failed=failed, slow=slow)
        if failed:
            self._suspects.add(upstream.key)
        # Otherwise decided by `advance`: failures of all upstreams at once arrive one after the other.
        if upstream.state is OutlierState.HALF_OPEN:
            self._advance(upstream)

    def read_slow_ms(self, service: str) -> int | None:
        """Return the time after which a first event is late; None until enough are known."""
        times = self._first_ms.get(service, ())
        if len(times) < MIN_SAMPLES:
            return None
        return max(SLOW_MIN_MS, int(SLOW_FACTOR * median(times)))

    def advance(self) -> None:
        """Apply what other daemons have reported, and end ejections whose time is up."""
        self.peers.expire()
        suspects = self._list_suspects()
        services = {upstream.entry.service for upstream in suspects}
        self._unreliable = {s for s in services if self._is_own_path_suspect(self._by_service[s])}
        for upstream in suspects:
            self._advance(upstream)
        self._drop_cleared()

    def take_changes(self) -> list[OutlierChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def list_report(self) -> list[tuple[int, Outcomes]]:
        """Return the outcomes for the next beacon: those at upstreams that some daemon suspects.

        Outcomes of all upstreams would enlarge the digests of a large fleet by kilobytes a second. A
        daemon that waits for successes elsewhere reports a half-open upstream without outcomes.
        """
        now = self._clock.now()
        found = []
        for upstream in self._list_suspects():
            service = upstream.entry.service
            if service in self._unreliable or not self._is_active(service):
                continue
            own = upstream.window.read(now)
            asks = upstream.state is OutlierState.HALF_OPEN
            answers = bool(own) and self.peers.is_suspected(upstream.key)
            if own.failed or asks or answers:
                found.append((upstream.key, own))
        return sorted(found, key=lambda each: -each[1].failed)[:MAX_REPORTED]

    def _list_suspects(self) -> list[_Upstream]:
        """Return the upstreams with known failures, the only ones about which there is to decide."""
        self._suspects.update(self.peers.list_suspected())
        return [self._by_key[key] for key in sorted(self._suspects) if key in self._by_key]

    def _drop_cleared(self) -> None:
        now = self._clock.now()
        for upstream in self._list_suspects():
            failed = upstream.window.read(now).failed or self.peers.is_suspected(upstream.key)
            waits = upstream.state is not OutlierState.CLOSED or upstream.baseline is not None
            if not failed and not waits:
                upstream.suspected_at = None
                self._suspects.discard(upstream.key)

    def _is_own_path_suspect(self, upstreams: list[_Upstream]) -> bool:
        """Return whether most upstreams that this daemon uses failed its last request.

        Its own network is the likely cause, and reports of it would mislead the other daemons.
        """
        now = self._clock.now()
        used = [each.window for each in upstreams if each.window.read(now)]
        failing = sum(window.last_failed for window in used)
        return failing >= 2 and failing * 2 > len(used)

    def _record_first(self, service: str, first_ms: int) -> bool:
        """Add a time to the first event; returns whether it is late compared with the others."""
        self._first_ms.setdefault(service, deque(maxlen=FIRST_EVENT_SAMPLES)).append(first_ms)
        slow_ms = self.read_slow_ms(service)
        return slow_ms is not None and first_ms > slow_ms

    def _advance(self, upstream: _Upstream) -> None:
        now = self._clock.now()
        if upstream.state is OutlierState.EJECTED:
            if now - upstream.changed_at >= upstream.duration_ms:
                self._half_open(upstream)
            return
        others = self._read_others(upstream)
        if upstream.state is OutlierState.HALF_OPEN:
            self._advance_half_open(upstream, others)
            return
        reason = self._find_reason(upstream, others)
        if reason is not None:
            self._eject(upstream, reason, others)

    def _read_others(self, upstream: _Upstream) -> Outcomes:
        """Return the outcomes of other daemons since the upstream was last half-open."""
        reported = self.peers.read(upstream.key)
        if upstream.baseline is None:
            return reported
        # Reports are sums over a moving window: they fall when outcomes from before leave it.
        upstream.baseline = upstream.baseline.limit(reported)
        found = reported.subtract(upstream.baseline)
        closed = upstream.state is OutlierState.CLOSED
        if closed and self._clock.now() - upstream.changed_at >= WINDOW_MS:
            upstream.baseline = None
        return found

    def _advance_half_open(self, upstream: _Upstream, others: Outcomes) -> None:
        now = self._clock.now()
        if others.failed or upstream.window.read(now).failed:
            self._eject(upstream, EjectionReason.ROW, others)
            return
        # Without any report the daemons that send trial requests are lost, or have not ejected it.
        # They may also have ejected it again, which takes twice as long as the last time.
        waited_ms = now - upstream.changed_at
        unreported = waited_ms >= WINDOW_MS + 2 * upstream.duration_ms
        if upstream.successes + others.succeeded >= TRIAL_SUCCESSES or unreported:
            self._change(upstream, OutlierState.CLOSED)

    def _find_reason(self, upstream: _Upstream, others: Outcomes) -> EjectionReason | None:
        now = self._clock.now()
        total = upstream.window.read(now) + others
        if not total.failed or not self._is_active(upstream.entry.service):
            upstream.suspected_at = None
            return None
        if upstream.suspected_at is None:
            upstream.suspected_at = now
        if len(self._by_service[upstream.entry.service]) < 2:
            return None
        reason = EjectionReason.SHARE if self._fails_by_share(upstream, total) else None
        if reason is None and self._fails_in_row(upstream):
            reason = EjectionReason.ROW
        return EjectionReason.SLOW if reason and upstream.window.is_mostly_slow else reason

    def _fails_by_share(self, upstream: _Upstream, total: Outcomes) -> bool:
        settled_at = (upstream.suspected_at or Millis(0)) + SETTLE_MS
        if self._clock.now() < settled_at or total.failed < MIN_FAILURES:
            return False
        if total.share < MIN_FAILURE_SHARE:
            return False
        return _is_outlier(total, self._read_other_upstreams(upstream))

    def _fails_in_row(self, upstream: _Upstream) -> bool:
        row, started_at = upstream.window.find_row(self._clock.now())
        if row < ROW_FAILURES:
            return False
        # Only this daemon's outcomes count. Those since the row began show whether its own network or
        # the whole service begins to fail; those of the window whether failures are frequent anyway.
        now, others = self._clock.now(), [each.window for each in self._list_others(upstream)]
        rest = _add_up(window.read(now) for window in others)
        recent = _add_up(window.read_since(started_at) for window in others)
        own = upstream.window.read(now)
        return _is_outlier(own, rest) and _is_outlier(Outcomes(0, row), recent or rest)

    def _list_others(self, upstream: _Upstream) -> list[_Upstream]:
        return [each for each in self._by_service[upstream.entry.service] if each is not upstream]

    def _read_other_upstreams(self, upstream: _Upstream) -> Outcomes:
        now = self._clock.now()
        return _add_up(
            each.window.read(now) + self.peers.read(each.key)
            for each in self._list_others(upstream)
        )

    def _eject(self, upstream: _Upstream, reason: EjectionReason, others: Outcomes) -> None:
        now = self._clock.now()
        outcomes = upstream.window.read(now) + others
        rest = self._read_other_upstreams(upstream).share
        restored = upstream.state is OutlierState.CLOSED
        if restored and now - upstream.changed_at >= LEVEL_RESET_MS:
            upstream.level = 0
        full_ms = min(MAX_EJECTION_MS, EJECTION_MS << min(upstream.level, 8))
        upstream.duration_ms = int(full_ms * (1 - EJECTION_JITTER * self._random.random()))
        upstream.level += 1
        upstream.severity = outcomes.share
        self._change(upstream, OutlierState.EJECTED, outcomes, rest, reason, upstream.duration_ms)

    def _half_open(self, upstream: _Upstream) -> None:
        upstream.window.clear()
        upstream.trials = upstream.successes = 0
        upstream.baseline = self.peers.read(upstream.key)
        upstream.sends_trials = self._is_trial_daemon(upstream)
        self._change(upstream, OutlierState.HALF_OPEN)

    def _is_trial_daemon(self, upstream: _Upstream) -> bool:
        own = score(upstream.entry.name, self._session)
        ahead = sum(score(upstream.entry.name, each) > own for each in self._sessions)
        return ahead < TRIAL_DAEMONS

    def _change(
        self,
        upstream: _Upstream,
        state: OutlierState,
        outcomes: Outcomes = NO_OUTCOMES,
        others_share: float = 0.0,
        reason: EjectionReason | None = None,
        duration_ms: int = 0,
    ) -> None:
        upstream.state, upstream.changed_at = state, self._clock.now()
        upstream.suspected_at = None
        name = upstream.entry.name
        change = OutlierChange(name, state, outcomes, others_share, reason, duration_ms)
        self._changes.append(change)
        self._apply_limit()

    def _apply_limit(self) -> None:
        excluded: set[str] = set()
        for upstreams in self._by_service.values():
            out = [each for each in upstreams if each.state is not OutlierState.CLOSED]
            limit = max(1, int(MAX_EJECTED_SHARE * len(upstreams)))
            out.sort(key=lambda each: -each.severity)
            excluded.update(each.entry.name for each in out[:limit])
        self._excluded = frozenset(excluded)


def _add_up(each: Iterable[Outcomes]) -> Outcomes:
    return sum(each, NO_OUTCOMES)


def _is_outlier(outcomes: Outcomes, others: Outcomes) -> bool:
    """Return whether an upstream fails several times as often as the others of its service."""
    # Without any outcome elsewhere, it is unknown whether the upstream or all of them fail.
    return bool(others) and outcomes.share >= RELATIVE_SHARE * others.share
