"""Whether the VM that runs a claim is gone."""

from goldcreststair.clock import Millis
from goldcreststair.components.claims.const import UNSEEN_RUNNER_GRACE_MS
from goldcreststair.components.membership.models import MEMBERS, Members
from goldcreststair.core import Core


class Runners:
    """Sessions as this VM's list of members shows them."""

    def __init__(self, core: Core) -> None:
        """Follow the members."""
        self._core = core
        self._seen: set[str] = set()
        self._missed_at: dict[str, Millis] = {}
        core.blackboard.subscribe(MEMBERS, self._handle_members)
        self._handle_members(core.blackboard.read(MEMBERS))

    def is_gone(self, session: str) -> bool:
        """Return whether a session has ended.

        A runner that has just started may have claimed before this VM heard of it. It would look
        lost and its call would end as unknown, so a session that was never seen gets a grace time.
        """
        if session in self._core.blackboard.read(MEMBERS).by_session:
            return False
        if session in self._seen:
            return True
        now = self._core.clock.now()
        return now - self._missed_at.setdefault(session, now) >= UNSEEN_RUNNER_GRACE_MS

    def _handle_members(self, members: Members) -> None:
        self._seen |= members.by_session.keys()
        for session in members.by_session:
            self._missed_at.pop(session, None)
