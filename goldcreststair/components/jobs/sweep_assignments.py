"""Which daemon looks after the jobs of which customer; no I/O.

Load it answers: the VMs of a large fleet are replaced in turn, so that someone comes or goes at each look. Ranked
anew, each customer with each daemon, this would cost every daemon the whole ranking each time; only what a
change can touch is ranked here.
"""

from collections.abc import Set as AbstractSet

from goldcreststair.helpers.rendezvous import score


class SweepAssignments:
    """Each customer has one daemon, chosen by rendezvous: the same on every daemon that knows the same."""

    def __init__(self) -> None:
        """Know nobody."""
        self._sessions: frozenset[str] = frozenset()
        self._sweepers: dict[str, tuple[int, str]] = {}
        """By customer: rank and session of the daemon that looks after it."""

    def update(self, sessions: AbstractSet[str], customers: AbstractSet[str]) -> None:
        """Take the daemons that stay, and the customers that there are."""
        added = sessions - self._sessions
        self._sessions = frozenset(sessions)
        self._sweepers = {
            customer: self._choose_sweeper(customer, added) for customer in customers if sessions
        }

    def list_customers(self, session: str) -> list[str]:
        """Return the customers that a daemon looks after, in order."""
        return sorted(c for c, (_, sweeper) in self._sweepers.items() if sweeper == session)

    def _choose_sweeper(self, customer: str, added: AbstractSet[str]) -> tuple[int, str]:
        known = self._sweepers.get(customer)
        if known is None or known[1] not in self._sessions:
            return max((score(session, customer), session) for session in self._sessions)
        return max([known, *((score(session, customer), session) for session in added)])
