"""Chooses upstreams by bounded-load affinity, else the less loaded of two; no I/O."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.blackboard import Blackboard
from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import CONFIGURATION, Configuration
from goldcreststair.components.routing.const import (
    BOUND_FACTOR,
    DEPARTURE_GRACE_MS,
    ESTIMATED_SLACK,
    MODEL_IDLE_MS,
    OWN_SLACK,
    SUBSET_SIZE,
)
from goldcreststair.components.routing.loads import LoadTracker
from goldcreststair.components.routing.prefix_cache import PrefixCacheTracker
from goldcreststair.components.routing.protocols import NoUpstream, RouteQuery
from goldcreststair.components.routing.rendezvous import select_subset
from goldcreststair.core import Core
from goldcreststair.helpers.rendezvous import score
from goldcreststair.upstreams.models import Upstream


@dataclass(frozen=True, slots=True)
class _Bounds:
    """Loads up to which an upstream is chosen by affinity."""

    own: float
    estimated: float

    def allow(self, loads: LoadTracker, upstream: Upstream) -> bool:
        # Reports lag by more than the duration of a short request. Bounded by them alone, all VMs
        # sent a popular prompt to the same upstream until its memory was full. A bound on each
        # VM's own exact count also bounds their sum, without any report.
        own = loads.read_in_flight(upstream.name)
        return own <= self.own and loads.estimate(upstream.name) <= self.estimated


class AffinityRouter:
    """Routes prompts with equal prefixes to the same upstreams within load bounds."""

    def __init__(self, core: Core) -> None:
        """Create a router without any known load."""
        self.loads = LoadTracker(core.clock)
        self.prefix_cache = PrefixCacheTracker(core.clock)
        self._blackboard: Blackboard = core.blackboard
        self._random: random.Random = core.random
        self._session_id = core.session_id
        self._data_centre = core.settings.data_centre
        self._own_address = core.settings.address
        self._leaving_since: dict[str, Millis] = {}
        self._isolated: dict[str, set[str]] = {}
        self._subsets: dict[tuple[str, str], list[Upstream]] = {}
        self._subset_version = -1
        self._clock = core.clock
        self._last_requested: dict[str, Millis] = {}

    def choose(self, query: RouteQuery) -> Result[Upstream, NoUpstream]:
        """Return the upstream to run a request."""
        configuration = self._blackboard.read(CONFIGURATION)
        suitable = self._find_suitable(configuration, query)
        if not suitable:
            return Err(NoUpstream("no upstream serves this", known=False))
        if query.model:
            self._last_requested[query.model] = self._clock.now()
        accepting = [
            upstream for upstream in suitable if self._accepts_work(upstream, configuration, query)
        ]
        if not accepting and not self._has_software_left(suitable, configuration, query):
            message = f"no upstream of software {query.software_version} is left"
            return Err(NoUpstream(message, software_gone=True))
        if not accepting:
            return Err(NoUpstream("no upstream can take this now"))
        free = [upstream for upstream in accepting if upstream.name not in self._isolated]
        # Suspect requests leave at least one upstream to all others, and wait for each other.
        if not free or (query.alone and len(free) == 1 and len(accepting) > 1):
            return Err(NoUpstream("upstreams are reserved for suspect requests", saturated=True))
        if query.alone:
            return Ok(min(free, key=lambda upstream: self.loads.read_in_flight(upstream.name)))
        with_room = [u for u in free if query.admitted or self.loads.has_room(u.name)]
        if not with_room:
            return Err(NoUpstream("all upstreams are at their limit", saturated=True))
        preferred = [u for u in with_room if u.name == query.preferred]
        chosen = preferred[0] if preferred else self._select(self._prefer_local(with_room), query)
        self.prefix_cache.record(chosen.name, query.prefix)
        return Ok(chosen)

    def begin(self, upstream: str) -> None:
        """Count a request as in flight."""
        self.loads.add(upstream, 1)

    def end(self, upstream: str, *, ok: bool) -> None:
        """Count a request as ended."""
        self.loads.add(upstream, -1)

    def isolate(self, upstream: str, request_id: str) -> None:
        """Send no new work to an upstream while a suspect request runs there."""
        self._isolated.setdefault(upstream, set()).add(request_id)

    def release(self, upstream: str, request_id: str) -> None:
        """End the isolation for one request."""
        suspects = self._isolated.get(upstream, set())
        suspects.discard(request_id)
        if not suspects:
            self._isolated.pop(upstream, None)

    def mark_refused(self, upstream: str, model: str = "") -> None:
        """Record that an upstream refused work; without a model, work of all models."""
        self.loads.mark_refused(upstream, model)

    def count_in_flight(self) -> Mapping[str, int]:
        """Return this VM's requests in flight by upstream."""
        return self.loads.read_all_in_flight()

    def set_leaving_addresses(self, addresses: frozenset[str]) -> None:
        """Set the addresses that the platform lists as leaving."""
        now = self._clock.now()
        self._leaving_since = {
            address: self._leaving_since.get(address, now) for address in addresses
        }

    def find_departure(self, upstream: Upstream) -> Millis | None:
        """Return when an upstream listed as leaving stops serving; None if it stays."""
        since = self._find_leaving_since(upstream)
        return None if since is None else Millis(since + DEPARTURE_GRACE_MS)

    def list_used(self) -> list[Upstream]:
        """Return this VM's upstreams of all models requested within `MODEL_IDLE_MS`."""
        # At full size a VM may use 40 upstreams of each of 24 models. Polling all of them at the
        # bounded rate would let reports exceed their lifetime, so idle models are left out.
        configuration = self._blackboard.read(CONFIGURATION)
        horizon = self._clock.now() - MODEL_IDLE_MS
        self._last_requested = {
            model: at for model, at in self._last_requested.items() if at > horizon
        }
        used = {
            upstream.name: upstream
            for model in self._last_requested
            for upstream in self._find_suitable(configuration, RouteQuery(model=model))
        }
        return list(used.values())

    def _find_suitable(self, configuration: Configuration, query: RouteQuery) -> list[Upstream]:
        if configuration.version != self._subset_version:
            self._subsets.clear()
            self._subset_version = configuration.version
        key = (query.model, query.service)
        if key not in self._subsets:
            suitable = [u for u in configuration.upstreams.values() if _is_suitable(u, query)]
            self._subsets[key] = select_subset(
                suitable, self._session_id, self._data_centre, SUBSET_SIZE
            )
        return self._subsets[key]

    def _accepts_work(
        self, upstream: Upstream, configuration: Configuration, query: RouteQuery
    ) -> bool:
        return (
            upstream.name not in query.excluded
            and self._stays(upstream, configuration)
            and self._may_run_software(upstream, query)
            and self.loads.is_open(upstream.name, query.model)
        )

    def _stays(self, upstream: Upstream, configuration: Configuration) -> bool:
        return (
            upstream.name not in configuration.leaving_upstreams
            and self._find_leaving_since(upstream) is None
        )

    def _may_run_software(self, upstream: Upstream, query: RouteQuery) -> bool:
        """Return whether an upstream runs the needed software, or does not report which it runs."""
        if query.software_version is None:
            return True
        reported = self.loads.read_software(upstream.name)
        return reported is None or reported == query.software_version

    def _has_software_left(
        self, suitable: Sequence[Upstream], configuration: Configuration, query: RouteQuery
    ) -> bool:
        if query.software_version is None:
            return True
        return any(
            self._stays(upstream, configuration) and self._may_run_software(upstream, query)
            for upstream in suitable
        )

    def _find_leaving_since(self, upstream: Upstream) -> Millis | None:
        if upstream.address in self._leaving_since:
            return self._leaving_since[upstream.address]
        host = upstream.address.rpartition(":")[0]
        # Daemons do not run on upstream VMs. If an upstream has this daemon's own IP number, the
        # whole fleet runs on one machine, and a leaving daemon must not mark it as leaving.
        return None if host == self._own_address else self._leaving_since.get(host)

    def _prefer_local(self, free: Sequence[Upstream]) -> Sequence[Upstream]:
        return [u for u in free if u.data_centre == self._data_centre] or free

    def _select(self, upstreams: Sequence[Upstream], query: RouteQuery) -> Upstream:
        if query.prefix:
            found = self._find_by_affinity(upstreams, query)
            if found is not None:
                return found
        candidates = self._random.sample(upstreams, min(2, len(upstreams)))
        return min(candidates, key=lambda upstream: self.loads.estimate(upstream.name))

    def _find_by_affinity(
        self, upstreams: Sequence[Upstream], query: RouteQuery
    ) -> Upstream | None:
        ranked = sorted(
            upstreams,
            key=lambda upstream: score(query.model, query.prefix, upstream.name),
            reverse=True,
        )
        bounds = self._make_bounds(upstreams)
        cached = [u for u in ranked[1:] if self.prefix_cache.holds(u.name, query.prefix)]
        allowed = [u for u in (ranked[0], *cached) if bounds.allow(self.loads, u)]
        # A popular prompt has spilled over and is cached at several upstreams: take the least
        # loaded, among equals the better ranked, so that rare prompts stay at the first one.
        return min(allowed, key=lambda u: self.loads.read_in_flight(u.name), default=None)

    def _make_bounds(self, upstreams: Sequence[Upstream]) -> _Bounds:
        own = sum(self.loads.read_in_flight(upstream.name) for upstream in upstreams)
        estimated = sum(self.loads.estimate(upstream.name) for upstream in upstreams)
        return _Bounds(
            own=own / len(upstreams) * BOUND_FACTOR + OWN_SLACK,
            estimated=estimated / len(upstreams) * BOUND_FACTOR + ESTIMATED_SLACK,
        )


def _is_suitable(upstream: Upstream, query: RouteQuery) -> bool:
    if query.service:
        return upstream.service == query.service
    return query.model in upstream.served_names
