"""Chooses the upstream that shall run a request; no I/O.

Load it answers: bursts of 2 to 5 s that fill every slot, from callers whose requests reach every
VM at random. All VMs know all runs within a beacon's gap, so that the request goes to a free slot as
long as there is one anywhere, and else to the shortest queue.
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
from goldcreststair.components.placement.cold import ColdGate
from goldcreststair.components.placement.const import (
    BATCH_FREE_SHARE,
    BATCH_HOLD_MS,
    BATCH_RESERVE,
    BUSY_MS,
    COLD_RETRY_MS,
    DEFAULT_FIRST_MS,
    DEFAULT_RUN_MS,
    DEFAULT_SLOTS,
    DOUBT_MS,
    DOWN_MS,
    EVACUATED_RETRY_MS,
    JITTER_MS,
    OTHER_DATA_CENTRE_MS,
    PREEMPT_MS,
    SHED_MS,
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
from goldcreststair.components.placement.spreading import Room, draw, weigh_rooms
from goldcreststair.helpers.rendezvous import score

MIN_RETRY_MS: Final = 100


@dataclass(slots=True)
class _State:
    """What this daemon believes of one upstream."""

    entry: UpstreamEntry
    key: int
    down_until: Millis = Millis(0)
    shed_until: Millis = Millis(0)
    doubted_until: Millis = Millis(0)
    no_batch_until: Millis = Millis(0)
    progress_at: Millis = Millis(0)
    """When it last sent anything to this daemon."""
    cold_until: Millis = Millis(0)
    """By its own word in the store."""
    answered_cold_until: Millis = Millis(0)
    """By its answers, which may tell of it before the store does."""
    returned_cold_until: Millis = Millis(0)
    """As its data centre was evacuated before."""


class PlacementController:
    """Knows runs, failures and what runs take."""

    def __init__(self, clock: Clock, chance: random.Random, data_centre: str) -> None:
        """Know no upstream."""
        self.runs = RunTracker(clock)
        self._clock = clock
        self._random = chance
        self._data_centre = data_centre
        self._states: dict[str, _State] = {}
        self._by_service: dict[str, list[_State]] = {}
        """Those that may get new work."""
        self._names: dict[int, str] = {}
        self._lapsed: frozenset[str] = frozenset()
        self._evacuated: AbstractSet[str] = frozenset()
        """Data centres whose upstreams get no new work."""
        self._services: Mapping[str, Service] = {}
        self._regions: Mapping[str, str] = {}
        """Region of each data centre."""
        self.cold = ColdGate(clock)
        self._traits: dict[str, RunTimes] = {}
        self.digest_sequence: int | None = None
        """Number of the digest that tells all others' runs; None where they speak for themselves."""

    def take_upstreams(self, live: LiveUpstreams) -> None:
        """Take the upstreams that may get work."""
        states: dict[str, _State] = {}
        for name, entry in live.by_name.items():
            known = self._states.get(name)
            # A restarted upstream may keep its name: what was believed of it before is void.
            if known is None or known.entry.started_ms != entry.started_ms:
                states[name] = _State(entry, hash_name(name))
            else:
                known.entry = entry
                states[name] = known
            states[name].cold_until = live.cold_until.get(name, Millis(0))
        for name in self._states.keys() - states.keys():
            self.cold.forget(name)
        self._states = states
        self._names = {state.key: name for name, state in states.items()}
        self._lapsed = live.expired
        self._group()

    def take_evacuated(self, data_centres: AbstractSet[str]) -> None:
        """Take the data centres whose upstreams get no new work."""
        returned = self._evacuated - data_centres
        for state in self._states.values():
            if state.entry.data_centre in returned:
                cold_ms = self._find_service(state).cold_start_ms
                state.returned_cold_until = Millis(self._clock.now() + cold_ms)
        self._evacuated = data_centres
        self._group()

    def take_regions(self, regions: Mapping[str, str]) -> None:
        """Take the region of each data centre."""
        self._regions = regions

    def take_services(self, services: Mapping[str, Service]) -> None:
        """Take the services that upstreams belong to."""
        self._services = services

    def _group(self) -> None:
        self._by_service = {}
        for state in self._states.values():
            if self._takes_work(state):
                self._by_service.setdefault(state.entry.service, []).append(state)

    def _takes_work(self, state: _State) -> bool:
        return not state.entry.draining and state.entry.data_centre not in self._evacuated

    def find(self, name: str) -> UpstreamEntry | None:
        """Return an upstream, or None if it is gone."""
        state = self._states.get(name)
        return state.entry if state else None

    def list_names(self, keys: Iterable[int]) -> list[str]:
        """Return the names of the upstreams among these hashes that are known here."""
        return [self._names[key] for key in keys if key in self._names]

    def choose(self, query: PlacementQuery) -> Result[Placement, NoUpstreamAvailable]:
        """Return where an online request had best go."""
        fitting = self._list_fitting(query)
        if not fitting:
            return Err(self._explain_none(query))
        open_ones = self._prefer_open(fitting)
        if not open_ones:
            until = min(max(s.down_until, s.shed_until) for s in fitting)
            wait_ms = max(MIN_RETRY_MS, until - self._clock.now())
            return Err(
                NoUpstreamAvailable("every upstream is down or full", retry_after_ms=wait_ms)
            )
        open_ones = self._spare_cold(open_ones)
        if not open_ones:
            message = "every upstream is cold, and has got what it bears from here"
            return Err(NoUpstreamAvailable(message, retry_after_ms=COLD_RETRY_MS))
        favourite = self._find_favourite(open_ones, query.affinity)
        if self.digest_sequence is not None:
            return Ok(self._place(self._draw(open_ones, favourite)))
        best = min(open_ones, key=lambda state: self._cost(state, favourite))
        return Ok(self._place(best))

    def _explain_none(self, query: PlacementQuery) -> NoUpstreamAvailable:
        service = query.service
        others = [s for s in self._states.values() if s.entry.service == service]
        inside = [state for state in others if self._is_inside(state, query.regions)]
        if others and not inside:
            message = f"no upstream of {service} stands in a region that is allowed"
            return NoUpstreamAvailable(message, retry_after_ms=EVACUATED_RETRY_MS)
        if any(state.entry.data_centre in self._evacuated for state in inside):
            message = f"every data centre with an upstream of {service} is evacuated"
            return NoUpstreamAvailable(message, retry_after_ms=EVACUATED_RETRY_MS)
        return NoUpstreamAvailable(f"no upstream of {service}", known=False)

    def can_place(self, query: PlacementQuery) -> bool:
        """Return whether `choose` would find an upstream."""
        return bool(self._spare_cold(self._prefer_open(self._list_fitting(query))))

    def place_at(self, name: str) -> Placement | None:
        """Return a placement at one upstream, or None if it may get no new work."""
        state = self._states.get(name)
        if state is None or not self._takes_work(state) or not self._bears_more(state):
            return None
        return self._place(state)

    def has_upstream(self, query: PlacementQuery) -> bool:
        """Return whether there is an upstream that `choose` may find later, if not now."""
        return bool(self._list_fitting(query))

    def _spare_cold(self, states: list[_State]) -> list[_State]:
        """Leave cold upstreams alone while others have room, and within what they bear otherwise."""
        cold = [state for state in states if self._is_cold(state)]
        if not cold:
            return states
        warm = [state for state in states if not self._is_cold(state)]
        if any(self._has_room(state) for state in warm):
            return warm
        bearing = [state for state in cold if self._bears_more(state)]
        roomy = [state for state in bearing if self._has_room(state)]
        return roomy or warm or bearing

    def _has_room(self, state: _State) -> bool:
        return self._read(state).online < self._count_slots(state)

    def _find_service(self, state: _State) -> Service:
        name = state.entry.service
        return self._services.get(name) or Service(name, 0)

    def _is_cold(self, state: _State) -> bool:
        until = max(state.cold_until, state.answered_cold_until, state.returned_cold_until)
        return until > self._clock.now() and self._find_service(state).cold_per_s > 0

    def _bears_more(self, state: _State) -> bool:
        """Return whether an upstream is warm, or this daemon may send it one more request."""
        if not self._is_cold(state):
            return True
        return self.cold.may_send(state.entry.name, self._find_service(state).cold_per_s)

    def _list_fitting(self, query: PlacementQuery) -> list[_State]:
        fitting = [s for s in self._list(query.service) if s.entry.name not in query.excluded]
        return [state for state in fitting if self._is_inside(state, query.regions)]

    def _is_inside(self, state: _State, regions: Regions) -> bool:
        return regions is None or self._regions.get(state.entry.data_centre) in regions

    def _draw(self, states: list[_State], favourite: str) -> _State:
        rooms = [self._read_room(state, favourite) for state in states]
        return draw(list(zip(states, weigh_rooms(rooms), strict=True)), self._random)

    def _read_room(self, state: _State, favourite: str) -> Room:
        runs, entry = self._read(state), state.entry
        near = entry.data_centre == self._data_centre
        slots = self._count_slots(state)
        return Room(slots, runs.online, runs.batch, near, entry.name == favourite)

    def choose_for_batch(self, service: str, regions: Regions = None) -> UpstreamEntry | None:
        """Return the upstream in some regions with most slots that batch may take, or None."""
        free_all, slots_all = self.read_idle(service)
        if free_all < slots_all * BATCH_FREE_SHARE:
            return None
        free = self._list_free_for_batch(service, regions)
        if not free:
            return None
        if self.digest_sequence is not None:
            return draw(free, self._random)
        best, _ = max(free, key=lambda each: each[1] + self._random.random())
        return best

    def count_free_for_batch(self, service: str) -> int:
        """Return the slots that batch may take now."""
        return sum(free for _, free in self._list_free_for_batch(service))

    def _list_free_for_batch(
        self, service: str, regions: Regions = None
    ) -> list[tuple[UpstreamEntry, int]]:
        now = self._clock.now()
        found = []
        states = [state for state in self._list(service) if self._is_inside(state, regions)]
        warm = [state for state in states if not self._is_cold(state)]
        for state in warm or [state for state in states if self._bears_more(state)]:
            shut = max(state.down_until, state.shed_until, state.no_batch_until) > now
            free = self._count_slots(state) - BATCH_RESERVE - self._read(state).total
            doubted = state.doubted_until > now or state.entry.name in self._lapsed
            if not shut and not doubted and free >= 1:
                found.append((state.entry, free))
        return found

    def count_runs_to_preempt(self, name: str, own_session: str) -> int:
        """Return how many of its batch runs this daemon shall give up at an upstream.

        Every daemon holds the same book, so that each finds its own part of what is too much without
        a word more: late items give way before those that can be in time, and sessions in an order
        that differs from upstream to upstream.
        """
        state = self._states.get(name)
        if state is None:
            return 0
        own = self.runs.read_own(state.key)
        if own.batch == 0:
            return 0
        excess = self._read(state).total - self._count_slots(state)
        if excess <= 0:
            return 0
        own_daemon = hash_name(own_session)
        held = self.runs.list_batch(state.key) | {own_daemon: own}
        order = sorted(held, key=lambda daemon: score(str(daemon), name))
        late, excess = _find_part([(d, held[d].late) for d in order], own_daemon, excess)
        urgent, _ = _find_part([(d, held[d].urgent) for d in order], own_daemon, excess)
        return late + urgent

    def choose_daemon_to_preempt(self, name: str) -> int | None:
        """Return who shall give up a batch run for the online run that just began, by hash of its session.

        None if there is a free slot, or nobody has a batch run there. In a large fleet the word that an
        upstream is too full takes 200 to 300 ms to come round; the request is late by then.
        """
        state = self._states.get(name)
        if state is None or self.digest_sequence is None:
            return None
        runs, slots = self._read(state), self._count_slots(state)
        if runs.total <= slots or runs.online > slots:
            return None
        held = self.runs.list_batch(state.key)
        if not held:
            return None
        late = {daemon: runs.late for daemon, runs in held.items() if runs.late}
        chances = late or {daemon: runs.batch for daemon, runs in held.items()}
        return draw(list(chances.items()), self._random)

    def mark_preempted(self, name: str) -> None:
        """Take no more slots for batch at an upstream for a while."""
        state = self._states.get(name)
        if state is not None:
            state.no_batch_until = Millis(self._clock.now() + BATCH_HOLD_MS)

    def begin(self, name: str, runs: Runs) -> None:
        """Count runs."""
        self.runs.add(hash_name(name), runs)
        state = self._states.get(name)
        if state is not None and self._is_cold(state):
            self.cold.record_sent(name)
        else:
            self.cold.forget(name)

    def end(self, name: str, runs: Runs) -> None:
        """Count runs as ended."""
        self.runs.add(hash_name(name), Runs(-runs.online, -runs.batch, -runs.late))

    def record_progress(self, name: str) -> None:
        """Note that an upstream sent something."""
        state = self._states.get(name)
        if state is not None:
            state.progress_at = self._clock.now()
            state.down_until = Millis(0)

    def mark_cold(self, name: str, cold_ms: int) -> bool:
        """Take an upstream's word in an answer that it is cold; returns whether that is news."""
        state = self._states.get(name)
        if state is None or cold_ms <= 0:
            return False
        news = not self._is_cold(state)
        state.answered_cold_until = Millis(self._clock.now() + cold_ms)
        return news

    def list_cold(self) -> list[UpstreamEntry]:
        """Return the upstreams that bear few requests at present."""
        return [state.entry for state in self._states.values() if self._is_cold(state)]

    def read_progress(self, name: str) -> Millis:
        """Return when an upstream last sent anything to this daemon."""
        state = self._states.get(name)
        return state.progress_at if state else Millis(0)

    def is_silence_conclusive(self, name: str) -> bool:
        """Return whether the silence of one run tells of the whole upstream.

        In a large fleet a daemon has one run at an upstream, seldom two.
        """
        if name not in self._states:
            return False
        return self.digest_sequence is None or self.runs.read_own(hash_name(name)).total > 1

    def mark_down(self, name: str) -> None:
        """Note that an upstream accepts no connection, or is silent."""
        state = self._states.get(name)
        if state is not None:
            state.down_until = Millis(self._clock.now() + DOWN_MS)

    def mark_up(self, name: str) -> None:
        """Note that an upstream accepts connections."""
        state = self._states.get(name)
        if state is not None:
            state.down_until = Millis(0)

    def mark_full(self, name: str) -> None:
        """Note that an upstream said it has no room."""
        state = self._states.get(name)
        if state is not None:
            state.shed_until = Millis(self._clock.now() + SHED_MS)

    def mark_suspected(self, upstreams: Iterable[int]) -> None:
        """Take another daemon's word that upstreams are down."""
        for key in upstreams:
            state = self._states.get(self._names.get(key, ""))
            if state is not None:
                state.doubted_until = Millis(self._clock.now() + DOUBT_MS)

    def is_down(self, name: str) -> bool:
        """Return whether this daemon believes an upstream down."""
        state = self._states.get(name)
        return state is not None and state.down_until > self._clock.now()

    def list_down(self) -> list[UpstreamEntry]:
        """Return the upstreams that this daemon believes down."""
        now = self._clock.now()
        return [state.entry for state in self._states.values() if state.down_until > now]

    def record_run(self, service: str, first_ms: float | None, run_ms: float) -> None:
        """Learn from a run that found a free slot (`first_ms`) or waited for one (None)."""
        known = self.read_run_times(service)
        first = known.first_ms
        if first_ms is not None:
            first += SMOOTHING * (first_ms - known.first_ms)
        run = known.run_ms + SMOOTHING * (run_ms - known.run_ms)
        self._traits[service] = RunTimes(run, first)

    def read_run_times(self, service: str) -> RunTimes:
        """Return what runs of a service take."""
        return self._traits.get(service, RunTimes(DEFAULT_RUN_MS, DEFAULT_FIRST_MS))

    def read_idle(self, service: str) -> tuple[int, int]:
        """Return the free slots and all slots of a service's upstreams that are up."""
        now = self._clock.now()
        states = [state for state in self._list(service) if state.down_until <= now]
        slots = {state.key: self._count_slots(state) for state in states}
        free = sum(max(0, slots[s.key] - self._read(s).total) for s in states)
        return free, sum(slots.values())

    def _list(self, service: str) -> list[_State]:
        return self._by_service.get(service, [])

    def _prefer_open(self, states: list[_State]) -> list[_State]:
        now = self._clock.now()
        up = [s for s in states if s.down_until <= now and s.shed_until <= now]
        sure = [s for s in up if s.doubted_until <= now and s.entry.name not in self._lapsed]
        return sure or up

    def _read(self, state: _State) -> Runs:
        return self.runs.read_all(state.key)

    def _count_slots(self, state: _State) -> int:
        return state.entry.slots or DEFAULT_SLOTS

    def _wait_ms(self, state: _State) -> float:
        runs, slots = self._read(state), self._count_slots(state)
        if runs.total < slots:
            return 0.0
        if runs.online < slots:
            return PREEMPT_MS
        ahead = runs.online - slots + 1
        return ahead * self.read_run_times(state.entry.service).run_ms / slots

    def _cost(self, state: _State, favourite: str) -> float:
        cost = self._wait_ms(state)
        cost += BUSY_MS * min(1.0, self._read(state).total / self._count_slots(state))
        if state.entry.data_centre != self._data_centre:
            cost += OTHER_DATA_CENTRE_MS
        if favourite and state.entry.name != favourite:
            cost += UNCACHED_MS
        return cost + JITTER_MS * self._random.random()

    def _find_favourite(self, states: list[_State], affinity: str) -> str:
        if not affinity:
            return ""
        return max(states, key=lambda state: score(affinity, state.entry.name)).entry.name

    def _place(self, state: _State) -> Placement:
        traits = self.read_run_times(state.entry.service)
        runs = self._read(state).total
        return Placement(state.entry, self._wait_ms(state), traits.first_ms, runs)


def _find_part(held: Sequence[tuple[int, int]], own_daemon: int, excess: int) -> tuple[int, int]:
    """Return the own part of what gives way, and what is left for others to give."""
    own = 0
    for daemon, count in held:
        part = min(count, excess)
        excess -= part
        if daemon == own_daemon:
            own = part
    return own, excess
