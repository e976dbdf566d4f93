"""Derives the factor by which work takes longer at each upstream than usual; no I/O.

Designed for bursts that fill all slots, on upstreams of which some are slow for half a second at a
time, or always. A figure of one upstream reaches a daemon every few seconds from its own answers, and
every few hundred ms from other daemons. Factors follow the figures with a delay: if all daemons
followed each figure at once, they would overload the upstreams that were fast a moment before.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.features.protocols import Features
from goldcreststair.components.upstream_pace.const import (
    APPROACH_MS,
    DOUBLING_MS,
    LEARNED_DECAY_MS,
    MAX_FACTOR,
    MAX_PERCENT,
    MIN_FACTOR,
    MIN_PERCENT,
    REPORTED_DECAY_MS,
    SETTLED,
    SLOW_FACTOR,
    STEP_MS,
    WAITING_VALID_MS,
)
from goldcreststair.components.upstream_pace.learned import LearnedPaces
from goldcreststair.components.upstream_pace.models import PaceFigure, SharedPace
from goldcreststair.components.upstream_pace.protocols import NO_FACTORS
from goldcreststair.components.upstream_pace.sharing import PaceSharing
from goldcreststair.features import Feature
from goldcreststair.upstreams.dialect import UpstreamLoad


@dataclass(slots=True)
class _State:
    entry: UpstreamEntry
    figure: PaceFigure | None = None
    factor: float = 1.0
    updated_at: Millis = Millis(0)
    waiting: int = 0
    waiting_at: Millis | None = None


def is_valid_percent(percent: int) -> bool:
    """Return whether a reported figure is within its bounds.

    >>> is_valid_percent(9), is_valid_percent(10), is_valid_percent(1_000), is_valid_percent(1_001)
    (False, True, True, False)
    """
    return MIN_PERCENT <= percent <= MAX_PERCENT


class PaceController:
    """Implements `PaceReader`."""

    def __init__(self, clock: Clock, features: Features) -> None:
        """Create a controller without upstreams."""
        self.sharing = PaceSharing(clock)
        self._clock = clock
        self._features = features
        self._states: dict[str, _State] = {}
        self._changing: set[str] = set()
        """Upstreams whose factor is not 1, or will not be."""
        self._factors: dict[str, dict[str, float]] = {}
        """Factors other than 1 by service and upstream."""
        self._updated_at = Millis(0)
        self._learned = LearnedPaces()
        self._reporting: set[str] = set()
        """Services whose upstreams report their pace."""

    def apply_upstreams(self, live: LiveUpstreams) -> None:
        """Apply a new list of upstreams; a restarted upstream starts with the usual pace."""
        states: dict[str, _State] = {}
        for name, entry in live.by_name.items():
            known = self._states.get(name)
            if known is not None and _is_same(known.entry, entry):
                known.entry = entry
                states[name] = known
            else:
                states[name] = _State(entry, updated_at=self._clock.now())
        for name, state in self._states.items():
            if states.get(name) is not state:
                self._drop(name, state)
        self._states = states

    def _drop(self, name: str, state: _State) -> None:
        service = state.entry.service
        self._changing.discard(name)
        self._factors.get(service, {}).pop(name, None)
        self._learned.forget(service, name)
        self.sharing.forget(name)

    def find_service(self, upstream: str) -> str | None:
        """Return the service of an upstream, or None if the upstream is unknown."""
        state = self._states.get(upstream)
        return state.entry.service if state else None

    def record_load(self, upstream: str, load: UpstreamLoad) -> bool:
        """Record the load reported in an answer; returns False if its pace is out of bounds."""
        state = self._states.get(upstream)
        if state is None:
            return True
        now = self._clock.now()
        state.waiting, state.waiting_at = load.waiting, now
        if load.pace_percent is None:
            return True
        if not is_valid_percent(load.pace_percent):
            return False
        self.sharing.record_own(upstream, load.pace_percent)
        self._apply_reported(state, load.pace_percent, now)
        return True

    def record_shared(self, pace: SharedPace) -> bool:
        """Record a figure of another daemon; returns False if it is out of bounds."""
        if not is_valid_percent(pace.percent) or pace.age_ms < 0:
            return False
        state = self._states.get(pace.upstream)
        if state is not None and self.sharing.record_received(pace):
            at = Millis(self._clock.now() - pace.age_ms)
            self._apply_reported(state, pace.percent, at)
        return True

    def record_events(
        self, entry: UpstreamEntry, first_ms: float | None, gap_ms: float | None
    ) -> None:
        """Record the times of a run of this daemon at an upstream that does not report its pace."""
        state = self._states.get(entry.name)
        if state is None or entry.service in self._reporting or not self._is_active(entry.service):
            return
        now = self._clock.now()
        percent = self._learned.record(entry.service, entry.name, now, first_ms, gap_ms)
        if percent is not None:
            self._apply(state, PaceFigure(percent, now, LEARNED_DECAY_MS))

    def list_shared(self) -> list[SharedPace]:
        """Return the figures that the next beacon is to carry, and count them as sent."""
        # Without own figures, which is always so where upstreams report none, nothing is looked up.
        if not self.sharing.has_figures:
            return []
        return self.sharing.take(self._may_share)

    def read_factor(self, upstream: str) -> float:
        """Return the factor of an upstream's times: 1.0 is usual, 2.0 takes twice as long."""
        service = self.find_service(upstream)
        return self.read_factors(service).get(upstream, 1.0) if service is not None else 1.0

    def read_factors(self, service: str) -> Mapping[str, float]:
        """Return the factors of a service's upstreams, without those of usual pace."""
        if not self._changing or not self._is_active(service):
            return NO_FACTORS
        self._update_all()
        return self._factors.get(service, NO_FACTORS)

    def read_reported_factor(self, upstream: str, load: UpstreamLoad | None) -> float:
        """Return how much longer than usual work takes by the upstream's own report; at least 1."""
        state = self._states.get(upstream)
        if state is None or not self._is_active(state.entry.service):
            return 1.0
        percent = load.pace_percent if load is not None else None
        if percent is not None and is_valid_percent(percent):
            return min(max(percent / 100, 1.0), MAX_FACTOR)
        if state.figure is None or state.figure.decay_ms != REPORTED_DECAY_MS:
            return 1.0
        return max(1.0, _compute_target(state, self._clock.now()))

    def read_waiting(self, upstream: str) -> int:
        """Return the requests that an upstream last reported as waiting; 0 if unknown or old."""
        state = self._states.get(upstream)
        if state is None or state.waiting_at is None:
            return 0
        return state.waiting if self._clock.now() - state.waiting_at <= WAITING_VALID_MS else 0

    def count_slow(self) -> int:
        """Return the number of upstreams at which work takes much longer than usual."""
        return sum(
            factor >= SLOW_FACTOR
            for service in tuple(self._factors)
            for factor in self.read_factors(service).values()
        )

    def _may_share(self, upstream: str) -> bool:
        state = self._states.get(upstream)
        return state is not None and self._is_active(state.entry.service)

    def _is_active(self, service: str) -> bool:
        return self._features.is_active(Feature.UPSTREAM_PACE, service)

    def _apply_reported(self, state: _State, percent: int, at: Millis) -> None:
        known = state.figure
        self._reporting.add(state.entry.service)
        if known is not None and known.decay_ms == REPORTED_DECAY_MS and known.at > at:
            return
        self._apply(state, PaceFigure(percent, at, REPORTED_DECAY_MS))

    def _apply(self, state: _State, figure: PaceFigure) -> None:
        now = self._clock.now()
        # The previous figure holds until now, and the new one from now on.
        self._update(state, now)
        state.figure = figure
        if state.factor != 1.0 or abs(_compute_target(state, now) - 1.0) >= SETTLED:
            self._changing.add(state.entry.name)

    def _update_all(self) -> None:
        now = self._clock.now()
        if now - self._updated_at < STEP_MS:
            return
        self._updated_at = now
        for name in tuple(self._changing):
            self._update(self._states[name], now)

    def _update(self, state: _State, now: Millis) -> None:
        elapsed_ms, state.updated_at = now - state.updated_at, now
        name, factors = state.entry.name, self._factors.setdefault(state.entry.service, {})
        target = _compute_target(state, now)
        if abs(state.factor - 1.0) < SETTLED and abs(target - 1.0) < SETTLED:
            state.factor = 1.0
            self._changing.discard(name)
            factors.pop(name, None)
            return
        wanted = target + (state.factor - target) * math.exp(-elapsed_ms / APPROACH_MS)
        most = 2.0 ** min(4.0, elapsed_ms / DOUBLING_MS)
        state.factor = min(max(wanted, state.factor / most), state.factor * most)
        factors[name] = state.factor


def _is_same(left: UpstreamEntry, right: UpstreamEntry) -> bool:
    return left.started_ms == right.started_ms and left.service == right.service


def _compute_target(state: _State, now: Millis) -> float:
    """Return the factor that the newest figure calls for after its decay."""
    figure = state.figure
    if figure is None:
        return 1.0
    left = math.exp(-max(0, now - figure.at) / figure.decay_ms)
    target = 1.0 + (figure.percent / 100 - 1.0) * left
    return min(max(target, MIN_FACTOR), MAX_FACTOR)
