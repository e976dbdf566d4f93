"""Runs at each upstream: this daemon's own, exact, and the others' from their beacons; no I/O."""

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.fleet.const import RUNS_MS


@dataclass(frozen=True, slots=True)
class Runs:
    """Requests that run or wait at one upstream."""

    online: int = 0
    batch: int = 0

    @property
    def total(self) -> int:
        """All of them."""
        return self.online + self.batch


@dataclass(slots=True)
class _PeerRuns:
    at: Millis
    by_upstream: Mapping[int, Runs] = field(default_factory=dict)


class RunBook:
    """Upstreams are named by the hash that beacons carry."""

    def __init__(self, clock: Clock) -> None:
        """Start without runs."""
        self._clock = clock
        self._own_online: Counter[int] = Counter()
        self._own_batch: Counter[int] = Counter()
        self._online: Counter[int] = Counter()
        self._batch: Counter[int] = Counter()
        self._peers: dict[str, _PeerRuns] = {}

    def add(self, upstream: int, online: int = 0, batch: int = 0) -> None:
        """Change this daemon's runs at an upstream."""
        self._own_online[upstream] += online
        self._own_batch[upstream] += batch

    def take(self, session: str, by_upstream: Mapping[int, Runs]) -> None:
        """Take another daemon's runs, all of them."""
        self.forget(session)
        self._peers[session] = _PeerRuns(self._clock.now(), by_upstream)
        for upstream, runs in by_upstream.items():
            self._online[upstream] += runs.online
            self._batch[upstream] += runs.batch

    def forget(self, session: str) -> None:
        """Drop another daemon's runs."""
        known = self._peers.pop(session, None)
        for upstream, runs in known.by_upstream.items() if known else ():
            self._online[upstream] -= runs.online
            self._batch[upstream] -= runs.batch

    def expire(self) -> None:
        """Drop the runs of daemons that have been silent: their streams have ended by now."""
        horizon = self._clock.now() - RUNS_MS
        for session in [name for name, peer in self._peers.items() if peer.at < horizon]:
            self.forget(session)

    def read_own(self, upstream: int) -> Runs:
        """Return this daemon's runs at an upstream."""
        return Runs(self._own_online[upstream], self._own_batch[upstream])

    def read_all(self, upstream: int) -> Runs:
        """Return the runs of all daemons at an upstream."""
        return Runs(
            self._own_online[upstream] + self._online[upstream],
            self._own_batch[upstream] + self._batch[upstream],
        )

    def list_own(self) -> dict[int, Runs]:
        """Return this daemon's runs, upstreams without any left out."""
        names = {name for name, count in self._own_online.items() if count}
        names |= {name for name, count in self._own_batch.items() if count}
        return {name: self.read_own(name) for name in names}

    def list_batch(self, upstream: int) -> dict[str, int]:
        """Return the batch runs of every other daemon at an upstream, by session."""
        held = {
            session: peer.by_upstream[upstream].batch
            for session, peer in self._peers.items()
            if upstream in peer.by_upstream
        }
        return {session: count for session, count in held.items() if count}
