"""A home's right to spend, and how a new home waits for the old one's to end."""

from collections.abc import Iterable

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import (
    LOT_LIFETIME_MS,
    PREDECESSOR_WAIT_MS,
    RESERVE,
    STORE_RIGHT_MS,
    SUPPORT_RIGHT_MS,
    SUPPORTED_LIMIT_MS,
    wait_out,
)


def count_majority(size: int) -> int:
    """Return how many of `size` are more than half.

    >>> count_majority(3), count_majority(2)
    (2, 2)
    """
    return size // 2 + 1


class HomeRight:
    """Until when a home may spend, by its own clock."""

    def __init__(self, recorded: bool = False) -> None:
        """Start without supporters; `recorded` if the partition's record names any."""
        self._sets: tuple[frozenset[str] | None, ...] = (frozenset() if recorded else None,)
        """Sets that the record may hold, newest last; None stands for a record without any."""
        self._asked: dict[str, Millis] = {}

    @property
    def supporters(self) -> frozenset[str]:
        """All sessions whose consent may count."""
        return frozenset().union(*(sessions or () for sessions in self._sets))

    @property
    def wanted(self) -> frozenset[str]:
        """The newest set, durable or not."""
        return self._sets[-1] or frozenset()

    def set_supporters(self, sessions: Iterable[str]) -> None:
        """Take the set that is durable now."""
        self._sets = (frozenset(sessions),)
        self._forget_others()

    def begin_change(self, sessions: Iterable[str]) -> None:
        """Take a set whose write is on its way.

        The record may hold the old or the new set until the write has ended, and a successor asks
        those whom it reads there. With no set in force meanwhile, every home was without right for
        seconds when a VM left just after the store went down; with either alone, home and successor
        could both spend. So both have to consent.
        """
        self._sets = (self._sets[0], frozenset(sessions))

    def end_change(self, *, written: bool) -> None:
        """Take what became of the write."""
        self._sets = (self._sets[-1] if written else self._sets[0],)
        self._forget_others()

    def support(self, session_id: str, asked_at: Millis) -> None:
        """Take in a supporter's consent to a question sent at `asked_at`."""
        if session_id in self.supporters:
            self._asked[session_id] = Millis(max(asked_at, self._asked.get(session_id, asked_at)))

    def find_end(self, confirmed_at: Millis) -> Millis:
        """Return when the right ends."""
        return min(self._find_end(sessions, confirmed_at) for sessions in self._sets)

    def _find_end(self, sessions: frozenset[str] | None, confirmed_at: Millis) -> Millis:
        # A paused or cut-off home can't see that it was replaced: it would spend beside its
        # successor. Both kinds of confirmation run from before the other side answered.
        if sessions is None:
            return Millis(confirmed_at + STORE_RIGHT_MS)
        asked = [at for session, at in self._asked.items() if session in sessions]
        supported = sorted(asked, reverse=True)
        needed = count_majority(len(sessions))
        end = confirmed_at
        if sessions and len(supported) >= needed:
            limit = confirmed_at + SUPPORTED_LIMIT_MS - SUPPORT_RIGHT_MS
            end = Millis(max(end, min(supported[needed - 1], limit)))
        return Millis(end + SUPPORT_RIGHT_MS)

    def _forget_others(self) -> None:
        self._asked = {s: at for s, at in self._asked.items() if s in self.supporters}

    def find_part(self, confirmed_at: Millis, now: Millis) -> float:
        """Return the part of rate and burst that the home may use."""
        # If the supporters are lost too, a successor can't hear that the old home has ended: all
        # would be refused for minutes. So it has the reserve once the store right has run out.
        return 1.0 if now < confirmed_at + STORE_RIGHT_MS else 1 - RESERVE


class TakeOver:
    """Waits until no right of an older epoch can be in use."""

    def __init__(self, old_supporters: Iterable[str], now: Millis) -> None:
        """Begin when the partition was gained; `old_supporters` as its record says."""
        self._supporters = frozenset(old_supporters)
        self._renounced: set[str] = set()
        self._gained_at = now
        self._fenced_at: Millis | None = None if self._supporters else now

    @property
    def unheard(self) -> frozenset[str]:
        """Old supporters that have not renounced yet."""
        return self._supporters - self._renounced

    def renounce(self, session_id: str, now: Millis) -> None:
        """Take in that a VM will support no older epoch; its answer came at `now`."""
        if session_id not in self._supporters:
            return
        self._renounced.add(session_id)
        if self._fenced_at is None and len(self._renounced) >= count_majority(
            len(self._supporters)
        ):
            self._fenced_at = now

    def is_asking(self, now: Millis) -> bool:
        """Return whether the predecessor's buckets may still come at any moment."""
        return now - self._gained_at < PREDECESSOR_WAIT_MS

    def find_reserve_start(self) -> Millis:
        """Return from when the reserve is this home's, whatever the old one does."""
        return Millis(self._gained_at + wait_out(STORE_RIGHT_MS + LOT_LIFETIME_MS))

    def find_end(self) -> Millis:
        """Return when the old rights have certainly ended, lots included."""
        longest = self._gained_at + wait_out(SUPPORTED_LIMIT_MS + LOT_LIFETIME_MS)
        if self._fenced_at is None:
            return Millis(longest)
        right_ms = SUPPORT_RIGHT_MS if self._supporters else STORE_RIGHT_MS
        return Millis(min(longest, self._fenced_at + wait_out(right_ms + LOT_LIFETIME_MS)))
