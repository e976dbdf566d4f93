"""Limits the rate of requests that a cold upstream gets from all daemons together; no I/O.

Designed for upstreams that return during a burst, a whole data centre at once or a single
replacement. They are empty, so that within one digest every daemon would send them the requests
that wait elsewhere, many times the rate at which a cold upstream crashes. Rendezvous hashing
selects a few daemons as senders for each cold upstream, and each sender keeps to its share of the
rate. The limit holds without coordination between daemons, through network partitions and restarts.
"""

from collections import deque
from collections.abc import Set as AbstractSet
from dataclasses import dataclass

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.placement.const import COLD_SETTLE_MS, REQUESTS_PER_SENDER
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.helpers.rendezvous import score


@dataclass(frozen=True, slots=True)
class ColdRateShare:
    """How many requests the senders of one cold upstream may send it."""

    senders: int
    """Number of daemons that may send."""
    requests: int
    """Requests that each sender may send within any window of `window_ms`."""
    window_ms: float


def split_cold_rate(per_s: float, daemons: int) -> ColdRateShare:
    """Return how a cold upstream's rate, in requests per second, is split among `daemons` daemons.

    >>> split_cold_rate(22.0, 80)
    ColdRateShare(senders=11, requests=2, window_ms=1000.0)
    >>> split_cold_rate(22.0, 4).requests, split_cold_rate(0.5, 80).window_ms
    (5, 2000.0)
    """
    senders = max(1, min(daemons, int(per_s / REQUESTS_PER_SENDER)))
    requests = max(1, int(per_s / senders))
    return ColdRateShare(senders, requests, requests * senders / per_s * MS_PER_SECOND)


class ColdRateLimiter:
    """Decides whether this daemon may send one more request to a cold upstream."""

    def __init__(self, clock: Clock) -> None:
        """Block all requests to cold upstreams until the other daemons are known."""
        self._clock = clock
        self._own = ""
        self._sessions: AbstractSet[str] = frozenset()
        self._blocked_until = Millis(clock.now() + COLD_SETTLE_MS)
        self._sender_cache: dict[tuple[str, int], bool] = {}
        """Whether this daemon is a sender, by upstream and number of senders."""
        self._sent: dict[str, deque[Millis]] = {}

    def apply_sessions(self, own: str, sessions: AbstractSet[str]) -> None:
        """Apply the sessions of all daemons in the fleet, including this one."""
        if sessions != self._sessions or own != self._own:
            self._own, self._sessions = own, sessions
            self._sender_cache.clear()

    def reset_after_pause(self) -> None:
        """Block requests until the fleet is known again, after a pause of this process."""
        self._blocked_until = Millis(self._clock.now() + COLD_SETTLE_MS)

    def can_send(self, upstream: str, per_s: float) -> bool:
        """Return whether this daemon may send one more request to a cold upstream.

        `per_s` is the rate that the upstream tolerates, in requests per second.
        """
        # Daemons that start together discover each other one by one. Until then, each would select
        # itself.
        if self._clock.now() < self._blocked_until or self._own not in self._sessions:
            return False
        share = split_cold_rate(per_s, len(self._sessions))
        if not self._is_sender(upstream, share.senders):
            return False
        sent = self._sent.get(upstream)
        horizon = self._clock.now() - share.window_ms
        return sent is None or sum(at > horizon for at in sent) < share.requests

    def record_sent(self, upstream: str) -> None:
        """Record that a request is sent to a cold upstream."""
        sent = self._sent.setdefault(upstream, deque())
        sent.append(self._clock.now())

    def forget(self, upstream: str) -> None:
        """Drop the recorded requests of an upstream that is warm or gone."""
        self._sent.pop(upstream, None)

    def _is_sender(self, upstream: str, senders: int) -> bool:
        key = (upstream, senders)
        if key not in self._sender_cache:
            own = score(self._own, upstream)
            higher = sum(score(session, upstream) > own for session in self._sessions)
            self._sender_cache[key] = higher < senders
        return self._sender_cache[key]
