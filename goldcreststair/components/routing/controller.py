"""Chooses upstreams: bounded-load affinity first, the less loaded of two otherwise; no I/O."""

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.blackboard import Blackboard
from goldcreststair.clock import Millis
from goldcreststair.components.configuration.models import CONFIGURATION, Configuration
from goldcreststair.components.routing.beliefs import CacheBeliefs
from goldcreststair.components.routing.const import (
    ASKED_LIFETIME_MS,
    BELIEVED_SLACK,
    BOUND_FACTOR,
    DEPARTURE_GRACE_MS,
    OWN_SLACK,
    SUBSET_SIZE,
)
from goldcreststair.components.routing.loads import LoadBook
from goldcreststair.components.routing.protocols import NoUpstream, RouteQuery
from goldcreststair.components.routing.rendezvous import select_subset
from goldcreststair.core import Core
from goldcreststair.helpers.rendezvous import score
from goldcreststair.upstreams.models import Upstream


@dataclass(frozen=True, slots=True)
class _Bounds:
    """Loads up to which an upstream takes a prompt that it probably has cached."""

    own: float
    believed: float

    def allow(self, loads: LoadBook, upstream: Upstream) -> bool:
        # Reports lag by more than a short request lasts. Bounded by them alone, all VMs sent a
        # popular prompt to the same favourite until its memory was full; a bound on each VM's
        # own exact count bounds their sum as well, without any report.
        own = loads.read_in_flight(upstream.name)
        return own <= self.own and loads.estimate(upstream.name) <= self.believed


class AffinityRouter:
    """Sends like prompts to like upstreams while these are not loaded beyond the mean."""

    def __init__(self, core: Core) -> None:
        """Start knowing nothing of any load."""
        self.loads = LoadBook(core.clock)
        self.beliefs = CacheBeliefs(core.clock)
        self._board: Blackboard = core.blackboard
        self._random: random.Random = core.random
        self._session_id = core.session_id
        self._data_centre = core.settings.data_centre
        self._own_address = core.settings.address
        self._leaving_since: dict[str, Millis] = {}
        self._isolated: dict[str, set[str]] = {}
        self._subsets: dict[tuple[str, str], list[Upstream]] = {}
        self._subset_version = -1
        self._clock = core.clock
        self._asked: dict[str, Millis] = {}

    def choose(self, query: RouteQuery) -> Result[Upstream, NoUpstream]:
        """Return the upstream that shall run a request."""
        configuration = self._board.read(CONFIGURATION)
        able = self._find_able(configuration, query)
        if not able:
            return Err(NoUpstream("no upstream serves this", known=False))
        if query.model:
            self._asked[query.model] = self._clock.now()
        opened = [upstream for upstream in able if self._is_open(upstream, configuration, query)]
        if not opened:
            return Err(NoUpstream("no upstream can take this now"))
        free = [upstream for upstream in opened if upstream.name not in self._isolated]
        # Suspects leave at least one upstream to everyone else; they wait for one another.
        if not free or (query.alone and len(free) == 1 and len(opened) > 1):
            return Err(NoUpstream("upstreams are kept for suspect requests", saturated=True))
        if query.alone:
            return Ok(min(free, key=lambda upstream: self.loads.read_in_flight(upstream.name)))
        roomy = [u for u in free if query.admitted or self.loads.has_room(u.name)]
        if not roomy:
            return Err(NoUpstream("all upstreams are at their limit", saturated=True))
        preferred = [u for u in roomy if u.name == query.preferred]
        chosen = preferred[0] if preferred else self._choose_among(self._prefer_near(roomy), query)
        self.beliefs.record(chosen.name, query.prefix)
        return Ok(chosen)

    def begin(self, upstream: str) -> None:
        """Count a request as in flight."""
        self.loads.add(upstream, 1)

    def end(self, upstream: str, *, ok: bool) -> None:
        """Count a request as ended."""
        self.loads.add(upstream, -1)

    def isolate(self, upstream: str, request_id: str) -> None:
        """Keep new work away from an upstream while a suspect runs there."""
        self._isolated.setdefault(upstream, set()).add(request_id)

    def release(self, upstream: str, request_id: str) -> None:
        """End an isolation."""
        suspects = self._isolated.get(upstream, set())
        suspects.discard(request_id)
        if not suspects:
            self._isolated.pop(upstream, None)

    def note_refused(self, upstream: str, model: str = "") -> None:
        """Note that an upstream said it takes no work, of this model or at all, for a while."""
        self.loads.note_refused(upstream, model)

    def count_in_flight(self) -> Mapping[str, int]:
        """Return this VM's requests in flight by upstream."""
        return self.loads.read_all_in_flight()

    def set_leaving_addresses(self, addresses: frozenset[str]) -> None:
        """Take the addresses that the platform says are leaving."""
        now = self._clock.now()
        self._leaving_since = {
            address: self._leaving_since.get(address, now) for address in addresses
        }

    def find_departure(self, upstream: Upstream) -> Millis | None:
        """Return when an upstream that the platform takes away is gone, None if it stays."""
        since = self._find_listed_leaving(upstream)
        return None if since is None else Millis(since + DEPARTURE_GRACE_MS)

    def list_used(self) -> list[Upstream]:
        """Return this VM's upstreams of all models that were asked for lately."""
        # At full size a VM may use 40 upstreams of each of 24 models. Polled all at the bounded
        # rate, every report would be older than its lifetime, so idle models are left out.
        configuration = self._board.read(CONFIGURATION)
        horizon = self._clock.now() - ASKED_LIFETIME_MS
        self._asked = {model: at for model, at in self._asked.items() if at > horizon}
        used = {
            upstream.name: upstream
            for model in self._asked
            for upstream in self._find_able(configuration, RouteQuery(model=model))
        }
        return list(used.values())

    def _find_able(self, configuration: Configuration, query: RouteQuery) -> list[Upstream]:
        if configuration.version != self._subset_version:
            self._subsets.clear()
            self._subset_version = configuration.version
        key = (query.model, query.service)
        if key not in self._subsets:
            able = [u for u in configuration.upstreams.values() if _fits(u, query)]
            self._subsets[key] = select_subset(
                able, self._session_id, self._data_centre, SUBSET_SIZE
            )
        return self._subsets[key]

    def _is_open(self, upstream: Upstream, configuration: Configuration, query: RouteQuery) -> bool:
        return (
            upstream.name not in query.excluded
            and upstream.name not in configuration.leaving_upstreams
            and self._find_listed_leaving(upstream) is None
            and self.loads.is_open(upstream.name, query.model)
        )

    def _find_listed_leaving(self, upstream: Upstream) -> Millis | None:
        if upstream.address in self._leaving_since:
            return self._leaving_since[upstream.address]
        host = upstream.address.rpartition(":")[0]
        # Nothing of ours runs on upstream VMs. Where an upstream shares our own IP number, the
        # whole fleet stands on one machine, and a leaving daemon must not take it along.
        return None if host == self._own_address else self._leaving_since.get(host)

    def _prefer_near(self, free: Sequence[Upstream]) -> Sequence[Upstream]:
        return [u for u in free if u.data_centre == self._data_centre] or free

    def _choose_among(self, upstreams: Sequence[Upstream], query: RouteQuery) -> Upstream:
        if query.prefix:
            found = self._find_favourite(upstreams, query)
            if found is not None:
                return found
        two = self._random.sample(upstreams, min(2, len(upstreams)))
        return min(two, key=lambda upstream: self.loads.estimate(upstream.name))

    def _find_favourite(self, upstreams: Sequence[Upstream], query: RouteQuery) -> Upstream | None:
        ranked = sorted(
            upstreams,
            key=lambda upstream: score(query.model, query.prefix, upstream.name),
            reverse=True,
        )
        bounds = self._make_bounds(upstreams)
        warm = [u for u in ranked[1:] if self.beliefs.holds(u.name, query.prefix)]
        allowed = [u for u in (ranked[0], *warm) if bounds.allow(self.loads, u)]
        # A popular prompt has spilled over and is warm in several places: the least loaded goes
        # first, the better ranked among equals, so that rare prompts keep to their favourite.
        return min(allowed, key=lambda u: self.loads.read_in_flight(u.name), default=None)

    def _make_bounds(self, upstreams: Sequence[Upstream]) -> _Bounds:
        own = sum(self.loads.read_in_flight(upstream.name) for upstream in upstreams)
        believed = sum(self.loads.estimate(upstream.name) for upstream in upstreams)
        return _Bounds(
            own=own / len(upstreams) * BOUND_FACTOR + OWN_SLACK,
            believed=believed / len(upstreams) * BOUND_FACTOR + BELIEVED_SLACK,
        )


def _fits(upstream: Upstream, query: RouteQuery) -> bool:
    if query.service:
        return upstream.service == query.service
    return query.model in upstream.served_names
