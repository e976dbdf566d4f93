"""The upper bound of the overload measurement: slot time against work due in time."""

import random

import pytest

from standins.measure.overload_bound import (
    REQUEST_MS,
    Claim,
    Step,
    find_bound,
    find_most,
    list_steps,
    serve,
)
from standins.measure.overload_loads import Fault, FaultKind, Job, Record, Request

LONG = 10_000


@pytest.mark.parametrize(
    ("claims", "steps", "slot_ms"),
    [
        ([Claim(0, 100, 80, 1)], [Step(0, 1)], 80),
        ([Claim(0, 100, 250, 1)], [Step(0, 2)], 200),
        ([Claim(0, 100, 60, 1), Claim(0, 100, 60, 1)], [Step(0, 1)], 100),
        ([Claim(0, 50, 40, 1), Claim(0, 100, 60, 1)], [Step(0, 1)], 100),
        ([Claim(0, LONG, 60, 1), Claim(20, 60, 40, 1)], [Step(0, 1)], 100),
        ([Claim(50, 100, 80, 1)], [Step(0, 1)], 50),
        ([Claim(0, 100, 200, 1)], [Step(0, 2), Step(50, 0)], 100),
        ([Claim(0, 100, 200, 1)], [Step(0, 0), Step(60, 1)], 40),
        ([], [Step(0, 1)], 0),
    ],
)
def test_slot_time_is_given_within_its_time(
    claims: list[Claim], steps: list[Step], slot_ms: float
) -> None:
    assert serve(claims, steps) == pytest.approx(slot_ms)


def test_no_order_of_service_gives_more_slot_time() -> None:
    """An order that wastes slots would give a bound that a policy could exceed."""
    chance = random.Random(5)
    for _ in range(200):
        begins = sorted(chance.randrange(8) for _ in range(7))
        claims = [Claim(begin, begin + chance.randrange(1, 5), 1, 1) for begin in begins]
        assert serve(claims, [Step(0, 1)]) == pytest.approx(_match(claims))


def _match(claims: list[Claim]) -> int:
    """Return how many claims of 1 ms each get their own ms, by augmenting paths."""
    taken: dict[int, Claim] = {}

    def place(claim: Claim, seen: set[int]) -> bool:
        for moment in range(int(claim.from_ms), int(claim.until_ms)):
            if moment in seen:
                continue
            seen.add(moment)
            if moment not in taken or place(taken[moment], seen):
                taken[moment] = claim
                return True
        return False

    return sum(place(claim, set()) for claim in claims)


@pytest.mark.parametrize(
    ("claims", "worth"),
    [
        ([Claim(0, 100, 100, 5), Claim(0, 100, 100, 9)], 9),
        ([Claim(0, 100, 100, 5), Claim(0, 100, 50, 4)], 6.5),
        ([Claim(0, 200, 100, 5), Claim(0, 100, 100, 9)], 14),
        ([Claim(0, 100, 100, 5), Claim(50, 100, 50, 9)], 11.5),
    ],
)
def test_slot_time_goes_to_what_is_worth_most_by_the_ms(claims: list[Claim], worth: float) -> None:
    assert find_most(claims, [Step(0, 1)]) == pytest.approx(worth)


def _make_record(requests: int, items: int, *faults: Fault) -> Record:
    events = (200,) * items
    return Record(
        tuple(Request(f"r{n}", 0, (0.0,)) for n in range(requests)),
        (Job("job1", 0, (0.0,), events),) if items else (),
        faults,
    )


LOST = Fault(0, FaultKind.ENGINE_LOST)


@pytest.mark.parametrize(
    ("record", "engines", "bound"),
    [
        (_make_record(8, 0), 1, 1.0),
        (_make_record(8, 30), 1, 1.0),
        (_make_record(1, 0, LOST), 1, 0.15),
        (_make_record(0, 10, LOST), 1, 0.1),
        (_make_record(8, 0, LOST), 2, 1.0),
        (_make_record(100, 0), 1, 0.15 + 0.85 * 8 * 5_000 / (100 * REQUEST_MS)),
        (_make_record(0, 80), 1, 0.1 + 0.9 * 8 * 18_000 / (80 * 4_060)),
    ],
)
def test_the_bound_is_what_slots_allow(record: Record, engines: int, bound: float) -> None:
    assert find_bound(record, engines) == pytest.approx(bound)


def test_a_slow_engine_counts_by_its_pace() -> None:
    slow, quick = Fault(10, FaultKind.ENGINE_SLOW), Fault(20, FaultKind.ENGINE_QUICK)
    steps = list_steps(_make_record(0, 0, slow, quick), 2)
    assert [round(step.slots, 3) for step in steps] == [16, 11.077, 16]
