"""A short run of real processes under a seeded schedule of faults."""

from standins.chaos.__main__ import run
from standins.chaos.observations import Kind


def test_invariants_hold_under_a_schedule_of_faults() -> None:
    """Daemons are killed, paused and stopped, engines crash and go silent, the store fails.

    Callers send online requests, bookings, poison and batch jobs meanwhile. Whatever the outcome of
    each request, no invariant of the checker may be violated; speed is not checked.
    """
    observed, violations = run(seed=1, seconds=30)
    assert violations == []
    assert {attempt.kind for attempt in observed.attempts} == set(Kind)
