"""Chooses the upstream that runs a request; no I/O.

Designed for bursts of 2 to 5 s that fill every slot, from callers whose requests reach the VMs at
random. Every VM knows the runs of all VMs with at most one beacon interval of delay, so that a
request goes to a free slot if there is one anywhere, and otherwise to the shortest queue.
"""

import random
from collections.abc import Iterable, Mapping, Sequence
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.catalogue.models import Service
from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.placement.cold import ColdRateLimiter
from goldcreststair.components.placement.const import (
    BATCH_FREE_SHARE,
    BATCH_HOLD_MS,
    BATCH_RESERVE,
    BUSY_MS,
    COLD_RETRY_MS,
    DEFAULT_FIRST_MS,
    DEFAULT_RUN_MS,
    DEFAULT_SLOTS,
    DOWN_MS,
    EVACUATED_RETRY_MS,
    FULL_MS,
    JITTER_MS,
    OTHER_DATA_CENTRE_MS,
    PREEMPT_MS,
    SMOOTHING,
    SUSPECT_MS,
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
    choose_weighted,
    compute_weights,
)
from goldcreststair.helpers.rendezvous import score

MIN_RETRY_MS: Final = 100


@dataclass(slots=True)
class _State:
    """State of one upstream as known to this daemon."""

    entry: UpstreamEntry
    key: int
    down_until: Millis = Millis(0)
    full_until: Millis = Millis(0)
    suspected_until: Millis = Millis(0)
    no_batch_until: Millis = Millis(0)
    progress_at: Millis = Millis(0)
    """When it last sent data to this daemon."""
    cold_until: Millis = Millis(0)
    """According to its entry in the store."""
    answered_cold_until: Millis = Millis(0)
    """According to its answers, which may report it before the store does."""
    returned_cold_until: Millis = Millis(0)
    """Because the evacuation of its data centre has ended."""


class PlacementController:
    """Chooses upstreams by their runs, failures and measured run times."""

    def __init__(self, clock: Clock, rng: random.Random, data_centre: str) -> None:
        """Create a controller without upstreams; `data_centre` is this daemon's own."""
        self.runs = RunTracker(clock)
        self._clock = clock
        self._random = rng
        self._data_centre = data_centre
        self._states: dict[str, _State] = {}
        self._by_service: dict[str, list[_State]] = {}
        """Upstreams that may get new work."""
        self._names: dict[int, str] = {}
        self._expired: frozenset[str] = frozenset()
        self._evacuated: AbstractSet[str] = frozenset()
        """Data centres whose upstreams get no new work."""
        self._services: Mapping[str, Service] = {}
        self._regions: Mapping[str, str] = {}
        """Region of each data centre."""
        self.cold_limiter = ColdRateLimiter(clock)
        self._run_times: dict[str, RunTimes] = {}
        self.digest_sequence: int | None = None
        """Sequence number of the last digest of a relay; None if daemons send their beacons to each
        other."""

    def apply_upstreams(self, live: LiveUpstreams) -> None:
        """Apply a new list of upstreams."""
        states: dict[str, _State] = {}
        for name, entry in live.by_name.items():
            known = self._states.get(name)
            # An upstream may keep its name when it restarts, but its previous state no longer
            # applies.
            if known is None or known.entry.started_ms != entry.started_ms:
                states[name] = _State(entry, hash_name(name))
            else:
                known.entry = entry
                states[name] = known
            states[name].cold_until = live.cold_until.get(name, Millis(0))
        for name in self._states.keys() - states.keys():
            self.cold_limiter.forget(name)
        self._states = states
        self._names = {state.key: name for name, state in states.items()}
        self._expired = live.expired
        self._group()

    def apply_evacuations(self, data_centres: AbstractSet[str]) -> None:
        """Apply the set of evacuated data centres, whose upstreams get no new work."""
        returned = self._evacuated - data_centres
        for state in self._states.values():
            if state.entry.data_centre in returned:
                cold_ms = self._find_service(state).cold_start_ms
                state.returned_cold_until = Millis(self._clock.now() + cold_ms)
        self._evacuated = data_centres
        self._group()

    def apply_regions(self, regions: Mapping[str, str]) -> None:
        """Apply the region of each data centre."""
        self._regions = regions

    def apply_services(self, services: Mapping[str, Service]) -> None:
        """Apply the services of the catalogue."""
        self._services = services

    def _group(self) -> None:
        self._by_service = {}
        for state in self._states.values():
            if self._accepts_work(state):
                self._by_service.setdefault(state.entry.service, []).append(state)

    def _accepts_work(self, state: _State) -> bool:
        return not state.entry.draining and state.entry.data_centre not in self._evacuated

    def find(self, name: str) -> UpstreamEntry | None:
        """Return an upstream, or None if it is gone."""
        state = self._states.get(name)
        return state.entry if state else None

    def list_names(self, keys: Iterable[int]) -> list[str]:
        """Return the names of the upstreams with these hashes; unknown hashes are skipped."""
        return [self._names[key] for key in keys if key in self._names]

    def choose(self, query: PlacementQuery) -> Result[Placement, NoUpstreamAvailable]:
        """Return the best upstream for an online request."""
        candidates = self._list_candidates(query)
        if not candidates:
            return Err(self._explain_unavailable(query))
        available = self._list_available(candidates)
        if not available:
            until = min(max(s.down_until, s.full_until) for s in candidates)
            wait_ms = max(MIN_RETRY_MS, until - self._clock.now())
            return Err(
                NoUpstreamAvailable("every upstream is down or full", retry_after_ms=wait_ms)
            )
        available = self._prefer_warm(available)
        if not available:
            message = "every upstream is cold, and this VM may not send it more requests now"
            return Err(NoUpstreamAvailable(message, retry_after_ms=COLD_RETRY_MS))
        preferred = self._find_preferred(available, query.affinity)
        if self.digest_sequence is not None:
            return Ok(self._place(self._choose_spread(available, preferred)))
        best = min(available, key=lambda state: self._estimate_cost(state, preferred))
        return Ok(self._place(best))

    def _explain_unavailable(self, query: PlacementQuery) -> NoUpstreamAvailable:
        service = query.service
        of_service = [s for s in self._states.values() if s.entry.service == service]
        in_regions = [state for state in of_service if self._is_in_regions(state, query.regions)]
        if of_service and not in_regions:
            message = f"no upstream of {service} is in an allowed region"
            return NoUpstreamAvailable(message, retry_after_ms=EVACUATED_RETRY_MS)
        if any(state.entry.data_centre in self._evacuated for state in in_regions):
            message = f"every data centre with an upstream of {service} is evacuated"
            return NoUpstreamAvailable(message, retry_after_ms=EVACUATED_RETRY_MS)
        return NoUpstreamAvailable(f"no upstream of {service}", known=False)

    def can_place(self, query: PlacementQuery) -> bool:
        """Return whether `choose` would find an upstream now."""
        return bool(self._prefer_warm(self._list_available(self._list_candidates(query))))

    def place_at(self, name: str) -> Placement | None:
        """Return a placement at the named upstream, or None if it may get no new work."""
        state = self._states.get(name)
        if state is None or not self._accepts_work(state) or not self._accepts_more(state):
            return None
        return self._place(state)

    def has_upstream(self, query: PlacementQuery) -> bool:
        """Return whether there is an upstream that `choose` may find now or later."""
        return bool(self._list_candidates(query))

    def _prefer_warm(self, states: list[_State]) -> list[_State]:
        """Exclude cold upstreams while warm ones have free slots, else keep the cold limit."""
        cold = [state for state in states if self._is_cold(state)]
        if not cold:
            return states
        warm = [state for state in states if not self._is_cold(state)]
        if any(self._has_free_slot(state) for state in warm):
            return warm
        accepting = [state for state in cold if self._accepts_more(state)]
        accepting_free = [state for state in accepting if self._has_free_slot(state)]
        return accepting_free or warm or accepting

    def _has_free_slot(self, state: _State) -> bool:
        return self._count_runs(state).online < self._count_slots(state)

    def _find_service(self, state: _State) -> Service:
        name = state.entry.service
        return self._services.get(name) or Service(name, 0)

    def _is_cold(self, state: _State) -> bool:
        until = max(state.cold_until, state.answered_cold_until, state.returned_cold_until)
        return until > self._clock.now() and self._find_service(state).cold_per_s > 0

    def _accepts_more(self, state: _State) -> bool:
        """Return whether an upstream is warm, or the cold rate limit allows one more request."""
        if not self._is_cold(state):
            return True
        return self.cold_limiter.can_send(state.entry.name, self._find_service(state).cold_per_s)

    def _list_candidates(self, query: PlacementQuery) -> list[_State]:
        candidates = [
            s for s in self._list_by_service(query.service) if s.entry.name not in query.excluded
        ]
        return [state for state in candidates if self._is_in_regions(state, query.regions)]

    def _is_in_regions(self, state: _State, regions: Regions) -> bool:
        return regions is None or self._regions.get(state.entry.data_centre) in regions

    def _choose_spread(self, states: list[_State], preferred: str) -> _State:
        usages = [self._read_slot_usage(state, preferred) for state in states]
        return choose_weighted(
            list(zip(states, compute_weights(usages), strict=True)), self._random
        )

    def _read_slot_usage(self, state: _State, preferred: str) -> SlotUsage:
        runs, entry = self._count_runs(state), state.entry
        same_data_centre = entry.data_centre == self._data_centre
        slots = self._count_slots(state)
        return SlotUsage(slots, runs.online, runs.batch, same_data_centre, entry.name == preferred)

    def choose_for_batch(self, service: str, regions: Regions = None) -> UpstreamEntry | None:
        """Return the upstream in these regions with the most free slots for batch, or None."""
        free_all, slots_all = self.read_idle(service)
        if free_all < slots_all * BATCH_FREE_SHARE:
            return None
        free = self._list_free_for_batch(service, regions)
        if not free:
            return None
        if self.digest_sequence is not None:
            return choose_weighted(free, self._random)
        best, _ = max(free, key=lambda each: each[1] + self._random.random())
        return best

    def count_free_for_batch(self, service: str) -> int:
        """Return the number of free slots that batch may use now."""
        return sum(free for _, free in self._list_free_for_batch(service))

    def _list_free_for_batch(
        self, service: str, regions: Regions = None
    ) -> list[tuple[UpstreamEntry, int]]:
        now = self._clock.now()
        found = []
        states = [
            state for state in self._list_by_service(service) if self._is_in_regions(state, regions)
        ]
        warm = [state for state in states if not self._is_cold(state)]
        for state in warm or [state for state in states if self._accepts_more(state)]:
            blocked = max(state.down_until, state.full_until, state.no_batch_until) > now
            free = self._count_slots(state) - BATCH_RESERVE - self._count_runs(state).total
            suspected = state.suspected_until > now or state.entry.name in self._expired
            if not blocked and not suspected and free >= 1:
                found.append((state.entry, free))
        return found

    def count_runs_to_preempt(self, name: str, own_session: str) -> int:
        """Return how many of its own batch runs this daemon has to preempt at an upstream.

        All daemons know the same runs, so that each computes its own part of the excess without
        coordination. Late items are preempted before those that can meet their deadline; the order
        of the sessions differs between upstreams.
        """
        state = self._states.get(name)
        if state is None:
            return 0
        own = self.runs.read_own(state.key)
        if own.batch == 0:
            return 0
        excess = self._count_runs(state).total - self._count_slots(state)
        if excess <= 0:
            return 0
        own_daemon = hash_name(own_session)
        batch_runs = self.runs.list_batch(state.key) | {own_daemon: own}
        order = sorted(batch_runs, key=lambda daemon: score(str(daemon), name))
        late, excess = _allot_preemptions(
            [(d, batch_runs[d].late) for d in order], own_daemon, excess
        )
        urgent, _ = _allot_preemptions(
            [(d, batch_runs[d].urgent) for d in order], own_daemon, excess
        )
        return late + urgent

    def choose_daemon_to_preempt(self, name: str) -> int | None:
        """Return the hash of the session that should preempt a batch run for a new online run.

        None if there is a free slot, or no other daemon has a batch run there, or no digests are in
        use. In a large fleet it takes 200 to 300 ms until all daemons learn by digests that an
        upstream is overcommitted; the request would be late by then.
        """
        state = self._states.get(name)
        if state is None or self.digest_sequence is None:
            return None
        runs, slots = self._count_runs(state), self._count_slots(state)
        if runs.total <= slots or runs.online > slots:
            return None
        batch_runs = self.runs.list_batch(state.key)
        if not batch_runs:
            return None
        late = {daemon: runs.late for daemon, runs in batch_runs.items() if runs.late}
        choices = late or {daemon: runs.batch for daemon, runs in batch_runs.items()}
        return choose_weighted(list(choices.items()), self._random)

    def mark_preempted(self, name: str) -> None:
        """Record a preemption at an upstream; batch starts no runs there for a while."""
        state = self._states.get(name)
        if state is not None:
            state.no_batch_until = Millis(self._clock.now() + BATCH_HOLD_MS)

    def begin(self, name: str, runs: Runs) -> None:
        """Record that runs of this daemon begin at an upstream."""
        self.runs.add(hash_name(name), runs)
        state = self._states.get(name)
        if state is not None and self._is_cold(state):
            self.cold_limiter.record_sent(name)
        else:
            self.cold_limiter.forget(name)

    def end(self, name: str, runs: Runs) -> None:
        """Record that runs of this daemon have ended at an upstream."""
        self.runs.add(hash_name(name), Runs(-runs.online, -runs.batch, -runs.late))

    def record_progress(self, name: str) -> None:
        """Record that an upstream sent data to this daemon."""
        state = self._states.get(name)
        if state is not None:
            state.progress_at = self._clock.now()
            state.down_until = Millis(0)

    def mark_cold(self, name: str, cold_ms: int) -> bool:
        """Mark an upstream as cold as reported in an answer; returns whether this is new."""
        state = self._states.get(name)
        if state is None or cold_ms <= 0:
            return False
        newly_cold = not self._is_cold(state)
        state.answered_cold_until = Millis(self._clock.now() + cold_ms)
        return newly_cold

    def list_cold(self) -> list[UpstreamEntry]:
        """Return the upstreams that are cold now."""
        return [state.entry for state in self._states.values() if self._is_cold(state)]

    def read_progress(self, name: str) -> Millis:
        """Return when an upstream last sent data to this daemon; 0 if unknown."""
        state = self._states.get(name)
        return state.progress_at if state else Millis(0)

    def is_silence_conclusive(self, name: str) -> bool:
        """Return whether silence in one run allows a conclusion about the whole upstream.

        In a large fleet a daemon usually has one run at an upstream, and seldom a second one to
        compare.
        """
        if name not in self._states:
            return False
        return self.digest_sequence is None or self.runs.read_own(hash_name(name)).total > 1

    def mark_down(self, name: str) -> None:
        """Mark an upstream as down: it does not accept connections, or is silent."""
        state = self._states.get(name)
        if state is not None:
            state.down_until = Millis(self._clock.now() + DOWN_MS)

    def mark_up(self, name: str) -> None:
        """Mark an upstream as up: it accepts connections."""
        state = self._states.get(name)
        if state is not None:
            state.down_until = Millis(0)

    def mark_full(self, name: str) -> None:
        """Mark an upstream as full because it refused a request for lack of capacity."""
        state = self._states.get(name)
        if state is not None:
            state.full_until = Millis(self._clock.now() + FULL_MS)

    def mark_suspected(self, upstreams: Iterable[int]) -> None:
        """Mark upstreams, by hash, as suspected because another daemon reports them as down."""
        for key in upstreams:
            state = self._states.get(self._names.get(key, ""))
            if state is not None:
                state.suspected_until = Millis(self._clock.now() + SUSPECT_MS)

    def is_down(self, name: str) -> bool:
        """Return whether an upstream is marked as down."""
        state = self._states.get(name)
        return state is not None and state.down_until > self._clock.now()

    def list_down(self) -> list[UpstreamEntry]:
        """Return the upstreams marked as down."""
        now = self._clock.now()
        return [state.entry for state in self._states.values() if state.down_until > now]

    def record_run(self, service: str, first_ms: float | None, run_ms: float) -> None:
        """Add a run to the moving averages; `first_ms` is None if it had to wait for a slot."""
        known = self.read_run_times(service)
        first = known.first_ms
        if first_ms is not None:
            first += SMOOTHING * (first_ms - known.first_ms)
        run = known.run_ms + SMOOTHING * (run_ms - known.run_ms)
        self._run_times[service] = RunTimes(run, first)

    def read_run_times(self, service: str) -> RunTimes:
        """Return the average times of the runs of a service."""
        return self._run_times.get(service, RunTimes(DEFAULT_RUN_MS, DEFAULT_FIRST_MS))

    def read_idle(self, service: str) -> tuple[int, int]:
        """Return the free slots and all slots of the upstreams of a service that are not down."""
        now = self._clock.now()
        states = [state for state in self._list_by_service(service) if state.down_until <= now]
        slots = {state.key: self._count_slots(state) for state in states}
        free = sum(max(0, slots[s.key] - self._count_runs(s).total) for s in states)
        return free, sum(slots.values())

    def _list_by_service(self, service: str) -> list[_State]:
        return self._by_service.get(service, [])

    def _list_available(self, states: list[_State]) -> list[_State]:
        now = self._clock.now()
        up = [s for s in states if s.down_until <= now and s.full_until <= now]
        unsuspected = [
            s for s in up if s.suspected_until <= now and s.entry.name not in self._expired
        ]
        return unsuspected or up

    def _count_runs(self, state: _State) -> Runs:
        return self.runs.read_all(state.key)

    def _count_slots(self, state: _State) -> int:
        return state.entry.slots or DEFAULT_SLOTS

    def _estimate_wait_ms(self, state: _State) -> float:
        runs, slots = self._count_runs(state), self._count_slots(state)
        if runs.total < slots:
            return 0.0
        if runs.online < slots:
            return PREEMPT_MS
        ahead = runs.online - slots + 1
        return ahead * self.read_run_times(state.entry.service).run_ms / slots

    def _estimate_cost(self, state: _State, preferred: str) -> float:
        cost = self._estimate_wait_ms(state)
        cost += BUSY_MS * min(1.0, self._count_runs(state).total / self._count_slots(state))
        if state.entry.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_MS
        if preferred and state.entry.name != preferred:
            cost += UNCACHED_MS
        return cost + JITTER_MS * self._random.random()

    def _find_preferred(self, states: list[_State], affinity: str) -> str:
        if not affinity:
            return ""
        return max(states, key=lambda state: score(affinity, state.entry.name)).entry.name

    def _place(self, state: _State) -> Placement:
        times = self.read_run_times(state.entry.service)
        runs = self._count_runs(state).total
        return Placement(state.entry, self._estimate_wait_ms(state), times.first_ms, runs)


def _allot_preemptions(
    batch_runs: Sequence[tuple[int, int]], own_daemon: int, excess: int
) -> tuple[int, int]:
    """Return this daemon's part of the runs to preempt, and the excess that remains."""
    own = 0
    for daemon, count in batch_runs:
        part = min(count, excess)
        excess -= part
        if daemon == own_daemon:
            own = part
    return own, excess
