"""Upstreams as known to this daemon: which may get work, and which are down, full or cold; no I/O."""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.catalogue.models import Service
from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.discovery.protocols import ALWAYS_CURRENT, UpstreamList
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.placement.cold import ColdRateLimiter
from goldcreststair.components.placement.const import (
    DEFAULT_SLOTS,
    DOWN_MS,
    EVACUATED_RETRY_MS,
    FULL_MS,
    REGISTRATION_MS,
    SUSPECT_MS,
)
from goldcreststair.components.placement.loads import Runs, RunTracker
from goldcreststair.components.placement.models import NoUpstreamAvailable, PlacementQuery


@dataclass(slots=True)
class UpstreamState:
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
    interrupted: bool = False
    """Whether it refused connections and has not been seen since: it may restart with other software."""
    settles_at: Millis = Millis(0)
    """Time from which its entry names the software that it runs, if it restarted when it was interrupted."""


class UpstreamTable:
    """Keeps the state of each upstream, and lists those that a request or a batch run may use."""

    def __init__(self, clock: Clock) -> None:
        """Create a table without upstreams."""
        self.runs = RunTracker(clock)
        self.cold_limiter = ColdRateLimiter(clock)
        self._clock = clock
        self._states: dict[str, UpstreamState] = {}
        self._resumed_at = Millis(0)
        """When this process was last seen to have been paused."""
        self._by_service: dict[str, list[UpstreamState]] = {}
        """Upstreams that may get new work."""
        self._names: dict[int, str] = {}
        self._expired: frozenset[str] = frozenset()
        self._evacuated: AbstractSet[str] = frozenset()
        """Data centres whose upstreams get no new work."""
        self._services: Mapping[str, Service] = {}
        self._regions: Mapping[str, str] = {}
        """Region of each data centre."""
        self.upstream_list: UpstreamList = ALWAYS_CURRENT
        """Reports how old the list of upstreams may be."""

    def find_state(self, name: str) -> UpstreamState | None:
        """Return the state of an upstream, or None if it is gone."""
        return self._states.get(name)

    def apply_upstreams(self, live: LiveUpstreams) -> None:
        """Apply a new list of upstreams."""
        states: dict[str, UpstreamState] = {}
        for name, entry in live.by_name.items():
            known = self._states.get(name)
            # An upstream may keep its name when it restarts, but its previous state no longer
            # applies.
            if known is None or known.entry.started_ms != entry.started_ms:
                states[name] = UpstreamState(entry, hash_name(name))
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
                cold_ms = self.find_service(state).cold_start_ms
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
            if self.accepts_work(state):
                self._by_service.setdefault(state.entry.service, []).append(state)

    def accepts_work(self, state: UpstreamState) -> bool:
        """Return whether an upstream may get new work."""
        return not state.entry.draining and state.entry.data_centre not in self._evacuated

    def find(self, name: str) -> UpstreamEntry | None:
        """Return an upstream, or None if it is gone."""
        state = self._states.get(name)
        return state.entry if state else None

    def list_names(self, keys: Iterable[int]) -> list[str]:
        """Return the names of the upstreams with these hashes; unknown hashes are skipped."""
        return [self._names[key] for key in keys if key in self._names]

    def list_by_service(self, service: str) -> list[UpstreamState]:
        """Return the upstreams of a service that may get new work."""
        return self._by_service.get(service, [])

    def list_candidates(self, query: PlacementQuery) -> list[UpstreamState]:
        """Return the upstreams that a request may use, whether or not they are up."""
        states = self.list_by_service(query.service)
        if query.excluded:
            states = [state for state in states if state.entry.name not in query.excluded]
        if query.regions is not None:
            states = [state for state in states if self.is_in_regions(state, query.regions)]
        if query.software_version is not None:
            version = query.software_version
            states = [state for state in states if state.entry.software_version == version]
        return states

    def is_software_certain(self, state: UpstreamState) -> bool:
        """Return whether an upstream certainly runs the software that its entry names.

        An upstream may restart under its name with other software. It accepts requests some ms before its
        new entry is known here, and while the store is away no entry can be updated at all.
        """
        return self._is_certain(state, self.upstream_list.read_confirmed_at())

    def _is_certain(self, state: UpstreamState, confirmed_at: Millis) -> bool:
        # The list may have stopped arriving without a failure, so that the time alone proves nothing. Upstreams
        # may have restarted during a pause of this process as well, in whose sockets older lists wait.
        return not state.interrupted and max(state.settles_at, self._resumed_at) <= confirmed_at

    def needs_confirmation(self) -> bool:
        """Return whether the software of an upstream would be certain if the list were confirmed now."""
        confirmed_at, now = self.upstream_list.read_confirmed_at(), self._clock.now()
        return any(
            confirmed_at < state.settles_at <= now and not state.interrupted
            for state in self._states.values()
        )

    def find_software(self, name: str) -> str | None:
        """Return the software version that an upstream certainly runs, or None."""
        state = self._states.get(name)
        if state is None or not self.is_software_certain(state):
            return None
        return state.entry.software_version

    def mark_interrupted(self, name: str) -> None:
        """Record that an upstream accepts no connection, so that it may restart; a silent one does not."""
        state = self._states.get(name)
        if state is not None:
            state.interrupted = True

    def list_probed(self) -> list[UpstreamEntry]:
        """Return the upstreams to which connections are tried until they accept one."""
        now = self._clock.now()
        states = self._states.values()
        return [state.entry for state in states if state.interrupted or state.down_until > now]

    def _record_up(self, state: UpstreamState) -> None:
        state.down_until = Millis(0)
        if state.interrupted:
            state.interrupted = False
            state.settles_at = Millis(self._clock.now() + REGISTRATION_MS)

    def mark_process_resumed(self) -> None:
        """Record that this process was paused, so that restarts may have gone unnoticed."""
        self._resumed_at = self._clock.now()

    def is_in_regions(self, state: UpstreamState, regions: Regions) -> bool:
        """Return whether an upstream is in one of these regions."""
        return regions is None or self._regions.get(state.entry.data_centre) in regions

    def list_available(
        self, states: list[UpstreamState], software_version: str | None = None
    ) -> list[UpstreamState]:
        """Return the upstreams that are neither down nor full, unsuspected ones if there are any.

        With a software version, those that certainly run it.
        """
        now = self._clock.now()
        if software_version is not None:
            confirmed_at = self.upstream_list.read_confirmed_at()
            states = [state for state in states if self._is_certain(state, confirmed_at)]
        up = [s for s in states if s.down_until <= now and s.full_until <= now]
        # `is_suspected` would read the clock for each of hundreds of upstreams.
        unsuspected = [
            s for s in up if s.suspected_until <= now and s.entry.name not in self._expired
        ]
        return unsuspected or up

    def is_suspected(self, state: UpstreamState) -> bool:
        """Return whether another daemon reports an upstream as down, or its entry has expired."""
        return state.suspected_until > self._clock.now() or state.entry.name in self._expired

    def prefer_warm(self, states: list[UpstreamState]) -> list[UpstreamState]:
        """Exclude cold upstreams while warm ones have free slots, else keep the cold limit."""
        now = self._clock.now()
        cold = [
            s
            for s in states
            if (s.cold_until > now or s.answered_cold_until > now or s.returned_cold_until > now)
            and self.is_cold(s)
        ]
        if not cold:
            return states
        warm = [state for state in states if not self.is_cold(state)]
        if any(self.has_free_slot(state) for state in warm):
            return warm
        accepting = [state for state in cold if self.accepts_more(state)]
        accepting_free = [state for state in accepting if self.has_free_slot(state)]
        return accepting_free or warm or accepting

    def has_free_slot(self, state: UpstreamState) -> bool:
        """Return whether an upstream has a slot that no online run uses."""
        return self.count_runs(state).online < self.count_slots(state)

    def count_runs(self, state: UpstreamState) -> Runs:
        """Return the runs of all daemons at an upstream."""
        return self.runs.read_all(state.key)

    def count_slots(self, state: UpstreamState) -> int:
        """Return the number of slots of an upstream."""
        return state.entry.slots or DEFAULT_SLOTS

    def find_service(self, state: UpstreamState) -> Service:
        """Return the service of an upstream; one without limits if the catalogue has none."""
        name = state.entry.service
        return self._services.get(name) or Service(name, 0)

    def is_cold(self, state: UpstreamState) -> bool:
        """Return whether an upstream tolerates only few requests now."""
        until = max(state.cold_until, state.answered_cold_until, state.returned_cold_until)
        return until > self._clock.now() and self.find_service(state).cold_per_s > 0

    def accepts_more(self, state: UpstreamState) -> bool:
        """Return whether an upstream is warm, or the cold rate limit allows one more request."""
        if not self.is_cold(state):
            return True
        return self.cold_limiter.can_send(state.entry.name, self.find_service(state).cold_per_s)

    def explain_unavailable(self, query: PlacementQuery) -> NoUpstreamAvailable:
        """Return why a request has no candidate."""
        service = query.service
        of_service = [s for s in self._states.values() if s.entry.service == service]
        if query.software_version is not None:
            return self._explain_missing_software(query, of_service)
        in_regions = [state for state in of_service if self.is_in_regions(state, query.regions)]
        if of_service and not in_regions:
            message = f"no upstream of {service} is in an allowed region"
            return NoUpstreamAvailable(message, retry_after_ms=EVACUATED_RETRY_MS)
        if any(state.entry.data_centre in self._evacuated for state in in_regions):
            message = f"every data centre with an upstream of {service} is evacuated"
            return NoUpstreamAvailable(message, retry_after_ms=EVACUATED_RETRY_MS)
        return NoUpstreamAvailable(f"no upstream of {service}", known=False)

    def _explain_missing_software(
        self, query: PlacementQuery, of_service: list[UpstreamState]
    ) -> NoUpstreamAvailable:
        of_version = [s for s in of_service if s.entry.software_version == query.software_version]
        message = f"no upstream of {query.service} {query.software_version} may get work"
        if any(state.entry.data_centre in self._evacuated for state in of_version):
            return NoUpstreamAvailable(message, retry_after_ms=EVACUATED_RETRY_MS)
        return NoUpstreamAvailable(message, known=False)

    def record_progress(self, name: str) -> None:
        """Record that an upstream sent data to this daemon."""
        state = self._states.get(name)
        if state is not None:
            state.progress_at = self._clock.now()
            self._record_up(state)

    def read_progress(self, name: str) -> Millis:
        """Return when an upstream last sent data to this daemon; 0 if unknown."""
        state = self._states.get(name)
        return state.progress_at if state else Millis(0)

    def mark_cold(self, name: str, cold_ms: int) -> bool:
        """Mark an upstream as cold as reported in an answer; returns whether this is new."""
        state = self._states.get(name)
        if state is None or cold_ms <= 0:
            return False
        newly_cold = not self.is_cold(state)
        state.answered_cold_until = Millis(self._clock.now() + cold_ms)
        return newly_cold

    def list_cold(self) -> list[UpstreamEntry]:
        """Return the upstreams that are cold now."""
        return [state.entry for state in self._states.values() if self.is_cold(state)]

    def mark_down(self, name: str) -> None:
        """Mark an upstream as down: it does not accept connections, or is silent."""
        state = self._states.get(name)
        if state is not None:
            state.down_until = Millis(self._clock.now() + DOWN_MS)

    def mark_up(self, name: str) -> None:
        """Mark an upstream as up: it accepts connections."""
        state = self._states.get(name)
        if state is not None:
            self._record_up(state)

    def is_down(self, name: str) -> bool:
        """Return whether an upstream is marked as down."""
        state = self._states.get(name)
        return state is not None and state.down_until > self._clock.now()

    def list_down(self) -> list[UpstreamEntry]:
        """Return the upstreams marked as down."""
        now = self._clock.now()
        return [state.entry for state in self._states.values() if state.down_until > now]

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

    def read_idle(self, service: str) -> tuple[int, int]:
        """Return the free slots and all slots of the upstreams of a service that are not down."""
        now = self._clock.now()
        states = [state for state in self.list_by_service(service) if state.down_until <= now]
        slots = {state.key: self.count_slots(state) for state in states}
        free = sum(max(0, slots[s.key] - self.count_runs(s).total) for s in states)
        return free, sum(slots.values())
