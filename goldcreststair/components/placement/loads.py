"""Runs at each upstream: this daemon's own, exact, and the others' from their beacons; no I/O."""

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
    """Those of the batch runs whose item cannot be in time any more."""

    @property
    def total(self) -> int:
        """All of them."""
        return self.online + self.batch

    @property
    def urgent(self) -> int:
        """Batch runs whose item can still be in time."""
        return self.batch - self.late


NO_RUNS: Final = Runs()


@dataclass(slots=True)
class _PeerRuns:
    at: Millis
    by_upstream: Mapping[int, Runs] = field(default_factory=dict)


class RunBook:
    """Upstreams are named by the hash that beacons carry."""

    def __init__(self, clock: Clock) -> None:
        """Start without runs."""
        self._clock = clock
        self._own: dict[int, Runs] = {}
        self._others: dict[int, Runs] = {}
        self._peers: dict[str, _PeerRuns] = {}
        self._holders: dict[int, dict[int, Runs]] | None = None
        """Batch runs of others by upstream and daemon, where a relay's word stands for all of them."""

    def add(self, upstream: int, change: Runs) -> None:
        """Change this daemon's runs at an upstream."""
        _add(self._own, upstream, change)

    def take(self, session: str, by_upstream: Mapping[int, Runs]) -> None:
        """Take another daemon's runs, all of them."""
        self.forget(session)
        self._peers[session] = _PeerRuns(self._clock.now(), by_upstream)
        for upstream, runs in by_upstream.items():
            _add(self._others, upstream, runs)

    def forget(self, session: str) -> None:
        """Drop another daemon's runs."""
        known = self._peers.pop(session, None)
        for upstream, runs in known.by_upstream.items() if known else ():
            _add(self._others, upstream, Runs(-runs.online, -runs.batch, -runs.late))

    def take_holders(self, holders: dict[int, dict[int, Runs]] | None) -> None:
        """Take which daemons have batch runs where, by the hashes of upstreams and sessions.

        None where every daemon speaks for itself.
        """
        self._holders = holders

    def expire(self) -> None:
        """Drop the runs of daemons that have been silent: their streams have ended by now."""
        horizon = self._clock.now() - RUNS_VALID_MS
        for session in [name for name, peer in self._peers.items() if peer.at < horizon]:
            self.forget(session)

    def read_own(self, upstream: int) -> Runs:
        """Return this daemon's runs at an upstream."""
        return self._own.get(upstream, NO_RUNS)

    def read_all(self, upstream: int) -> Runs:
        """Return the runs of all daemons at an upstream."""
        return _sum(self.read_own(upstream), self._others.get(upstream, NO_RUNS))

    def list_own(self) -> dict[int, Runs]:
        """Return this daemon's runs, upstreams without any left out."""
        return dict(self._own)

    def list_batch(self, upstream: int) -> dict[int, Runs]:
        """Return the runs of every other daemon that has batch runs at an upstream, by hash of its session."""
        if self._holders is not None:
            return dict(self._holders.get(upstream, {}))
        held = {
            hash_name(session): peer.by_upstream[upstream]
            for session, peer in self._peers.items()
            if upstream in peer.by_upstream
        }
        return {daemon: runs for daemon, runs in held.items() if runs.batch}


def _sum(left: Runs, right: Runs) -> Runs:
    return Runs(left.online + right.online, left.batch + right.batch, left.late + right.late)


def _add(book: dict[int, Runs], upstream: int, change: Runs) -> None:
    after = _sum(book.get(upstream, NO_RUNS), change)
    if after == NO_RUNS:
        book.pop(upstream, None)
    else:
        book[upstream] = after
