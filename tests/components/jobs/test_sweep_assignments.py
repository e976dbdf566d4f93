"""Which daemon looks after the jobs of which customer."""

import random

import pytest

from goldcreststair.components.jobs import sweep_assignments
from goldcreststair.components.jobs.sweep_assignments import SweepAssignments
from goldcreststair.helpers.rendezvous import score

SESSIONS = [f"session{number}" for number in range(60)]
CUSTOMERS = frozenset(f"customer{number}" for number in range(40))


def rank_all(sessions: set[str], customers: frozenset[str], session: str) -> list[str]:
    """Return the customers of a daemon, each ranked with every daemon."""
    return sorted(
        customer
        for customer in customers
        if session == max(sessions, key=lambda each: score(each, customer), default="")
    )


@pytest.mark.parametrize("seed", range(5))
def test_changes_lead_to_the_same_as_ranking_all(seed: int) -> None:
    chance = random.Random(seed)
    found, sessions = SweepAssignments(), set(SESSIONS[:30])
    customers = CUSTOMERS
    for _ in range(30):
        sessions = {s for s in sessions if chance.random() > 0.05}
        sessions |= set(chance.sample(SESSIONS, chance.randrange(3)))
        customers = frozenset(c for c in CUSTOMERS if chance.random() > 0.1)
        found.update(sessions, customers)
        for session in SESSIONS:
            assert found.list_customers(session) == rank_all(sessions, customers, session)


def test_a_replaced_daemon_costs_what_it_touches(monkeypatch: pytest.MonkeyPatch) -> None:
    """All VMs of a large fleet are replaced in turn: the day took more processor time than it may.

    At each look every daemon ranked every customer with every daemon anew, as one had come or gone.
    """
    ranked = 0

    def count(*parts: str) -> int:
        nonlocal ranked
        ranked += 1
        return score(*parts)

    monkeypatch.setattr(sweep_assignments, "score", count)
    found = SweepAssignments()
    found.update(set(SESSIONS[:50]), CUSTOMERS)
    first, ranked = ranked, 0
    for number in range(10):
        found.update(set(SESSIONS[number + 1 : number + 51]), CUSTOMERS)
    assert ranked / 10 < first / 10


def test_a_fleet_without_daemons_looks_after_nobody() -> None:
    found = SweepAssignments()
    found.update(set(), CUSTOMERS)
    assert found.list_customers("session0") == []
