"""Streams under faults: the whole answer, each token once."""

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


def go_away(engine: EngineModel) -> None:
    engine.crash()
    engine.faults.refuse = True


@pytest.mark.parametrize("fault", [go_silent, EngineModel.crash, drop_end, go_away])
def test_stream_goes_on_from_the_last_token(fault: Callable[[EngineModel], None]) -> None:
    """A designer reads a blurb as it is written; half-way its upstream fails.

    The connection goes silent but stays open, or breaks with all its work, or ends without
    its end marker, or the upstream leaves for good. The text must go on where it stopped, no word twice and none missing.
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


def test_crossed_answer_is_thrown_away() -> None:
    """An upstream sends a customer another customer's answer, under the other's id.

    Nothing of it may reach the caller; asking again brings the right answer.
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


def test_answer_without_end_marker_is_no_answer() -> None:
    """Every connection of an upstream closes before the end marker.

    Given out, the part would pass for the whole; the caller must be told that there is none.
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
    """An operator withdraws a key while its holder reads a stream.

    The stream must end at once with the reason, and its upstream must stop working on it.
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


def test_caller_that_goes_away_frees_its_upstream() -> None:
    """A designer closes the page while a long blurb is written.

    Nobody waits for it any more; left running, it would take the place of others.
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


def test_resent_stream_is_answered_from_the_first_run() -> None:
    """A digest job's stream breaks off at the caller, which sends it again with the same key.

    The resend must get the whole text of the first run, which an upstream ran only once.
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


class ShortUpstreams(FakeUpstreams):
    """Keeps the last chunk of the first stream back, yet sends its end."""

    calls_seen = 0

    async def async_generate(
        self, upstream: Upstream, call: GenerateCall, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        self.calls_seen += 1
        first = self.calls_seen == 1
        return await super().async_generate(upstream, call, LateSink(sink) if first else sink)


class LateSink:
    def __init__(self, sink: StreamSink) -> None:
        self.sink = sink

    async def async_accept(self, chunk: StreamChunk) -> None:
        if chunk.last_index < TOKENS - 1:
            await self.sink.async_accept(chunk)


def test_an_end_without_the_last_tokens_is_no_whole_answer() -> None:
    """A blurb stops in the middle of its last sentence, and yet counts as answered.

    The upstream's end marker names the last token, but that token never arrived: no hole shows
    between the chunks, only the end is too early. The run must be resumed for what is missing.
    """

    async def async_test() -> None:
        vm = OnlineVm(ShortUpstreams(LoopClock()))
        await vm.async_setup()
        sink = RecordingSink()
        ended = await vm.async_generate("r1", sink, max_tokens=TOKENS)
        assert isinstance(ended, Ok)
        assert sink.read_text() == TEXT
        await vm.async_close()

    run_virtual(async_test())


@pytest.mark.parametrize("engines", [1, 2])
@pytest.mark.parametrize("refuses", [False, True])
def test_stream_waits_for_an_upstream_that_comes_back(refuses: bool, engines: int) -> None:
    """A stream is cut as every upstream is gone, or refuses, for the seconds of a restart."""

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
