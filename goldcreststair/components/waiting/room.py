"""Finds upstreams with room for a waiting request, and the capacity of a service; no I/O."""

import random
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Final

from result import Ok

from goldcreststair.components.placement.const import DEFAULT_SLOTS
from goldcreststair.components.placement.controller import PlacementController
from goldcreststair.components.placement.models import Placement, PlacementQuery, RunTimes
from goldcreststair.components.placement.spreading import choose_weighted, compute_pace_divisor
from goldcreststair.components.placement.upstream_table import UpstreamState
from goldcreststair.components.waiting.const import EVEN_MIN_LEFT, EVEN_SLACK
from goldcreststair.components.waiting.models import Capacity

MAX_QUEUED: Final = 1
"""Requests beyond its slots that an upstream may hold. One keeps each slot busy while the report of a
freed slot is under way; more would be served in order of arrival there."""


@dataclass(frozen=True, slots=True)
class Survey:
    """Slots and online runs of some upstreams."""

    usages: Sequence[tuple[str, int, int]]
    """Name, slots and online runs of each."""

    @property
    def fill(self) -> float:
        """The online runs relative to the slots."""
        slots = sum(slots for _, slots, _ in self.usages)
        return sum(online for _, _, online in self.usages) / max(1, slots)


class RoomFinder:
    """Reads from placement which upstreams have room."""

    def __init__(self, placement: PlacementController) -> None:
        """Store the controller that chooses upstreams."""
        self._placement = placement
        self._table = placement.upstreams

    def has_free_slot(self, placement: Placement) -> bool:
        """Return whether a placement needs no wait, except for a batch run to be preempted."""
        state = self._table.find_state(placement.upstream.name)
        return state is not None and self._table.has_free_slot(state)

    def find_service(self, upstream: str) -> str | None:
        """Return the service of an upstream, or None if it is gone."""
        state = self._table.find_state(upstream)
        return None if state is None else state.entry.service

    def read_capacity(self, service: str) -> Capacity:
        """Return the capacity of a service."""
        states = self._placement.list_allowed(PlacementQuery(service, may_try=False))
        slots = sum(self._table.count_slots(state) for state in states)
        times = self._placement.read_run_times(service)
        per_upstream = slots / len(states) if states else DEFAULT_SLOTS
        return Capacity(slots, times.run_ms, times.first_ms, times.run_ms / per_upstream)

    def count_room(self, query: PlacementQuery, left_ms: float, queued: int) -> int:
        """Return how many requests with this time to their first event the upstreams have room for.

        An upstream may hold `queued` requests beyond its slots, if these can be in time.
        """
        return sum(room for _, room in self._list_room(query, left_ms, queued))

    def choose(self, query: PlacementQuery, left_ms: float, queued: int) -> Placement | None:
        """Return a placement at an upstream with room, or None if there is none."""
        rooms = self._list_room(query, left_ms, queued)
        crowded = [name for name, room in rooms if not room]
        if len(crowded) == len(rooms):
            return None
        chosen = self._placement.choose(replace(query, excluded=query.excluded.union(crowded)))
        return chosen.ok_value if isinstance(chosen, Ok) else None

    def is_view_old(self) -> bool:
        """Return whether the runs of other daemons are known from a relay's digests only."""
        return self._placement.runs.digest_sequence is not None

    def survey(self, query: PlacementQuery) -> Survey:
        """Return the slots and online runs of all upstreams that a request may use."""
        table = self._table
        return Survey(
            [
                (state.entry.name, table.count_slots(state), table.runs.read_online(state.key))
                for state in self._list_available(query)
            ]
        )

    def choose_evenly(self, service: str, survey: Survey, rng: random.Random) -> Placement | None:
        """Return a placement chosen at random, by the squares of the places left and the pace."""
        if not survey.usages:
            return None
        factors = self._placement.read_factors(service)
        weighted = [
            (
                name,
                max(EVEN_MIN_LEFT, slots + EVEN_SLACK - online) ** 2
                / compute_pace_divisor(factors.get(name, 1.0)),
            )
            for name, slots, online in survey.usages
        ]
        return self._placement.place_at(choose_weighted(weighted, rng))

    def _list_available(self, query: PlacementQuery) -> list[UpstreamState]:
        return self._table.prefer_warm(self._placement.list_allowed(query))

    def _list_room(
        self, query: PlacementQuery, left_ms: float, queued: int
    ) -> list[tuple[str, int]]:
        """Return how many more requests may be placed at each upstream."""
        times = self._placement.read_run_times(query.service)
        return [
            (name, max(0, slots - online + (queued if _is_in_time(times, slots, left_ms) else 0)))
            for name, slots, online in self.survey(query).usages
        ]


def _is_in_time(times: RunTimes, slots: int, left_ms: float) -> bool:
    """Return whether a request that is the only one beyond the slots has its first event in time."""
    return times.run_ms / slots + times.first_ms <= left_ms
