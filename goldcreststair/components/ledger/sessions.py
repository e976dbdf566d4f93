"""Tracks which sessions have ended."""

from goldcreststair.clock import Millis
from goldcreststair.components.ledger.const import UNSEEN_GRACE_MS
from goldcreststair.components.membership.models import MEMBERS, Members
from goldcreststair.core import Core


class SessionTracker:
    """Decides from this VM's list of members whether a session has ended."""

    def __init__(self, core: Core) -> None:
        """Subscribe to the members."""
        self._core = core
        self._seen: set[str] = set()
        self._missing_since: dict[str, Millis] = {}
        self._unsubscribe = core.blackboard.subscribe(MEMBERS, self._handle_members)
        self._handle_members(core.blackboard.read(MEMBERS))

    def is_gone(self, session: str) -> bool:
        """Return whether a session has ended.

        A session that was never seen gets a grace period. A VM that has just started sees only
        itself for some seconds and would claim the partitions of live owners. Also, a VM that has
        just started may claim a request before this VM sees it among the members; without the
        grace period its call would end with an unknown outcome.
        """
        if session in self._core.blackboard.read(MEMBERS).by_session:
            return False
        if session in self._seen:
            return True
        now = self._core.clock.now()
        return now - self._missing_since.setdefault(session, now) >= UNSEEN_GRACE_MS

    def close(self) -> None:
        """Unsubscribe from the members."""
        self._unsubscribe()

    def _handle_members(self, members: Members) -> None:
        self._seen |= members.by_session.keys()
        for session in members.by_session:
            self._missing_since.pop(session, None)
