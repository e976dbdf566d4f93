"""How many requests a daemon admits before it knows the runs of the others."""

import random

import pytest

from goldcreststair.components.entry.opening import AdmissionOpening, Arrival, ReturnOutcome
from tests.helpers.virtual_time import ManualClock

TIMEOUT_MS = 5_000


@pytest.mark.parametrize(
    ("slots", "running", "left_ms", "outcome"),
    [
        (288, 8, TIMEOUT_MS, ReturnOutcome.REFUSED),
        (288, 7, TIMEOUT_MS, ReturnOutcome.ADMITTED),
        (288, 8, 4_000, ReturnOutcome.RETRIED),
        (20, 1, TIMEOUT_MS, ReturnOutcome.ADMITTED),
        (20, 2, TIMEOUT_MS, ReturnOutcome.REFUSED),
    ],
)
def test_daemon_admits_its_share_of_the_slots(
    slots: int, running: int, left_ms: int, outcome: ReturnOutcome
) -> None:
    """Beyond its share a request queues, and a refusal of a caller's last attempt loses it."""
    opening = AdmissionOpening(ManualClock(), random.Random(1))
    opening.apply_fleet(1, 34, loaded=True)
    decision = opening.decide(Arrival(slots, running, 700.0, TIMEOUT_MS, left_ms))
    assert decision.outcome is outcome
    assert bool(decision.retry_after_ms) is (outcome is ReturnOutcome.REFUSED)


def test_retries_are_spread_over_the_time_that_callers_accept() -> None:
    """Retries at one moment would be a second burst."""
    opening = AdmissionOpening(ManualClock(), random.Random(1))
    opening.apply_fleet(1, 34, loaded=True)
    arrival = Arrival(288, 8, 400.0, TIMEOUT_MS, TIMEOUT_MS)
    times = [opening.decide(arrival).retry_after_ms for _ in range(40)]
    assert min(times) >= 300 and max(times) <= TIMEOUT_MS * 0.3
    assert max(sum(t // 300 == part for t in times) for part in range(5)) < 20


@pytest.mark.parametrize(
    ("responsive", "loaded", "age_ms", "is_open"),
    [
        (17, True, 100, True),
        (16, True, 100, False),
        (34, False, 100, False),
        (1, False, 1_000, True),
    ],
)
def test_admission_opens_once_half_of_the_fleet_is_heard(
    responsive: int, loaded: bool, age_ms: int, is_open: bool
) -> None:
    """Without an end, a daemon whose peers stay down would refuse callers for good."""
    clock = ManualClock()
    opening = AdmissionOpening(clock, random.Random(1))
    clock.advance(age_ms)
    assert opening.apply_fleet(responsive, 34, loaded=loaded) is is_open
    assert opening.share == (1.0 if is_open else 1 / 34)
    assert not opening.apply_fleet(1, 34, loaded=True)
    assert opening.is_open() is is_open
