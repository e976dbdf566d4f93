"""Bounds the requests that a cold upstream gets from all daemons together; no I/O.

Load it answers: a data centre's upstreams return together, or one is replaced, in the middle of a burst. They
are empty, so that every daemon would send them what waits elsewhere within one digest, many times what a
cold upstream takes before it crashes. A few daemons are named for each of them by rendezvous, and each of these
keeps to its part of the rate: the bound holds without a word between them, through cuts and restarts.
"""

from collections import deque
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.placement.const import COLD_SETTLE_MS, HOLDER_REQUESTS
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.helpers.rendezvous import score


@dataclass(frozen=True, slots=True)
class ColdShare:
    """What the daemons that are named for one cold upstream may send it."""

    holders: int
    """How many daemons are named."""
    requests: int
    """Requests that each of them may send within any window."""
    window_ms: float


def split_cold_rate(per_s: float, daemons: int) -> ColdShare:
    """Return how a cold upstream's rate is split among some of so many daemons.

    >>> split_cold_rate(22.0, 80)
    ColdShare(holders=11, requests=2, window_ms=1000.0)
    >>> split_cold_rate(22.0, 4).requests, split_cold_rate(0.5, 80).window_ms
    (5, 2000.0)
    """
    holders = max(1, min(daemons, int(per_s / HOLDER_REQUESTS)))
    requests = max(1, int(per_s / holders))
    return ColdShare(holders, requests, requests * holders / per_s * MS_PER_SECOND)


class ColdGate:
    """Decides whether this daemon may send one more request to a cold upstream."""

    def __init__(self, clock: Clock) -> None:
        """Send nothing before the other daemons are known."""
        self._clock = clock
        self._own = ""
        self._sessions: AbstractSet[str] = frozenset()
        self._shut_until = Millis(clock.now() + COLD_SETTLE_MS)
        self._named: dict[tuple[str, int], bool] = {}
        """Whether this daemon is among so many named ones for an upstream."""
        self._sent: dict[str, deque[Millis]] = {}

    def take_sessions(self, own: str, sessions: AbstractSet[str]) -> None:
        """Take the daemons that are part of the fleet, this one included."""
        if sessions != self._sessions or own != self._own:
            self._own, self._sessions = own, sessions
            self._named.clear()

    def void(self) -> None:
        """Send nothing until the fleet is known again: this process stood still."""
        self._shut_until = Millis(self._clock.now() + COLD_SETTLE_MS)

    def may_send(self, upstream: str, per_s: float) -> bool:
        """Return whether a cold upstream that takes `per_s` requests may get one more from here."""
        # Daemons that start together learn of each other one by one: each would name itself meanwhile.
        if self._clock.now() < self._shut_until or self._own not in self._sessions:
            return False
        share = split_cold_rate(per_s, len(self._sessions))
        if not self._is_named(upstream, share.holders):
            return False
        sent = self._sent.get(upstream)
        horizon = self._clock.now() - share.window_ms
        return sent is None or sum(at > horizon for at in sent) < share.requests

    def record_sent(self, upstream: str) -> None:
        """Count a request that goes to a cold upstream."""
        sent = self._sent.setdefault(upstream, deque())
        sent.append(self._clock.now())

    def forget(self, upstream: str) -> None:
        """Drop what was counted for an upstream that is warm or gone."""
        self._sent.pop(upstream, None)

    def _is_named(self, upstream: str, holders: int) -> bool:
        key = (upstream, holders)
        if key not in self._named:
            own = score(self._own, upstream)
            higher = sum(score(session, upstream) > own for session in self._sessions)
            self._named[key] = higher < holders
        return self._named[key]
