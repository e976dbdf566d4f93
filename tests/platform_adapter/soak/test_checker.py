"""The checker finds planted violations, and accepts only excuses that apply to the request."""

from dataclasses import replace

import pytest

from tests.platform_adapter.soak.checker import Promise, find_violations
from tests.platform_adapter.soak.engine import make_text
from tests.platform_adapter.soak.record import (
    Absence,
    Attempt,
    Evacuation,
    Exchange,
    Item,
    Record,
    Run,
    Signal,
)

WHOLE = make_text("r", 3)
GOOD = Exchange("r", "stream", "vm", 10.0, 11.0, 15.0, 200, True, WHOLE, WHOLE)
LOST = replace(GOOD, whole=False, body=b"")
UNREAD = replace(LOST, status=0)
FIRST, LAST = Attempt("r", "i-1", 10.1), Attempt("r", "i-2", 10.2)
BROKEN_FIRST, BROKEN_LAST = replace(FIRST, broken=True), replace(LAST, broken=True)
ITEM = Item("j", "r", "text")
LATE_RUN = Run("r", "i-1", 10.1, 16.8)


def find_promises(record: Record) -> list[Promise]:
    """Return which promises a record breaks."""
    return [violation.promise for violation in find_violations(record)]


@pytest.mark.parametrize(
    "record",
    [
        Record([LOST]),
        Record([UNREAD]),
        Record([LOST], attempts=[BROKEN_FIRST]),
        Record([LOST], attempts=[BROKEN_FIRST, LAST]),
        Record([LOST], kills=[Signal("other", 10.5)]),
        Record([LOST], kills=[Signal("vm", 11.5)]),
        Record([LOST], stops=[Signal("vm", 9.0)]),
        Record([LOST], stops=[Signal("vm", 9.0)], runs=[replace(LATE_RUN, ended_at=11.0)]),
        Record([LOST], stops=[Signal("vm", 6.5)], runs=[LATE_RUN]),
        Record([LOST], absences=[Absence("vm", 10.1)]),
        Record([UNREAD], absences=[Absence("vm", 10.1)], attempts=[FIRST]),
        Record([UNREAD], absences=[Absence("vm", 11.1)]),
        Record([UNREAD], absences=[Absence("vm", 8.0, 9.9)]),
    ],
)
def test_a_lost_answer_is_found(record: Record) -> None:
    """Guards against a cut stream that is excused by a fault of another request."""
    assert find_promises(record) == [Promise.ANSWERED]


@pytest.mark.parametrize(
    "record",
    [
        Record([GOOD]),
        Record([replace(GOOD, status=502, body=b"{}")]),
        Record([replace(LOST, cut=True)]),
        Record([replace(LOST, ended_at=15.0)]),
        Record([LOST], kills=[Signal("vm", 10.5)]),
        Record([LOST], attempts=[FIRST, BROKEN_LAST]),
        Record([replace(LOST, route="once")], attempts=[BROKEN_FIRST]),
        Record([LOST], stops=[Signal("vm", 9.0)], runs=[LATE_RUN]),
        Record([UNREAD], absences=[Absence("vm", 10.1)]),
    ],
)
def test_an_excused_request_is_no_violation(record: Record) -> None:
    """Guards against violations reported for faults that a daemon cannot recover from."""
    assert find_promises(record) == []


@pytest.mark.parametrize(
    "body",
    [
        make_text("r", 2),
        WHOLE + make_text("r", 1),
        make_text("r", 1) + make_text("r", 3),
        make_text("other", 3),
        b"",
    ],
)
def test_a_wrong_stream_that_looks_complete_is_found(body: bytes) -> None:
    """Guards against missing, duplicate or misordered events, and events of another request."""
    assert find_promises(Record([replace(GOOD, body=body)])) == [Promise.WHOLE]


@pytest.mark.parametrize(
    ("body", "promises"), [(WHOLE[:30], []), (make_text("r", 1) * 2, [Promise.WHOLE])]
)
def test_the_events_of_a_cut_stream_are_checked(body: bytes, promises: list[Promise]) -> None:
    """Guards against a duplicate event that is not found as the stream was cut afterwards."""
    assert find_promises(Record([replace(LOST, body=body, cut=True)])) == promises


@pytest.mark.parametrize(
    ("route", "status", "runs", "promises"),
    [
        ("once", 200, 1, []),
        ("once", 502, 1, []),
        ("once", 502, 2, [Promise.ONCE]),
        ("stream", 502, 2, []),
        ("stream", 503, 0, []),
        ("stream", 503, 1, [Promise.NOT_RUN]),
        ("call", 429, 1, [Promise.NOT_RUN]),
    ],
)
def test_a_request_that_ran_too_often_is_found(
    route: str, status: int, runs: int, promises: list[Promise]
) -> None:
    """Guards against a booking that ran twice, or that ran and was refused as not run."""
    seen = replace(GOOD, route=route, status=status)
    record = Record([seen], runs=[Run("r", "i-1", 10.0 + number) for number in range(runs)])
    assert find_promises(record) == promises


@pytest.mark.parametrize(
    ("listed", "breaks", "promises"),
    [
        ([ITEM], 0, []),
        ([], 0, [Promise.LISTED]),
        ([ITEM, ITEM], 0, [Promise.LISTED]),
        ([replace(ITEM, text="tex")], 0, [Promise.LISTED]),
        ([replace(ITEM, job="other")], 0, [Promise.LISTED]),
        ([replace(ITEM, done=False)], 2, [Promise.LISTED]),
        ([replace(ITEM, done=False)], 3, []),
    ],
)
def test_an_accepted_item_that_is_not_listed_once_is_found(
    listed: list[Item], breaks: int, promises: list[Promise]
) -> None:
    """Guards against an accepted item that is lost, duplicated, truncated or given up."""
    record = Record(attempts=[BROKEN_FIRST] * breaks, accepted=[ITEM], listed=listed)
    assert find_promises(record) == promises


@pytest.mark.parametrize(
    ("at", "promises"),
    [(9.0, []), (14.9, []), (15.1, [Promise.EVACUATED]), (19.9, [Promise.EVACUATED]), (20.1, [])],
)
def test_a_run_in_an_evacuated_data_centre_is_found(at: float, promises: list[Promise]) -> None:
    """Guards against a request at an upstream that operators are about to remove."""
    record = Record(runs=[Run("r", "i-1", at)], evacuations=[Evacuation("i-1", 10.0, 20.0)])
    assert find_promises(record) == promises
