"""Assignment of customers to the daemons that sweep their jobs."""

import random

import pytest

from goldcreststair.components.jobs import sweep_assignments
from goldcreststair.components.jobs.sweep_assignments import SweepAssignments
from goldcreststair.helpers.rendezvous import score

SESSIONS = [f"session{number}" for number in range(60)]
CUSTOMERS = frozenset(f"customer{number}" for number in range(40))


def rank_all(sessions: set[str], customers: frozenset[str], session: str) -> list[str]:
    """Return the customers of a daemon, each ranked against every daemon."""
    return sorted(
        customer
        for customer in customers
        if session == max(sessions, key=lambda each: score(each, customer), default="")
    )


@pytest.mark.parametrize("seed", range(5))
def test_incremental_updates_equal_a_full_ranking(seed: int) -> None:
    chance = random.Random(seed)
    assignments, sessions = SweepAssignments(), set(SESSIONS[:30])
    customers = CUSTOMERS
    for _ in range(30):
        sessions = {s for s in sessions if chance.random() > 0.05}
        sessions |= set(chance.sample(SESSIONS, chance.randrange(3)))
        customers = frozenset(c for c in CUSTOMERS if chance.random() > 0.1)
        assignments.update(sessions, customers)
        for session in SESSIONS:
            assert assignments.list_customers(session) == rank_all(sessions, customers, session)


def test_replaced_daemon_costs_less_than_a_full_ranking(monkeypatch: pytest.MonkeyPatch) -> None:
    """Rolling replacement of a large fleet used more processor time than allowed.

    The set of daemons changed before every sweep, and every daemon ranked every customer against
    every daemon again.
    """
    ranked = 0

    def count(*parts: str) -> int:
        nonlocal ranked
        ranked += 1
        return score(*parts)

    monkeypatch.setattr(sweep_assignments, "score", count)
    assignments = SweepAssignments()
    assignments.update(set(SESSIONS[:50]), CUSTOMERS)
    first, ranked = ranked, 0
    for number in range(10):
        assignments.update(set(SESSIONS[number + 1 : number + 51]), CUSTOMERS)
    assert ranked / 10 < first / 10


def test_without_daemons_no_customer_is_assigned() -> None:
    assignments = SweepAssignments()
    assignments.update(set(), CUSTOMERS)
    assert assignments.list_customers("session0") == []
