"""Assigns each customer to the daemon that sweeps its jobs; no I/O.

In a large fleet with rolling replacements, the set of daemons changes before every sweep. Ranking
every customer against every daemon each time would be too expensive on all daemons, so an update
ranks only what the change can affect.
"""

from collections.abc import Set as AbstractSet

from goldcreststair.helpers.rendezvous import score


class SweepAssignments:
    """Assignment of customers to daemons by rendezvous hashing.

    Daemons with the same view of sessions and customers compute the same assignment.
    """

    def __init__(self) -> None:
        """Start without sessions and customers."""
        self._sessions: frozenset[str] = frozenset()
        self._sweepers: dict[str, tuple[int, str]] = {}
        """By customer: score and session of the daemon that sweeps it."""

    def update(self, sessions: AbstractSet[str], customers: AbstractSet[str]) -> None:
        """Set the sessions of the available daemons, and the customers to assign."""
        added = sessions - self._sessions
        self._sessions = frozenset(sessions)
        self._sweepers = {
            customer: self._choose_sweeper(customer, added) for customer in customers if sessions
        }

    def list_customers(self, session: str) -> list[str]:
        """Return the customers assigned to a session, sorted by name."""
        return sorted(c for c, (_, sweeper) in self._sweepers.items() if sweeper == session)

    def _choose_sweeper(self, customer: str, added: AbstractSet[str]) -> tuple[int, str]:
        known = self._sweepers.get(customer)
        if known is None or known[1] not in self._sessions:
            return max((score(session, customer), session) for session in self._sessions)
        return max([known, *((score(session, customer), session) for session in added)])
