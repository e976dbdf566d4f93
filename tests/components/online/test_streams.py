"""Tests that streams under faults are complete, with each token once."""

import asyncio
from collections.abc import Callable

import pytest
from result import Err, Ok, Result

from goldcreststair.clock import LoopClock
from goldcreststair.helpers.refusals import RefusalCode
from goldcreststair.upstreams.errors import UpstreamError
from goldcreststair.upstreams.models import GenerateCall, GenerateEnd, StreamChunk, Upstream
from goldcreststair.upstreams.protocols import StreamSink
from standins.engine.client import FakeUpstreams
from standins.engine.model import EngineModel, make_text
from tests.helpers.claims import FakeClaims
from tests.helpers.online import OnlineVm, RecordingSink
from tests.helpers.virtual_time import run_virtual

TOKENS = 200
TEXT = make_text("a blurb", TOKENS)


def find_busy(vm: OnlineVm) -> EngineModel:
    return max(vm.upstreams.engines.values(), key=lambda engine: engine.tokens_produced)


def go_silent(engine: EngineModel) -> None:
    engine.faults.silent = True


def drop_end(engine: EngineModel) -> None:
    engine.faults.drop_end = True


def go_down(engine: EngineModel) -> None:
    engine.crash()
    engine.faults.refuse = True


@pytest.mark.parametrize("fault", [go_silent, EngineModel.crash, drop_end, go_down])
def test_stream_continues_after_the_last_token(fault: Callable[[EngineModel], None]) -> None:
    """An upstream fails in the middle of a stream.

    The connection goes silent but stays open, or breaks with all its work, or ends without its
    end marker, or the upstream is gone for good. The text must continue after the last token
    sent, without repeated or missing words.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup()
        sink = RecordingSink()
        running = asyncio.create_task(vm.async_generate("r1", sink, max_tokens=TOKENS))
        await asyncio.sleep(1)
        assert 0 < sink.chunks < TOKENS
        fault(find_busy(vm))
        outcome = await running
        assert isinstance(outcome, Ok)
        assert sink.read_text() == TEXT
        assert sink.data.count(b"id: ") == TOKENS
        resumed = vm.upstreams.calls[-1][1]
        assert isinstance(resumed, GenerateCall)
        assert resumed.resume_after >= 0
        await vm.async_close()

    run_virtual(async_test())


def test_response_of_another_request_is_discarded() -> None:
    """An upstream sends the response of another request, under that request's id.

    None of it may reach the caller; a new connection delivers the right response.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=1)
        find_busy(vm).faults.cross_answers = True
        sink = RecordingSink()
        outcome = await vm.async_generate("r1", sink, max_tokens=TOKENS)
        assert isinstance(outcome, Ok)
        assert sink.read_text() == TEXT
        await vm.async_close()

    run_virtual(async_test())


def test_response_without_end_marker_is_refused() -> None:
    """Every connection of an upstream closes before the end marker.

    The partial response must not be returned as complete; the request must fail.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=1)
        find_busy(vm).faults.drop_end = True
        outcome = await vm.async_generate("r1", stream=False)
        assert isinstance(outcome, Err)
        assert outcome.err_value.code is RefusalCode.UPSTREAM_FAILED
        assert not outcome.err_value.not_run
        await vm.async_close()

    run_virtual(async_test())


def test_withdrawn_key_ends_a_running_stream() -> None:
    """A key is withdrawn while a stream of its caller runs.

    The stream must end at once with the reason, and its upstream must stop the run.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup()
        sink = RecordingSink()
        running = asyncio.create_task(vm.async_generate("r1", sink, max_tokens=TOKENS))
        await asyncio.sleep(0.5)
        vm.apply(keys={})
        await asyncio.sleep(0.1)
        assert running.done()
        outcome = await running
        assert isinstance(outcome, Err)
        assert outcome.err_value.code is RefusalCode.KEY_WITHDRAWN
        assert not outcome.err_value.not_run
        await asyncio.sleep(0.1)
        produced = find_busy(vm).tokens_produced
        await asyncio.sleep(1)
        assert find_busy(vm).tokens_produced == produced < TOKENS
        await vm.async_close()

    run_virtual(async_test())


def test_disconnected_caller_frees_its_upstream() -> None:
    """A caller disconnects during a long stream.

    The run must be cancelled, or it would occupy its upstream for no one.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup()
        running = asyncio.create_task(vm.async_generate("r1", max_tokens=TOKENS))
        await asyncio.sleep(0.5)
        running.cancel()
        await asyncio.sleep(0.1)
        produced = find_busy(vm).tokens_produced
        await asyncio.sleep(1)
        assert find_busy(vm).tokens_produced == produced < TOKENS
        await vm.async_close()

    run_virtual(async_test())


def test_resent_stream_gets_the_outcome_of_the_first_run() -> None:
    """A caller's stream breaks, and the caller resends it with the same idempotency key.

    The resend must get the complete text of the first run, which an upstream ran only once.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(claims=FakeClaims())
        first = asyncio.create_task(vm.async_generate("r1", idempotency_key="k", max_tokens=TOKENS))
        await asyncio.sleep(0.5)
        first.cancel()
        sink = RecordingSink()
        outcome = await vm.async_generate("r2", sink, idempotency_key="k", max_tokens=TOKENS)
        assert isinstance(outcome, Ok)
        assert sink.read_text() == TEXT
        runs = [call for _, call in vm.upstreams.calls if isinstance(call, GenerateCall)]
        assert [call.request_id for call in runs] == ["r1"]
        await vm.async_close()

    run_virtual(async_test())


class LastChunkDroppingUpstreams(FakeUpstreams):
    """Drops the last chunk of the first stream, but sends its end."""

    calls_seen = 0

    async def async_generate(
        self, upstream: Upstream, call: GenerateCall, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        self.calls_seen += 1
        first = self.calls_seen == 1
        return await super().async_generate(
            upstream, call, LastChunkDroppingSink(sink) if first else sink
        )


class LastChunkDroppingSink:
    def __init__(self, sink: StreamSink) -> None:
        self.sink = sink

    async def async_accept(self, chunk: StreamChunk) -> None:
        if chunk.last_index < TOKENS - 1:
            await self.sink.async_accept(chunk)


def test_stream_end_without_the_last_tokens_is_resumed() -> None:
    """A stream ends without its last tokens and must not count as complete.

    The upstream's end names the last token, but that token never arrived. There is no gap between
    the chunks; the end is just early. The run must be resumed for the missing tokens.
    """

    async def async_test() -> None:
        vm = OnlineVm(LastChunkDroppingUpstreams(LoopClock()))
        await vm.async_setup()
        sink = RecordingSink()
        ended = await vm.async_generate("r1", sink, max_tokens=TOKENS)
        assert isinstance(ended, Ok)
        assert sink.read_text() == TEXT
        await vm.async_close()

    run_virtual(async_test())


@pytest.mark.parametrize("engines", [1, 2])
@pytest.mark.parametrize("refuses", [False, True])
def test_stream_waits_for_an_upstream_to_recover(refuses: bool, engines: int) -> None:
    """Guards against cutting a stream while all upstreams restart: unreachable or refusing."""

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=engines)
        sink = RecordingSink()
        running = asyncio.create_task(vm.async_generate("r1", sink, max_tokens=TOKENS))
        await asyncio.sleep(1)
        assert 0 < sink.chunks < TOKENS
        set_gone(vm, refuses=refuses, gone=True)
        for engine in vm.upstreams.engines.values():
            engine.crash()
        await asyncio.sleep(8)
        set_gone(vm, refuses=refuses, gone=False)
        assert isinstance(await running, Ok)
        assert sink.read_text() == TEXT
        await vm.async_close()

    run_virtual(async_test())


def set_gone(vm: OnlineVm, *, refuses: bool, gone: bool) -> None:
    if refuses:
        for engine in vm.upstreams.engines.values():
            engine.faults.refuse = gone
    else:
        vm.upstreams.unreachable = set(vm.upstreams.engines) if gone else set()
