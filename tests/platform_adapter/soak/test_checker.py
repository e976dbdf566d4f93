"""The checker finds planted violations, and accepts only excuses that apply to the request."""

from dataclasses import replace

import pytest

from standins.crash_rules import PartArrival, PartCrash, SentRequest
from tests.platform_adapter.soak.checker import Promise, find_part_crashes, find_violations
from tests.platform_adapter.soak.engine import make_event, make_text
from tests.platform_adapter.soak.excuses import count_in_leaves
from tests.platform_adapter.soak.record import (
    Absence,
    Attempt,
    Evacuation,
    Exchange,
    Item,
    Lifetime,
    Record,
    Run,
    Signal,
)

WHOLE = make_text("r", 3)
GOOD = Exchange("r", "stream", "vm", 10.0, 11.0, 15.0, 200, True, WHOLE, WHOLE)
LOST = replace(GOOD, whole=False, body=b"")
UNREAD = replace(LOST, status=0, ended_at=10.15)
OTHER = Lifetime("i-2", "v1", 0.0)
BEGUN = replace(LOST, body=make_event("r", 1, "v1"))
FIRST, LAST = Attempt("r", "i-1", 10.1), Attempt("r", "i-2", 10.2)
REFUSED = Attempt("r", "i-3", 10.3)
BROKEN_FIRST, BROKEN_LAST = replace(FIRST, broken_at=10.3), replace(LAST, broken_at=10.3)
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
        Record([LOST], attempts=[BROKEN_FIRST, replace(LAST, broken_at=11.1)]),
        Record([LOST], attempts=[BROKEN_FIRST, REFUSED], refusals=[Run("r", "i-3", 10.4)]),
        Record([replace(LOST, ended_at=14.95)]),
        Record([LOST], kills=[Signal("other", 10.5)]),
        Record([LOST], kills=[Signal("vm", 11.5)]),
        Record([LOST], stops=[Signal("vm", 9.0)]),
        Record([LOST], stops=[Signal("vm", 9.0)], runs=[LATE_RUN], attempts=[FIRST]),
        Record([LOST], absences=[Absence("vm", 10.1)]),
        Record([UNREAD], absences=[Absence("vm", 10.1)], attempts=[FIRST]),
        Record([UNREAD], absences=[Absence("vm", 11.1)]),
        Record([replace(UNREAD, ended_at=10.3)], absences=[Absence("vm", 10.3)]),
        Record([replace(UNREAD, status=200)], absences=[Absence("vm", 10.1)]),
        Record([UNREAD], absences=[Absence("vm", 8.0, 9.9)]),
        Record([BEGUN], attempts=[BROKEN_FIRST], lifetimes=[OTHER]),
        Record(
            [BEGUN],
            attempts=[BROKEN_FIRST],
            lifetimes=[OTHER],
            store_faults=[Absence("vm", 2.0, 3.0)],
        ),
        Record(
            [BEGUN],
            attempts=[BROKEN_FIRST],
            lifetimes=[OTHER],
            pauses=[Absence("vm", 7.0, 8.9)],
        ),
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
        Record(
            [LOST],
            attempts=[FIRST, BROKEN_LAST, REFUSED],
            refusals=[Run("r", "i-3", 10.4)],
        ),
        Record([replace(LOST, route="once")], attempts=[BROKEN_FIRST]),
        Record([UNREAD], absences=[Absence("vm", 10.1)]),
        Record([replace(UNREAD, ended_at=10.8)], absences=[Absence("vm", 9.0)]),
        Record([replace(UNREAD, body_sent_at=10.3, ended_at=10.4)], absences=[Absence("vm", 10.4)]),
        Record(
            [replace(UNREAD, ended_at=10.4)],
            absences=[Absence("vm", 10.1)],
            caller_delays=[Absence("vm", 9.0, 10.1)],
        ),
        Record([BEGUN], attempts=[BROKEN_FIRST], lifetimes=[Lifetime("i-2", "v2", 0.0)]),
        Record(
            [BEGUN],
            attempts=[BROKEN_FIRST],
            lifetimes=[OTHER],
            store_faults=[Absence("vm", 8.0, 9.0)],
        ),
        Record(
            [BEGUN],
            attempts=[BROKEN_FIRST],
            lifetimes=[OTHER],
            pauses=[Absence("vm", 8.0, 9.8)],
        ),
    ],
)
def test_an_excused_request_is_no_violation(record: Record) -> None:
    """Guards against violations reported for faults that a daemon cannot recover from."""
    assert find_promises(record) == []


def make_late_record(
    *,
    stopped_at: float = 9.0,
    daemon: str = "vm",
    cut_at: float = 16.2,
    run: Run | None = LATE_RUN,
    last: Attempt = FIRST,
) -> Record:
    """Return a record with a request that is cut in a leave; its deadline is later."""
    seen = replace(LOST, ended_at=cut_at, deadline_at=20.0)
    runs = [run] if run is not None else []
    return Record([seen], [last], runs, stops=[Signal(daemon, stopped_at)])


@pytest.mark.parametrize(
    ("record", "promises"),
    [
        pytest.param(make_late_record(), [], id="sent after SIGTERM, at work to the end"),
        pytest.param(make_late_record(stopped_at=12.0), [Promise.ANSWERED], id="cut too early"),
        pytest.param(
            make_late_record(stopped_at=12.0, cut_at=18.7, run=replace(LATE_RUN, ended_at=18.7)),
            [],
            id="sent before SIGTERM",
        ),
        pytest.param(make_late_record(stopped_at=7.0), [], id="sent 3 s after SIGTERM"),
        pytest.param(make_late_record(stopped_at=6.9), [Promise.ANSWERED], id="sent later"),
        pytest.param(
            make_late_record(daemon="other"), [Promise.ANSWERED], id="another daemon left"
        ),
        pytest.param(make_late_record(cut_at=15.6), [Promise.ANSWERED], id="upstream noticed late"),
        pytest.param(make_late_record(cut_at=15.7), [], id="cut in the last sixth"),
        pytest.param(
            make_late_record(run=replace(LATE_RUN, ended_at=15.6)),
            [Promise.ANSWERED],
            id="upstream was done",
        ),
        pytest.param(make_late_record(run=None), [Promise.ANSWERED], id="no upstream began"),
        pytest.param(
            make_late_record(last=LAST), [Promise.ANSWERED], id="an earlier upstream was at work"
        ),
    ],
)
def test_a_cut_in_a_leave_is_excused_only_late(record: Record, promises: list[Promise]) -> None:
    """Guards against cuts that a leave excuses although their answers could have ended in it."""
    assert find_promises(record) == promises


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
        ("call", 408, 1, [Promise.NOT_RUN]),
        ("stream", 421, 1, [Promise.NOT_RUN]),
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


def make_resumed(number: int, body: bytes, software: str = "v1") -> Exchange:
    """Return an attempt that takes up a stream after its first event."""
    return replace(
        GOOD,
        request=f"again-{number}",
        whole=False,
        cut=not body,
        body=body,
        expected=make_text("r", 3, 1),
        begun_as="r",
        software=software,
    )


@pytest.mark.parametrize(
    ("software", "found"), [("v1", []), ("v2", [Promise.ONE_SOFTWARE])], ids=["same", "other"]
)
def test_events_of_two_software_versions_are_found(software: str, found: list[Promise]) -> None:
    """Guards against streams that are joined over two attempts, or in one item."""
    first = replace(LOST, cut=True, body=make_event("r", 1, "v1"))
    again = replace(make_resumed(1, make_event("r", 2, software)), cut=True)
    assert find_promises(Record([first, again])) == found
    text = "r 1 by v1\nr 2 by " + software
    item = Item("j", "item", "r 1\nr 2")
    record = Record(accepted=[item], listed=[replace(item, text=text)])
    assert find_promises(record) == found


@pytest.mark.parametrize(
    ("going_on", "upstreams", "found"),
    [(5, 2, [Promise.RESUMED]), (6, 2, []), (0, 1, [])],
)
def test_refusing_most_resumptions_is_found(
    going_on: int, upstreams: int, found: list[Promise]
) -> None:
    """Guards against daemons that keep to one version by refusing streams that could go on."""
    lifetimes = [Lifetime(f"i-{number}", "v1", 0.0) for number in range(upstreams)]
    resumed = [
        replace(make_resumed(number, make_event("r", 2, "v1")), cut=False, ended_at=15.0)
        for number in range(going_on)
    ]
    refused = [
        replace(make_resumed(number, b""), status=503, whole=True, cut=False)
        for number in range(going_on, 12)
    ]
    assert find_promises(Record([GOOD, *resumed, *refused], lifetimes=lifetimes)) == found


def make_crash_record(later: int, begun_share: float = 1.0, late_s: float = 4.0) -> Record:
    """Return a record with five crashes, requests that reach upstreams later, and sound requests."""
    record = Record()
    part, first = "c0", "s0"
    record.crash.crashes = [PartCrash(part, f"i-{n}", 100.0 + n / 10) for n in range(5)]
    record.crash.sent = [SentRequest(part, 100.0 + n, "stream", "club", first) for n in range(20)]
    record.crash.arrivals = [
        PartArrival(part, f"bad{n}", "", 100.4 + late_s + n / 10) for n in range(later)
    ]
    record.crash_senders = {f"bad{n}": "d" for n in range(later)}
    for n in range(60):
        sent_at = 90.0 + n / 3 if n < 30 else 107.0 + (n - 30) / 3
        is_begun = n < 30 or n % 10 < begun_share * 10
        record.exchanges.append(
            Exchange(
                f"sound{n}",
                "stream",
                "d",
                sent_at,
                sent_at + 0.1,
                sent_at + 5.0,
                200 if is_begun else 503,
                True,
                b"id: 1\ndata: x\n\n" if is_begun else b"",
                b"id: 1\ndata: x\n\n",
                first_part=first,
            )
        )
    return record


@pytest.mark.parametrize(
    ("record", "promises"),
    [
        pytest.param(make_crash_record(3), [], id="three requests after the fifth crash"),
        pytest.param(make_crash_record(4), [Promise.BUDGET], id="four"),
        pytest.param(make_crash_record(9, late_s=1.0), [], id="before all daemons know"),
        pytest.param(make_crash_record(0, 0.6), [], id="six of ten sound requests begin"),
        pytest.param(make_crash_record(0, 0.4), [Promise.LOST], id="four of ten"),
    ],
)
def test_crashes_under_a_prompt_part(record: Record, promises: list[Promise]) -> None:
    """Guards against a soak that passes while a part crashes upstreams, or costs others their answers."""
    assert sorted({each.promise for each in find_part_crashes(record)}) == promises


@pytest.mark.parametrize("kind", ["kills", "store_faults", "pauses"])
def test_requests_from_disturbed_daemons_spend_no_budget(kind: str) -> None:
    record = make_crash_record(4)
    span = Signal("d", 102.0) if kind == "kills" else Absence("d", 101.0, 102.0)
    getattr(record, kind).append(span)
    assert not list(find_part_crashes(record))


@pytest.mark.parametrize(("ran_at", "promises"), [(10.0, []), (30.0, [Promise.KEPT])])
def test_items_of_a_removed_customer_run_before_it_returns(
    ran_at: float, promises: list[Promise]
) -> None:
    """Guards against jobs that wait until their removed customer returns."""
    record = Record(runs=[Run("r", "i-1", ran_at)], removed_items=["r"], customer_returned_at=20.0)
    assert find_promises(record) == promises


def test_a_refusal_belongs_to_the_last_attempt_at_its_upstream() -> None:
    """Guards against blaming a daemon for a stream that went back to its first upstream and was refused."""
    back = Attempt("r", "i-1", 10.9)
    record = Record([LOST], attempts=[FIRST, BROKEN_LAST, back], refusals=[Run("r", "i-1", 10.95)])
    assert find_promises(record) == []
    record.refusals = [Run("r", "i-1", 10.15)]
    assert find_promises(record) == [Promise.ANSWERED]


@pytest.mark.parametrize(("since", "promises"), [(9.9, []), (8.0, [Promise.ANSWERED])])
def test_a_stream_of_an_upstream_that_had_just_started_may_be_cut(
    since: float, promises: list[Promise]
) -> None:
    lives = [Lifetime("i-1", "v1", since), OTHER]
    record = Record([BEGUN], attempts=[BROKEN_FIRST], lifetimes=lives, began_at=5.0)
    assert find_promises(record) == promises


def test_requests_are_counted_by_the_last_sigterm_before_them() -> None:
    """Guards against a report in which one request counts for two leaves, or a cut for an excused one."""
    record = Record(
        [GOOD, replace(GOOD, request="refused", status=503), replace(LOST, request="cut")],
        stops=[Signal("vm", 5.0), Signal("vm", 8.5), Signal("vm", 10.1), Signal("other", 9.9)],
    )
    record.exchanges.append(replace(LOST, request="late", ended_at=15.0, sent_at=8.4))
    record.exchanges.append(replace(GOOD, request="before", sent_at=4.9))
    assert count_in_leaves(record) == {
        "1 s: 200": 1,
        "1 s: 503": 1,
        "1 s: cut": 1,
        "3 s: its deadline passed": 1,
    }
