"""Whether a session that owns or runs something is gone."""

from goldcreststair.clock import Millis
from goldcreststair.components.ledger.const import UNSEEN_GRACE_MS
from goldcreststair.components.membership.models import MEMBERS, Members
from goldcreststair.core import Core


class SessionTracker:
    """Sessions as this VM's list of members shows them."""

    def __init__(self, core: Core) -> None:
        """Follow the members."""
        self._core = core
        self._seen: set[str] = set()
        self._missed_at: dict[str, Millis] = {}
        self._unsubscribe = core.blackboard.subscribe(MEMBERS, self._handle_members)
        self._handle_members(core.blackboard.read(MEMBERS))

    def is_gone(self, session: str) -> bool:
        """Return whether a session has ended.

        A session that was never seen gets a grace time. A VM that has just started sees itself
        alone for some seconds and would rob every owner; and a runner that has just started may
        have claimed before this VM heard of it, and its call would end as unknown.
        """
        if session in self._core.blackboard.read(MEMBERS).by_session:
            return False
        if session in self._seen:
            return True
        now = self._core.clock.now()
        return now - self._missed_at.setdefault(session, now) >= UNSEEN_GRACE_MS

    def close(self) -> None:
        """Stop following the members."""
        self._unsubscribe()

    def _handle_members(self, members: Members) -> None:
        self._seen |= members.by_session.keys()
        for session in members.by_session:
            self._missed_at.pop(session, None)
