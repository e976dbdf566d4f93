"""A coordinator's lease, and the wait of a new coordinator for the old one's lease to end."""

from collections.abc import Iterable

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import (
    GRANT_LIFETIME_MS,
    MAX_SUPPORTED_MS,
    PREDECESSOR_WAIT_MS,
    STORE_LEASE_MS,
    SUCCESSOR_RESERVE,
    SUPPORT_LEASE_MS,
    wait_out,
)


def count_majority(size: int) -> int:
    """Return how many of `size` are more than half.

    >>> count_majority(3), count_majority(2)
    (2, 2)
    """
    return size // 2 + 1


class CoordinatorLease:
    """Until when a coordinator may grant and spend tokens, by its own clock."""

    def __init__(self, recorded: bool = False) -> None:
        """Create a lease without supporters; `recorded` if the partition's record names any."""
        self._sets: tuple[frozenset[str] | None, ...] = (frozenset() if recorded else None,)
        """Sets of supporters that the record may hold, newest last; None if there is no record."""
        self._consents: dict[str, Millis] = {}

    @property
    def supporters(self) -> frozenset[str]:
        """All sessions whose consent may extend the lease."""
        return frozenset().union(*(sessions or () for sessions in self._sets))

    @property
    def newest_supporters(self) -> frozenset[str]:
        """The newest set of supporters, whether it is durable or not."""
        return self._sets[-1] or frozenset()

    def set_supporters(self, sessions: Iterable[str]) -> None:
        """Apply the set of supporters that is durable now."""
        self._sets = (frozenset(sessions),)
        self._drop_non_supporters()

    def begin_change(self, sessions: Iterable[str]) -> None:
        """Apply a set of supporters whose write has begun.

        Until the write has ended, the record may hold the old or the new set, and a successor asks
        only the set that it reads. So both sets have to consent: with either alone, coordinator and
        successor could both spend. With no set in force meanwhile, every coordinator was without a
        lease for seconds when a VM left just after the store went down.
        """
        self._sets = (self._sets[0], frozenset(sessions))

    def end_change(self, *, written: bool) -> None:
        """Apply the result of the write."""
        self._sets = (self._sets[-1] if written else self._sets[0],)
        self._drop_non_supporters()

    def record_support(self, session_id: str, requested_at: Millis) -> None:
        """Record a supporter's consent to a request that was sent at `requested_at`."""
        if session_id in self.supporters:
            self._consents[session_id] = Millis(
                max(requested_at, self._consents.get(session_id, requested_at))
            )

    def find_end(self, confirmed_at: Millis) -> Millis:
        """Return when the lease ends."""
        return min(self._find_end(sessions, confirmed_at) for sessions in self._sets)

    def _find_end(self, sessions: frozenset[str] | None, confirmed_at: Millis) -> Millis:
        # A paused or disconnected coordinator can't notice that it was replaced and would spend
        # beside its successor. So each confirmation counts from before the other side answered.
        if sessions is None:
            return Millis(confirmed_at + STORE_LEASE_MS)
        consents = [at for session, at in self._consents.items() if session in sessions]
        supported = sorted(consents, reverse=True)
        needed = count_majority(len(sessions))
        end = confirmed_at
        if sessions and len(supported) >= needed:
            limit = confirmed_at + MAX_SUPPORTED_MS - SUPPORT_LEASE_MS
            end = Millis(max(end, min(supported[needed - 1], limit)))
        return Millis(end + SUPPORT_LEASE_MS)

    def _drop_non_supporters(self) -> None:
        self._consents = {s: at for s, at in self._consents.items() if s in self.supporters}

    def find_usable_fraction(self, confirmed_at: Millis, now: Millis) -> float:
        """Return the fraction of rate and burst that the coordinator may use."""
        # If the supporters are lost too, a successor can't learn that the old lease has ended and
        # would refuse everything for minutes. So it gets the reserve once the store lease expired.
        return 1.0 if now < confirmed_at + STORE_LEASE_MS else 1 - SUCCESSOR_RESERVE


class Takeover:
    """Decides when no lease of an older epoch can be in use any more."""

    def __init__(self, old_supporters: Iterable[str], now: Millis) -> None:
        """Begin when the partition is gained; `old_supporters` are those in its record."""
        self._supporters = frozenset(old_supporters)
        self._renounced: set[str] = set()
        self._gained_at = now
        self._fenced_at: Millis | None = None if self._supporters else now

    @property
    def not_renounced(self) -> frozenset[str]:
        """Old supporters that have not renounced the older epochs yet."""
        return self._supporters - self._renounced

    def renounce(self, session_id: str, now: Millis) -> None:
        """Record that a VM will support no older epoch; its answer came at `now`."""
        if session_id not in self._supporters:
            return
        self._renounced.add(session_id)
        if self._fenced_at is None and len(self._renounced) >= count_majority(
            len(self._supporters)
        ):
            self._fenced_at = now

    def is_predecessor_expected(self, now: Millis) -> bool:
        """Return whether the predecessor's buckets are likely to arrive soon."""
        return now - self._gained_at < PREDECESSOR_WAIT_MS

    def find_reserve_start(self) -> Millis:
        """Return from when this coordinator may use the reserve, whatever the old one does."""
        return Millis(self._gained_at + wait_out(STORE_LEASE_MS + GRANT_LIFETIME_MS))

    def find_end(self) -> Millis:
        """Return when the old leases and their grants have certainly ended."""
        longest = self._gained_at + wait_out(MAX_SUPPORTED_MS + GRANT_LIFETIME_MS)
        if self._fenced_at is None:
            return Millis(longest)
        lease_ms = SUPPORT_LEASE_MS if self._supporters else STORE_LEASE_MS
        return Millis(min(longest, self._fenced_at + wait_out(lease_ms + GRANT_LIFETIME_MS)))
