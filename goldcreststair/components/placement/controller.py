"""Chooses the upstream that runs a request; no I/O.

Designed for bursts of 2 to 5 s that fill every slot, from callers whose requests reach the VMs at
random. Every VM knows the runs of all VMs with at most one beacon interval of delay, so that a
request goes to a free slot if there is one anywhere, and otherwise to the shortest queue.
"""

import random
from collections.abc import Mapping
from typing import Final

from result import Err, Ok, Result

from goldcreststair.clock import Clock
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.outliers.protocols import NO_OUTLIERS, OutlierReader
from goldcreststair.components.placement.batch_slots import BatchSlots
from goldcreststair.components.placement.const import (
    BUSY_MS,
    COLD_RETRY_MS,
    DEFAULT_FIRST_MS,
    DEFAULT_RUN_MS,
    DEFAULT_SLOTS,
    JITTER_MS,
    OTHER_DATA_CENTRE_MS,
    PREEMPT_MS,
    SLOW_MS,
    SMOOTHING,
    UNCACHED_MS,
)
from goldcreststair.components.placement.loads import Runs, RunTracker
from goldcreststair.components.placement.models import (
    NoUpstreamAvailable,
    Placement,
    PlacementQuery,
    RunTimes,
)
from goldcreststair.components.placement.spreading import (
    SlotUsage,
    compute_weights,
)
from goldcreststair.components.placement.upstream_table import UpstreamState, UpstreamTable
from goldcreststair.components.upstream_pace.protocols import USUAL_PACE, PaceReader
from goldcreststair.helpers.rendezvous import score

MIN_RETRY_MS: Final = 100
EJECTED_RETRY_MS: Final = 300
"""Retry time of a request whose only other upstreams are ejected: those that refused it may have a free
slot by then."""


class PlacementController:
    """Chooses upstreams by their runs, failures and measured run times."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        data_centre: str,
        pace: PaceReader = USUAL_PACE,
        outliers: OutlierReader = NO_OUTLIERS,
    ) -> None:
        """Create a controller without upstreams; `data_centre` is this daemon's own."""
        self.upstreams = UpstreamTable(clock)
        self.batch = BatchSlots(clock, rng, self.upstreams, outliers)
        self._outliers = outliers
        self._clock = clock
        self._random = rng
        self._data_centre = data_centre
        self._pace = pace
        self._run_times: dict[str, RunTimes] = {}

    @property
    def runs(self) -> RunTracker:
        """The runs of all daemons by upstream."""
        return self.upstreams.runs

    def choose(self, query: PlacementQuery) -> Result[Placement, NoUpstreamAvailable]:
        """Return the best upstream for an online request."""
        candidates = self.upstreams.list_candidates(query)
        if not candidates:
            return Err(self.upstreams.explain_unavailable(query))
        available = self.upstreams.list_available(candidates, query.software_version)
        if not available:
            until = min(max(s.down_until, s.full_until) for s in candidates)
            wait_ms = max(MIN_RETRY_MS, until - self._clock.now())
            return Err(
                NoUpstreamAvailable("every upstream is down or full", retry_after_ms=wait_ms)
            )
        available = self._exclude_outliers(query, available)
        if not available:
            message = "every upstream left for another run is ejected"
            return Err(NoUpstreamAvailable(message, retry_after_ms=EJECTED_RETRY_MS))
        available = self.upstreams.prefer_warm(available)
        if not available:
            message = "every upstream is cold, and this VM may not send it more requests now"
            return Err(NoUpstreamAvailable(message, retry_after_ms=COLD_RETRY_MS))
        if query.prefers_idle:
            return Ok(self._place(self._find_idlest(available), {}))
        preferred = self._find_preferred(available, query.affinity)
        factors = self._pace.read_factors(query.service)
        if self.runs.digest_sequence is not None:
            chosen = self._choose_spread(available, preferred, factors)
            return Ok(self._place(chosen, factors))
        best = min(available, key=lambda state: self._estimate_cost(state, preferred, factors))
        return Ok(self._place(best, factors))

    def can_place(self, query: PlacementQuery) -> bool:
        """Return whether `choose` would find an upstream now."""
        return bool(self.upstreams.prefer_warm(self.list_allowed(query)))

    def list_allowed(self, query: PlacementQuery) -> list[UpstreamState]:
        """Return the upstreams that are neither down, full nor excluded as outliers; some may be cold."""
        candidates = self.upstreams.list_candidates(query)
        available = self.upstreams.list_available(candidates, query.software_version)
        return self._exclude_outliers(query, available)

    def _exclude_outliers(
        self, query: PlacementQuery, states: list[UpstreamState]
    ) -> list[UpstreamState]:
        """Exclude ejected and half-open upstreams; a first run may use them if there are no others."""
        outliers = self._outliers
        if not outliers.has_excluded():
            return states
        allowed = [state for state in states if outliers.may_send(state.entry.name)]
        if not query.may_try:
            allowed = [state for state in allowed if not outliers.is_excluded(state.entry.name)]
        return allowed if allowed or query.is_retry else states

    def place_at(self, name: str, software_version: str | None = None) -> Placement | None:
        """Return a placement at the named upstream, or None if it may get no new work.

        With a software version, None as well if the upstream does not certainly run it.
        """
        state = self.upstreams.find_state(name)
        if software_version not in (None, self.upstreams.find_software(name)):
            return None
        if (
            state is None
            or not self.upstreams.accepts_work(state)
            or not self.upstreams.accepts_more(state)
        ):
            return None
        return self._place(state, self._pace.read_factors(state.entry.service))

    def has_upstream(self, query: PlacementQuery) -> bool:
        """Return whether there is an upstream that `choose` may find now or later."""
        return bool(self.upstreams.list_candidates(query))

    def _find_idlest(self, states: list[UpstreamState]) -> UpstreamState:
        runs = self.upstreams.count_runs
        return min(states, key=lambda state: (runs(state).total, self._random.random()))

    def _choose_spread(
        self, states: list[UpstreamState], preferred: str, factors: Mapping[str, float]
    ) -> UpstreamState:
        usages = []
        # With hundreds of upstreams, most of the time of a decision is spent here.
        read_runs, own_data_centre = self.runs.read_all, self._data_centre
        for state in states:
            entry, runs = state.entry, read_runs(state.key)
            factor = factors.get(entry.name, 1.0) if factors else 1.0
            usages.append(
                SlotUsage(
                    entry.slots or DEFAULT_SLOTS,
                    runs.online,
                    runs.batch,
                    entry.data_centre == own_data_centre,
                    entry.name == preferred,
                    factor,
                )
            )
        (chosen,) = self._random.choices(states, compute_weights(usages))
        return chosen

    def begin(self, name: str, runs: Runs) -> None:
        """Record that runs of this daemon begin at an upstream."""
        self.runs.add(hash_name(name), runs)
        state = self.upstreams.find_state(name)
        if state is not None and self.upstreams.is_cold(state):
            self.upstreams.cold_limiter.record_sent(name)
        else:
            self.upstreams.cold_limiter.forget(name)

    def end(self, name: str, runs: Runs) -> None:
        """Record that runs of this daemon have ended at an upstream."""
        self.runs.add(hash_name(name), Runs(-runs.online, -runs.batch, -runs.late))

    def is_silence_conclusive(self, name: str) -> bool:
        """Return whether silence in one run allows a conclusion about the whole upstream.

        In a large fleet a daemon usually has one run at an upstream, and seldom a second one to
        compare.
        """
        if self.upstreams.find_state(name) is None:
            return False
        return self.runs.digest_sequence is None or self.runs.read_own(hash_name(name)).total > 1

    def record_run(self, service: str, first_ms: float | None, run_ms: float) -> None:
        """Add a run to the moving averages; `first_ms` is None if it had to wait for a slot."""
        known = self.read_run_times(service)
        first = known.first_ms
        if first_ms is not None:
            first += SMOOTHING * (first_ms - known.first_ms)
        run = known.run_ms + SMOOTHING * (run_ms - known.run_ms)
        self._run_times[service] = RunTimes(run, first)

    def read_factors(self, service: str) -> Mapping[str, float]:
        """Return the factors of the upstreams of a service whose pace is not the usual one."""
        return self._pace.read_factors(service)

    def read_run_times(self, service: str) -> RunTimes:
        """Return the average times of the runs of a service."""
        return self._run_times.get(service, RunTimes(DEFAULT_RUN_MS, DEFAULT_FIRST_MS))

    def _estimate_wait_ms(self, state: UpstreamState) -> float:
        runs, slots = self.upstreams.count_runs(state), self.upstreams.count_slots(state)
        return self._compute_wait_ms(state, runs, slots)

    def _compute_wait_ms(self, state: UpstreamState, runs: Runs, slots: int) -> float:
        if runs.total < slots:
            return 0.0
        if runs.online < slots:
            return PREEMPT_MS
        ahead = runs.online - slots + 1
        return ahead * self.read_run_times(state.entry.service).run_ms / slots

    def _estimate_cost(
        self, state: UpstreamState, preferred: str, factors: Mapping[str, float]
    ) -> float:
        runs, slots = self.upstreams.count_runs(state), self.upstreams.count_slots(state)
        cost = self._compute_wait_ms(state, runs, slots)
        if factors:
            factor = factors.get(state.entry.name, 1.0)
            cost = cost * factor + SLOW_MS * (factor - 1.0)
        cost += BUSY_MS * min(1.0, runs.total / slots)
        if state.entry.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_MS
        if preferred and state.entry.name != preferred:
            cost += UNCACHED_MS
        return cost + JITTER_MS * self._random.random()

    def _find_preferred(self, states: list[UpstreamState], affinity: str) -> str:
        if not affinity:
            return ""
        return max(states, key=lambda state: score(affinity, state.entry.name)).entry.name

    def _place(self, state: UpstreamState, factors: Mapping[str, float]) -> Placement:
        times = self.read_run_times(state.entry.service)
        runs = self.upstreams.count_runs(state).total
        factor = factors.get(state.entry.name, 1.0)
        wait_ms = self._estimate_wait_ms(state) * factor
        return Placement(state.entry, wait_ms, times.first_ms * factor, runs, factor)
