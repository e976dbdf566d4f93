"""Decisions of single chunks, the order between jobs and the allowance."""

from typing import Any, cast

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.batch.allowance import AllowanceController, AllowanceParameters
from goldcreststair.components.batch.burst import BurstLimiter, BurstParameters
from goldcreststair.components.batch.chunks import Chunk
from goldcreststair.components.batch.fair_scheduler import ChunkFacts, FairScheduler
from goldcreststair.components.batch.models import ChunkRecord, Item, ItemState
from goldcreststair.components.batch.online_load import OnlineLoad, OnlineLoadReporter
from goldcreststair.components.batch.onset import OnsetDetector
from goldcreststair.online_pressure import UpstreamPressure
from goldcreststair.upstreams.models import LoadReport
from goldcreststair.wire.generated.batch.ttypes import ItemResult, Verdict
from tests.helpers.virtual_time import ManualClock

DONE, REJECTED, FAILED = Verdict.DONE, Verdict.REJECTED, Verdict.FAILED
CRASHED, BYSTANDER, NOT_RUN = Verdict.CRASHED, Verdict.BYSTANDER, Verdict.NOT_RUN


def make_chunk(count: int = 1) -> Chunk:
    states = ItemState.UNDONE * count
    record = ChunkRecord("j", "f", 0, "acme", "o", ("small",), 0, 0, states)
    items = [Item(f"i{n}", "/v1/completions", "small", "{}") for n in range(count)]
    return Chunk("chunk/j/f/0", cast(Any, None), record, active=True, items=items)


@pytest.mark.parametrize(
    ("verdicts", "state"),
    [
        ((DONE,), ItemState.DONE),
        ((DONE, REJECTED), ItemState.DONE),
        ((REJECTED, DONE), ItemState.FAILED),
        ((FAILED, FAILED), None),
        ((FAILED, FAILED, FAILED), ItemState.FAILED),
        ((FAILED, FAILED, DONE), ItemState.DONE),
        ((CRASHED, CRASHED), None),
        ((CRASHED, CRASHED, CRASHED), ItemState.QUARANTINED),
        ((CRASHED, BYSTANDER, CRASHED, BYSTANDER), None),
        ((NOT_RUN,) * 10, None),
    ],
)
def test_item_ends_in_one_state(verdicts: tuple[int, ...], state: ItemState | None) -> None:
    chunk = make_chunk()
    for verdict in verdicts:
        chunk.lease([0], "vm1", Millis(0))
        chunk.accept("vm1", ItemResult(0, verdict, 200, b""), Millis(0))
    ended = chunk.finished[0].state if chunk.finished else None
    assert ended is state


def test_late_completion_after_cancel_changes_nothing() -> None:
    chunk = make_chunk(2)
    chunk.lease([0, 1], "vm1", Millis(0))
    chunk.accept("vm1", ItemResult(0, DONE, 200, b""), Millis(0))
    assert chunk.cancel() == ["vm1"]
    chunk.accept("vm1", ItemResult(1, DONE, 200, b""), Millis(0))
    assert chunk.make_record([0, 1], "").states == "dc"


def test_failure_reported_by_an_expired_holder_does_not_count() -> None:
    chunk = make_chunk()
    for _ in range(5):
        chunk.lease([0], "vm1", Millis(0))
        chunk.expire_leases(Millis(20_000))
        chunk.accept("vm1", ItemResult(0, FAILED, 0, b""), Millis(20_000))
    assert not chunk.finished and not chunk.tries


def test_order_is_fair_between_customers_and_by_laxity_within_one() -> None:
    order = FairScheduler()
    chunks = [
        ChunkFacts("late", "acme", 1000, 100),
        ChunkFacts("soon", "acme", 500, 100),
        ChunkFacts("other", "small", 9000, 100),
    ]
    order.charge("acme", 10, 2.0)
    order.charge("small", 4, 1.0)
    assert [fact.key for fact in order.rank(chunks, 0)] == ["other", "soon", "late"]
    order.charge("small", 4, 1.0)
    assert [fact.key for fact in order.rank(chunks, 0)] == ["soon", "late", "other"]


def test_absent_customer_gains_no_share() -> None:
    order = FairScheduler()
    acme, back = ChunkFacts("a", "acme", 0, 1), ChunkFacts("b", "back", 0, 1)
    order.rank([acme], 0)
    order.charge("acme", 1000, 1.0)
    order.rank([acme, back], 0)
    order.charge("back", 1, 1.0)
    assert order.rank([acme, back], 0)[0].key == "a"


def test_allowance_cuts_at_once_and_rises_after_quiet() -> None:
    clock = ManualClock()
    parameters = AllowanceParameters(quiet_ms=300, cut_share=0.5, cut_every_ms=100)
    allowance = AllowanceController(clock, parameters)
    for _ in range(10):
        allowance.tick(allowance.limit)
        clock.advance(100)
    before = allowance.limit
    for _ in range(5):
        allowance.cut(before)
    assert allowance.limit == before // 2
    allowance.tick(allowance.limit)
    assert allowance.limit == before // 2
    clock.advance(300)
    allowance.tick(allowance.limit)
    assert allowance.limit > before // 2


def test_allowance_leaves_room_once_a_queue_was_seen_twice() -> None:
    clock = ManualClock()
    allowance = AllowanceController(clock, AllowanceParameters(slot_headroom=0.25))
    for sequence in range(1, 20):
        report = LoadReport(sequence, 40, 0, 0, 1000, False, ())
        allowance.observe_load(report, allowance.limit)
        allowance.tick(allowance.limit)
    for sequence in (20, 21):
        allowance.observe_load(LoadReport(sequence, 40, 5, 0, 1000, False, ()), 40)
    assert allowance.limit <= 30


@pytest.mark.parametrize(
    ("counts", "onsets"),
    [
        ([0, 2, 3, 4], 0),
        ([0, 3, 5, 6], 1),
        ([2] * 5, 0),
        ([1, 4, 8, 12, 16], 1),
        ([20, 28, 34], 0),
        ([20, 28, 35], 1),
    ],
)
def test_onset_is_detected_once_when_work_in_flight_grows(counts: list[int], onsets: int) -> None:
    clock = ManualClock()
    detector = OnsetDetector(clock)
    detector.observe(counts[0])
    clock.advance(2000)
    answers = []
    for count in counts:
        answers.append(detector.observe(count))
        clock.advance(20)
    assert sum(answers) == onsets


def test_burst_limits_batch_until_its_requests_have_ended() -> None:
    """Online work grows for a second, then ends; batch was cut at the onset.

    Rising during the burst, batch filled the slots that the next requests needed, was cut again
    and prefilled all it had; rising slowly after it, it left slots idle. It keeps its share until
    the requests have gone and is back in one step.
    """
    clock = ManualClock()
    limiter = BurstLimiter(clock, BurstParameters(share=0.25, over_share=0.5, patience_ms=4000))
    limiter.begin(64, 12)
    for online in (20, 30, 40, 45):
        clock.advance(500)
        limiter.observe(online)
        assert limiter.bound == 16
    limiter.observe(23)
    assert limiter.is_on
    limiter.observe(22)
    assert not limiter.is_on


def test_batch_rises_again_in_a_burst_that_stays() -> None:
    """Online work doubles for good; a limit without an end would starve batch for hours."""
    clock = ManualClock()
    limiter = BurstLimiter(clock, BurstParameters(share=0.25, patience_ms=4000, rise_ms=500))
    limiter.begin(64, 12)
    clock.advance(4000)
    assert limiter.bound == 16
    clock.advance(2000)
    assert limiter.bound == 20


def test_old_report_of_a_burst_does_not_limit_batch() -> None:
    """A burst ends and a report from its height comes a second later.

    Compared with the present load, it limited batch to a few streams after each burst for 1 s.
    """
    clock = ManualClock()
    allowance = AllowanceController(clock, AllowanceParameters())
    for sequence in range(1, 40):
        allowance.observe_load(LoadReport(sequence, 64, 0, 0, 9999, False, ()), 60)
        allowance.observe_online(4)
        allowance.tick(allowance.limit)
        clock.advance(100)
    before = allowance.limit
    allowance.observe_online(40)
    for _ in range(11):
        allowance.tick(24)
        clock.advance(100)
    allowance.observe_online(4)
    allowance.observe_load(LoadReport(99, 64, 0, 0, 9999, False, ()), 24)
    assert allowance.limit >= before - 4


def test_lost_vm_does_not_limit_batch_forever() -> None:
    """A VM is lost with requests in flight and never reports their end."""
    clock = ManualClock()
    load = OnlineLoad(clock)
    assert (load.apply_report("dead", 30), load.apply_report("vm1", 2)) == (30, 32)
    clock.advance(11_000)
    assert load.apply_report("vm1", 2) == 2


def test_requests_in_flight_are_reported_when_they_change() -> None:
    """Reports at each request would exceed the control budget of a fleet at full size."""
    clock = ManualClock()
    reporter = OnlineLoadReporter(clock)
    is_reported = [reporter.observe(UpstreamPressure(count, 0)) for count in (0, 1, 2, 3, 4, 3, 2)]
    assert is_reported == [False, False, True, False, True, False, True]
    clock.advance(5000)
    assert reporter.observe(UpstreamPressure(2, 0))
    assert reporter.observe(UpstreamPressure(2, 30)), "online work waits there"
