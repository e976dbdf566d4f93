"""The checker finds planted violations and passes a record without any."""

from collections.abc import Callable

import pytest

from standins.checking.checker import Invariant, Limit, find_violations
from standins.checking.record import Answer, ItemState, Record, RefusalRecord, Run

LIMITS = {"acme": Limit(10.0, 2)}


def make_clean() -> Record:
    return Record(
        answers=[Answer("r1", "acme", "amber0 ", "amber0 ")],
        refusals=[RefusalRecord("r2", not_run=True), RefusalRecord("r3", not_run=False)],
        runs=[Run(0, "e1", "r1", True), Run(0, "g", "r3", False), Run(2000, "e2", "r1", True)],
        accepted_items=[("j", "1"), ("j", "2")],
        items=[ItemState("j", "1", "done", "x", "x"), ItemState("j", "2", "failed")],
        admitted_ms={"acme": [0, 0, 100, 200]},
        versions={"vm1": [0, 1, 1, 3]},
        received=[b"POST /v1/completions"],
        keys=["key-acme"],
        leaving_ms={"e2": 0},
    )


def test_clean_record_passes() -> None:
    assert find_violations(make_clean(), LIMITS) == []


Plant = Callable[[Record], object]


@pytest.mark.parametrize(
    ("plant", "invariant"),
    [
        (lambda r: r.items.pop(), Invariant.ONE_TERMINAL_STATE),
        (lambda r: r.items.append(r.items[0]), Invariant.ONE_TERMINAL_STATE),
        (lambda r: r.items.append(ItemState("j", "9", "done")), Invariant.ONE_TERMINAL_STATE),
        (
            lambda r: r.items.__setitem__(0, ItemState("j", "1", "done", "y", "x")),
            Invariant.RESULT_EQUAL,
        ),
        (lambda r: r.runs.append(Run(5, "g", "r3", False)), Invariant.AT_MOST_ONCE),
        (lambda r: r.refusals.append(RefusalRecord("r1", not_run=True)), Invariant.NOT_RUN_TRUE),
        (lambda r: r.answers.append(Answer("r4", "acme", "am", "amber0 ")), Invariant.WHOLE_ANSWER),
        (lambda r: r.admitted_ms["acme"].append(210), Invariant.ADMITTED_WITHIN_LIMIT),
        (lambda r: r.received.append(b"Authorization: key-acme"), Invariant.KEY_HIDDEN),
        (lambda r: r.versions["vm1"].append(2), Invariant.VERSION_MONOTONIC),
        (lambda r: r.runs.append(Run(3001, "e2", "r5", True)), Invariant.LEAVING_GETS_NO_WORK),
    ],
)
def test_planted_violation_is_found(plant: Plant, invariant: Invariant) -> None:
    record = make_clean()
    plant(record)
    found = {violation.invariant for violation in find_violations(record, LIMITS)}
    assert found == {invariant}
