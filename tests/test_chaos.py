"""A short run of real processes under a seeded schedule of faults."""

from standins.chaos.__main__ import run
from standins.chaos.observations import Kind


def test_invariants_hold_under_a_schedule_of_faults() -> None:
    """Daemons are killed, paused and stopped, engines die and go silent, the store fails.

    Callers send online requests, bookings, poison and batch jobs meanwhile. Whatever becomes of
    each request, no invariant of the checker may be broken; nothing is asked of speed.
    """
    seen, violations = run(seed=1, seconds=30)
    assert violations == []
    assert {attempt.kind for attempt in seen.attempts} == set(Kind)
