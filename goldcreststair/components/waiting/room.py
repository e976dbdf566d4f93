"""Finds upstreams with room for a waiting request, and the capacity of a service; no I/O."""

import random
from dataclasses import replace
from typing import Final

from result import Ok

from goldcreststair.components.placement.const import DEFAULT_SLOTS
from goldcreststair.components.placement.controller import PlacementController
from goldcreststair.components.placement.models import Placement, PlacementQuery
from goldcreststair.components.placement.spreading import choose_weighted
from goldcreststair.components.placement.upstream_table import UpstreamState
from goldcreststair.components.waiting.const import EVEN_MIN_LEFT, EVEN_SLACK
from goldcreststair.components.waiting.models import Capacity

MAX_QUEUED: Final = 1
"""Requests beyond its slots that an upstream may hold. One keeps each slot busy while the report of a
freed slot is under way; more would be served in order of arrival there."""


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

    def read_capacity(self, service: str) -> Capacity:
        """Return the capacity of a service."""
        states = self._table.list_available(self._table.list_by_service(service))
        slots = sum(self._table.count_slots(state) for state in states)
        times = self._placement.read_run_times(service)
        per_upstream = slots / len(states) if states else DEFAULT_SLOTS
        return Capacity(slots, times.run_ms, times.first_ms, times.run_ms / per_upstream)

    def count_room(self, query: PlacementQuery, left_ms: float, queued: int) -> int:
        """Return how many requests with this time to their first event the upstreams have room for."""
        return sum(
            self._count_room(state, left_ms, queued) for state in self._list_available(query)
        )

    def choose(self, query: PlacementQuery, left_ms: float, queued: int) -> Placement | None:
        """Return a placement at an upstream with room, or None if there is none.

        The upstream may hold `queued` requests beyond its slots.
        """
        available = self._list_available(query)
        crowded = [s.entry.name for s in available if self._count_room(s, left_ms, queued) <= 0]
        if len(crowded) == len(available):
            return None
        chosen = self._placement.choose(replace(query, excluded=query.excluded.union(crowded)))
        return chosen.ok_value if isinstance(chosen, Ok) else None

    def is_view_old(self) -> bool:
        """Return whether the runs of other daemons are known from a relay's digests only."""
        return self._placement.runs.digest_sequence is not None

    def read_fill(self, query: PlacementQuery) -> float:
        """Return the online runs of all upstreams that a request may use, relative to their slots."""
        available = self._list_available(query)
        slots = sum(self._table.count_slots(state) for state in available)
        return sum(self._table.count_runs(state).online for state in available) / max(1, slots)

    def choose_evenly(self, query: PlacementQuery, rng: random.Random) -> Placement | None:
        """Return a placement chosen at random, by the squares of the places left at the upstreams."""
        weighted = []
        for state in self._list_available(query):
            left = (
                self._table.count_slots(state) + EVEN_SLACK - self._table.count_runs(state).online
            )
            weighted.append((state.entry.name, max(EVEN_MIN_LEFT, left) ** 2))
        if not weighted:
            return None
        return self._placement.place_at(choose_weighted(weighted, rng))

    def _list_available(self, query: PlacementQuery) -> list[UpstreamState]:
        table = self._table
        return table.prefer_warm(table.list_available(table.list_candidates(query)))

    def _count_room(self, state: UpstreamState, left_ms: float, queued: int) -> int:
        """Return how many more requests may be placed at an upstream that can be in time there."""
        times = self._placement.read_run_times(state.entry.service)
        slots = self._table.count_slots(state)
        limit = slots
        if queued * times.run_ms / slots + times.first_ms <= left_ms:
            limit += queued
        return max(0, limit - self._table.count_runs(state).online)
