"""Tests of joining the runs of a stream and of the decisions after a failed run."""

import asyncio
from dataclasses import replace

import pytest

from goldcreststair.components.online.const import (
    MAX_ATTEMPTS,
    MAX_RECONNECTS,
    MAX_WAITING_RECONNECTS,
)
from goldcreststair.components.online.recovery import NextStep, RunProgress, decide_next
from goldcreststair.components.online.stream import StreamRecorder
from goldcreststair.helpers.retry_budget import RetryBudget
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.events import MAX_ANSWER_BYTES
from goldcreststair.upstreams.models import StreamChunk
from tests.helpers.online import RecordingSink
from tests.helpers.virtual_time import ManualClock


def make_chunk(first: int, last: int) -> StreamChunk:
    events = [
        b'id: %d\ndata: {"choices":[{"index":0,"text":"w%d "}]}\n\n' % (i, i)
        for i in range(first, last + 1)
    ]
    return StreamChunk(b"".join(events), len(events), last)


@pytest.mark.parametrize(
    ("chunks", "text", "gap"),
    [
        ([(0, 1), (2, 3)], "w0 w1 w2 w3 ", False),
        ([(0, 2), (1, 4)], "w0 w1 w2 w3 w4 ", False),
        ([(0, 2), (0, 2)], "w0 w1 w2 ", False),
        ([(0, 1), (3, 4), (2, 5)], "w0 w1 ", True),
    ],
)
def test_no_token_is_repeated_or_lost(chunks: list[tuple[int, int]], text: str, gap: bool) -> None:
    """A resumed stream begins a little before, or after, the token where the old one broke.

    Tokens already sent must not be repeated, and after a gap nothing may be sent.
    """
    sink = RecordingSink()
    recorder = StreamRecorder(sink, ManualClock())

    async def async_test() -> None:
        for first, last in chunks:
            await recorder.async_accept(make_chunk(first, last))

    asyncio.run(async_test())
    assert (recorder.read_text(), sink.read_text(), recorder.gap) == (text, text, gap)


def test_a_response_without_end_is_not_kept_through_further_runs() -> None:
    """Guards against engines that send text without end, run after run, until the memory is used up."""
    sink = RecordingSink()
    recorder = StreamRecorder(sink, ManualClock())
    comment = b":" + b"x" * (MAX_ANSWER_BYTES // 4)

    async def async_test() -> None:
        for run in range(12):
            recorder.begin_run()
            chunk = make_chunk(run, run)
            await recorder.async_accept(replace(chunk, data=comment + b"\n" + chunk.data))

    asyncio.run(async_test())
    assert recorder.gap
    assert MAX_ANSWER_BYTES < len(recorder.read_data()) < 2 * MAX_ANSWER_BYTES


@pytest.mark.parametrize(
    ("failure", "repeatable", "last_index", "budget", "step"),
    [
        (UpstreamFailure.CONNECT, False, -1, 0, NextStep.ELSEWHERE),
        (UpstreamFailure.REFUSED, False, -1, 0, NextStep.ELSEWHERE),
        (UpstreamFailure.LOST, False, -1, 9, NextStep.GIVE_UP),
        (UpstreamFailure.SILENT, False, -1, 9, NextStep.GIVE_UP),
        (UpstreamFailure.CROSSED, False, -1, 9, NextStep.GIVE_UP),
        (UpstreamFailure.LOST, True, -1, 9, NextStep.ELSEWHERE),
        (UpstreamFailure.LOST, True, -1, 0, NextStep.GIVE_UP),
        (UpstreamFailure.LOST, True, 5, 0, NextStep.ELSEWHERE),
        (UpstreamFailure.SILENT, True, 5, 0, NextStep.SAME),
        (UpstreamFailure.REJECTED, True, -1, 9, NextStep.GIVE_UP),
    ],
)
def test_decision_after_a_failure(
    failure: UpstreamFailure, repeatable: bool, last_index: int, budget: int, step: NextStep
) -> None:
    progress = RunProgress(repeatable, attempts=1, last_index=last_index)
    bucket = RetryBudget(capacity=float(budget))
    assert decide_next(progress, UpstreamError("x", failure), bucket, 1000) is step
    assert decide_next(progress, UpstreamError("x", failure), bucket, 0) is NextStep.GIVE_UP


@pytest.mark.parametrize(
    ("last_index", "reconnects", "step"),
    [
        (-1, 7, NextStep.SAME),
        (-1, 8, NextStep.ELSEWHERE),
        (5, 1, NextStep.SAME),
        (5, 2, NextStep.ELSEWHERE),
    ],
)
def test_queued_request_keeps_its_place(last_index: int, reconnects: int, step: NextStep) -> None:
    """A request in an engine's long queue gets no data for many seconds.

    If it moved as after a dead connection, it would lose its place in the queue again and again.
    Only after the first token does a short silence make it move.
    """
    progress = RunProgress(True, attempts=1, reconnects=reconnects, last_index=last_index)
    error = UpstreamError("x", UpstreamFailure.SILENT)
    assert decide_next(progress, error, RetryBudget(), 1000) is step


@pytest.mark.parametrize(
    ("attempts", "reconnects", "last_index", "budget"),
    [
        (MAX_ATTEMPTS, 0, -1, 9),
        (MAX_ATTEMPTS, 0, 5, 9),
        (MAX_ATTEMPTS, MAX_WAITING_RECONNECTS, -1, 9),
        (MAX_ATTEMPTS, MAX_RECONNECTS, 5, 9),
        (MAX_ATTEMPTS - 1, MAX_RECONNECTS, 5, 9),
        (1, MAX_WAITING_RECONNECTS, -1, 0),
    ],
)
def test_silent_run_that_may_not_move_keeps_waiting(
    attempts: int, reconnects: int, last_index: int, budget: int
) -> None:
    """Guards against cutting a silent run that used all its attempts or the VM's retry budget."""
    progress = RunProgress(True, attempts, reconnects, last_index)
    error = UpstreamError("x", UpstreamFailure.SILENT)
    step = decide_next(progress, error, RetryBudget(capacity=float(budget)), 1000)
    assert step is NextStep.SAME
