"""Slots for batch runs, and their preemption for online requests; no I/O.

Designed for batch beside bursts of online requests: batch uses the slots that online requests leave
free, and gives them back within one beacon interval.
"""

import random
from collections.abc import Sequence

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.catalogue.regions import Regions
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.outliers.protocols import NO_OUTLIERS, OutlierReader
from goldcreststair.components.placement.const import (
    BATCH_FREE_SHARE,
    BATCH_HOLD_MS,
    BATCH_RESERVE,
)
from goldcreststair.components.placement.spreading import choose_weighted
from goldcreststair.components.placement.upstream_table import UpstreamTable
from goldcreststair.helpers.rendezvous import score


class BatchSlots:
    """Chooses upstreams for batch runs, and the batch runs to preempt."""

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        upstreams: UpstreamTable,
        outliers: OutlierReader = NO_OUTLIERS,
    ) -> None:
        """Initialise with the upstreams that online requests use as well."""
        self._clock = clock
        self._random = rng
        self._upstreams = upstreams
        self._outliers = outliers

    def choose(
        self,
        service: str,
        regions: Regions = None,
        software_version: str | None = None,
        *,
        idlest: bool = False,
    ) -> UpstreamEntry | None:
        """Return an upstream in these regions with free slots for batch, or None.

        With a software version, only upstreams that certainly run it; with `idlest`, the one with the most free
        slots even where all daemons choose from the same digest.
        """
        free = self._list_usable(service, regions, software_version)
        if not free:
            return None
        if self._upstreams.runs.digest_sequence is not None and not idlest:
            return choose_weighted(free, self._random)
        best, _ = max(free, key=lambda each: each[1] + self._random.random())
        return best

    def needs_software(self, service: str, regions: Regions, software_version: str) -> bool:
        """Return whether upstreams have free slots for batch, but none of them runs this software."""
        usable = self._list_usable(service, regions)
        return bool(usable) and not self._select_software(usable, software_version)

    def _list_usable(
        self, service: str, regions: Regions = None, software_version: str | None = None
    ) -> list[tuple[UpstreamEntry, int]]:
        """Return the upstreams with free slots while enough slots of the service are free."""
        free_all, slots_all = self._upstreams.read_idle(service)
        if free_all < slots_all * BATCH_FREE_SHARE:
            return []
        free = self._list_free(service, regions)
        return free if software_version is None else self._select_software(free, software_version)

    def _select_software(
        self, free: list[tuple[UpstreamEntry, int]], software_version: str
    ) -> list[tuple[UpstreamEntry, int]]:
        find_software = self._upstreams.find_software
        return [each for each in free if find_software(each[0].name) == software_version]

    def count_free(self, service: str) -> int:
        """Return the number of free slots that batch may use now."""
        return sum(free for _, free in self._list_free(service))

    def _list_free(self, service: str, regions: Regions = None) -> list[tuple[UpstreamEntry, int]]:
        now = self._clock.now()
        found = []
        states = [
            state
            for state in self._upstreams.list_by_service(service)
            if self._upstreams.is_in_regions(state, regions)
        ]
        states = [s for s in states if not self._outliers.is_excluded(s.entry.name)] or states
        warm = [state for state in states if not self._upstreams.is_cold(state)]
        for state in warm or [state for state in states if self._upstreams.accepts_more(state)]:
            blocked = max(state.down_until, state.full_until, state.no_batch_until) > now
            free = (
                self._upstreams.count_slots(state)
                - BATCH_RESERVE
                - self._upstreams.count_runs(state).total
            )
            suspected = self._upstreams.is_suspected(state)
            if not blocked and not suspected and free >= 1:
                found.append((state.entry, free))
        return found

    def count_runs_to_preempt(self, name: str, own_session: str) -> int:
        """Return how many of its own batch runs this daemon has to preempt at an upstream.

        All daemons know the same runs, so that each computes its own part of the excess without
        coordination. Late items are preempted before those that can meet their deadline; the order
        of the sessions differs between upstreams.
        """
        state = self._upstreams.find_state(name)
        if state is None:
            return 0
        own = self._upstreams.runs.read_own(state.key)
        if own.batch == 0:
            return 0
        excess = self._upstreams.count_runs(state).total - self._upstreams.count_slots(state)
        if excess <= 0:
            return 0
        own_daemon = hash_name(own_session)
        batch_runs = self._upstreams.runs.list_batch(state.key) | {own_daemon: own}
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
        state = self._upstreams.find_state(name)
        if state is None or self._upstreams.runs.digest_sequence is None:
            return None
        runs, slots = self._upstreams.count_runs(state), self._upstreams.count_slots(state)
        if runs.total <= slots or runs.online > slots:
            return None
        batch_runs = self._upstreams.runs.list_batch(state.key)
        if not batch_runs:
            return None
        late = {daemon: runs.late for daemon, runs in batch_runs.items() if runs.late}
        choices = late or {daemon: runs.batch for daemon, runs in batch_runs.items()}
        return choose_weighted(list(choices.items()), self._random)

    def mark_preempted(self, name: str) -> None:
        """Record a preemption at an upstream; batch starts no runs there for a while."""
        state = self._upstreams.find_state(name)
        if state is not None:
            state.no_batch_until = Millis(self._clock.now() + BATCH_HOLD_MS)


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
