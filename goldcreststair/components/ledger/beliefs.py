"""Who owns the partitions that this VM does not own, as far as it knows."""

from collections.abc import Collection

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.ledger.const import FORMER_OWNER_MS


class OwnerBeliefs:
    """What other VMs and head rows said, and who was wanted until lately."""

    def __init__(self, clock: Clock) -> None:
        """Believe nothing."""
        self._clock = clock
        self._told: dict[int, str] = {}
        self._former: dict[int, tuple[str, Millis]] = {}

    def find(self, index: int) -> str | None:
        """Return the believed owner, None to believe the wanted one."""
        told = self._told.get(index)
        if told is not None:
            return told
        # A wanted owner that has just joined does not own yet. Asked at once, it refuses what the
        # former one, which serves until it has released, would have done.
        former, until = self._former.get(index, (None, Millis(0)))
        return former if self._clock.now() < until else None

    def learn(self, index: int, session: str) -> None:
        """Believe another VM's or the head row's word."""
        self._told[index] = session
        self._former.pop(index, None)

    def note_former(self, index: int, session: str) -> None:
        """Ask the VM that was wanted, or believed, until now for a short while longer."""
        # What was told is forgotten with it: kept, a word of long ago leads along a chain of former
        # owners that each refer to the next, and a request waits for one ask after another.
        session = self._told.pop(index, session)
        self._former[index] = (session, Millis(self._clock.now() + FORMER_OWNER_MS))

    def keep(self, sessions: Collection[str]) -> None:
        """Forget all other sessions."""
        self._told = {index: name for index, name in self._told.items() if name in sessions}
        self._former = {
            index: former for index, former in self._former.items() if former[0] in sessions
        }
