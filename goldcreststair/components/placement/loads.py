"""Counts the runs at each upstream, this daemon's own and those of other daemons; no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.fleet.const import RUNS_VALID_MS
from goldcreststair.components.fleet.protocols import hash_name


@dataclass(frozen=True, slots=True)
class Runs:
    """Requests that run or wait at one upstream."""

    online: int = 0
    batch: int = 0
    late: int = 0
    """Batch runs whose item cannot meet its deadline any more; part of `batch`."""

    @property
    def total(self) -> int:
        """Online and batch runs."""
        return self.online + self.batch

    @property
    def urgent(self) -> int:
        """Batch runs whose item can still meet its deadline."""
        return self.batch - self.late


NO_RUNS: Final = Runs()


@dataclass(slots=True)
class _PeerRuns:
    at: Millis
    by_upstream: Mapping[int, Runs] = field(default_factory=dict)


class RunTracker:
    """Counts runs by upstream; upstreams are identified by the hash of their name."""

    def __init__(self, clock: Clock) -> None:
        """Create a tracker without runs."""
        self._clock = clock
        self._own: dict[int, Runs] = {}
        self._others: dict[int, Runs] = {}
        self._peers: dict[str, _PeerRuns] = {}
        self._batch_by_daemon: dict[int, dict[int, Runs]] | None = None
        """Batch runs of other daemons by upstream and daemon; None unless a relay reports for all
        daemons."""
        self.digest_sequence: int | None = None
        """Sequence number of the last digest of a relay; None if daemons send their beacons to each
        other."""

    def add(self, upstream: int, change: Runs) -> None:
        """Add to this daemon's runs at an upstream; counts in `change` may be negative."""
        _add(self._own, upstream, change)

    def apply_peer_runs(self, session: str, by_upstream: Mapping[int, Runs]) -> None:
        """Replace the runs of another daemon by what it reports now."""
        self.forget(session)
        self._peers[session] = _PeerRuns(self._clock.now(), by_upstream)
        for upstream, runs in by_upstream.items():
            _add(self._others, upstream, runs)

    def forget(self, session: str) -> None:
        """Drop the runs of another daemon."""
        known = self._peers.pop(session, None)
        for upstream, runs in known.by_upstream.items() if known else ():
            _add(self._others, upstream, Runs(-runs.online, -runs.batch, -runs.late))

    def apply_batch_runs(self, by_upstream: dict[int, dict[int, Runs]] | None) -> None:
        """Replace the batch runs of other daemons, by the hashes of upstream and session.

        None if every daemon reports its own runs.
        """
        self._batch_by_daemon = by_upstream

    def expire(self) -> None:
        """Drop the runs of daemons that have been silent for so long that their streams ended."""
        horizon = self._clock.now() - RUNS_VALID_MS
        for session in [name for name, peer in self._peers.items() if peer.at < horizon]:
            self.forget(session)

    def read_own(self, upstream: int) -> Runs:
        """Return this daemon's runs at an upstream."""
        return self._own.get(upstream, NO_RUNS)

    def read_all(self, upstream: int) -> Runs:
        """Return the runs of all daemons at an upstream."""
        own, others = self._own.get(upstream), self._others.get(upstream)
        # Read several times for each upstream in each decision, so that a sum is made only if needed.
        if own is None or others is None:
            return own or others or NO_RUNS
        return _sum(own, others)

    def list_own(self) -> dict[int, Runs]:
        """Return this daemon's runs by upstream, without upstreams that have none."""
        return dict(self._own)

    def list_batch(self, upstream: int) -> dict[int, Runs]:
        """Return the runs of other daemons with batch runs at an upstream, by session hash."""
        if self._batch_by_daemon is not None:
            return dict(self._batch_by_daemon.get(upstream, {}))
        held = {
            hash_name(session): peer.by_upstream[upstream]
            for session, peer in self._peers.items()
            if upstream in peer.by_upstream
        }
        return {daemon: runs for daemon, runs in held.items() if runs.batch}


def _sum(left: Runs, right: Runs) -> Runs:
    return Runs(left.online + right.online, left.batch + right.batch, left.late + right.late)


def _add(totals: dict[int, Runs], upstream: int, change: Runs) -> None:
    after = _sum(totals.get(upstream, NO_RUNS), change)
    if after == NO_RUNS:
        totals.pop(upstream, None)
    else:
        totals[upstream] = after
