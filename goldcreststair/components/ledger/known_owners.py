"""The assumed owners of partitions that this VM does not own."""

from collections.abc import Collection

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.ledger.const import FORMER_OWNER_MS


class KnownOwners:
    """Owners reported by other VMs and head rows, and desired owners until recently."""

    def __init__(self, clock: Clock) -> None:
        """Create an empty set of owners."""
        self._clock = clock
        self._reported: dict[int, str] = {}
        self._former: dict[int, tuple[str, Millis]] = {}

    def find(self, index: int) -> str | None:
        """Return the known owner, or None if the desired owner should be assumed."""
        reported = self._reported.get(index)
        if reported is not None:
            return reported
        # A desired owner that has just joined does not own the partition yet and would refuse
        # requests that the former owner, which serves until it has released, would have handled.
        former, until = self._former.get(index, (None, Millis(0)))
        return former if self._clock.now() < until else None

    def record(self, index: int, session: str) -> None:
        """Record the owner that another VM or the head row reported."""
        self._reported[index] = session
        self._former.pop(index, None)

    def record_former(self, index: int, session: str) -> None:
        """Keep the VM that was desired, or reported, until now as the owner for a short time."""
        # The reported owner is removed at the same time: an outdated report would lead along a
        # chain of former owners that each refer to the next, and a request would wait for each of
        # them in turn.
        session = self._reported.pop(index, session)
        self._former[index] = (session, Millis(self._clock.now() + FORMER_OWNER_MS))

    def keep(self, sessions: Collection[str]) -> None:
        """Remove all sessions other than these."""
        self._reported = {index: name for index, name in self._reported.items() if name in sessions}
        self._former = {
            index: former for index, former in self._former.items() if former[0] in sessions
        }
