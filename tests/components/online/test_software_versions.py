"""Tests of streams that continue while engines of several software versions serve."""

import asyncio

import pytest
from result import Err, Ok

from goldcreststair.helpers.refusals import RefusalCode
from goldcreststair.store.models import ListedState, ListedVm
from goldcreststair.upstreams.models import GenerateCall
from standins.engine.model import EngineModel, make_text
from tests.helpers.online import ADDRESSES, OnlineVm, RecordingSink
from tests.helpers.virtual_time import run_virtual

TOKENS = 200
LONG = 3_000
REPORTED_S = 3
"""Time after which the load reports of all engines are known."""


def find_busy(vm: OnlineVm) -> EngineModel:
    return max(vm.upstreams.engines.values(), key=lambda engine: engine.tokens_produced)


async def async_start(*versions: str) -> OnlineVm:
    """Start a daemon with an engine of each version."""
    vm = OnlineVm()
    await vm.async_setup(engines=len(versions))
    for address, software in zip(ADDRESSES, versions, strict=False):
        vm.upstreams.engines[address].software = software
    await vm.async_generate("warm", max_tokens=1)
    await asyncio.sleep(REPORTED_S)
    return vm


@pytest.mark.parametrize("lost", ["crash", "restart", "silent"])
def test_stream_stays_at_the_software_that_began_it(lost: str) -> None:
    """Guards against joining the tokens of two software versions after a failed run.

    `restart` brings the engine back at once, with other software under its name.
    """

    async def async_test() -> None:
        vm = await async_start("v1", "v2", "v1", "v2")
        prompts = [f"blurb {number}" for number in range(12)]
        sinks = [RecordingSink() for _ in prompts]
        running = [
            asyncio.create_task(vm.async_generate(p, sink, prompt=p, max_tokens=TOKENS))
            for p, sink in zip(prompts, sinks, strict=True)
        ]
        await asyncio.sleep(1)
        engine = find_busy(vm)
        if lost == "silent":
            engine.faults.silent = True
        else:
            engine.crash()
            engine.faults.refuse = lost == "crash"
            engine.software = "v3" if lost == "restart" else engine.software
        assert all(isinstance(outcome, Ok) for outcome in await asyncio.gather(*running))
        for prompt, sink in zip(prompts, sinks, strict=True):
            whole = [make_text(prompt, TOKENS, software) for software in ("v1", "v2")]
            assert sink.read_text() in whole
        await vm.async_close()

    run_virtual(async_test())


def test_stream_is_cut_when_its_software_is_gone() -> None:
    """Guards against a stream that waits until its deadline for a version that no engine runs."""

    async def async_test() -> None:
        vm = await async_start("v1", "v1")
        sink = RecordingSink()
        running = asyncio.create_task(vm.async_generate("r1", sink, max_tokens=TOKENS))
        await asyncio.sleep(1)
        for engine in vm.upstreams.engines.values():
            engine.crash()
            engine.software = "v2"
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        outcome = await running
        assert isinstance(outcome, Err) and outcome.err_value.code is RefusalCode.CANNOT_RESUME
        assert not outcome.err_value.not_run
        assert loop.time() - began_at < REPORTED_S + 1
        text = sink.read_text()
        assert text and make_text("a blurb", TOKENS, "v1").startswith(text)
        await vm.async_close()

    run_virtual(async_test())


@pytest.mark.parametrize("tokens", [60, 2_000])
def test_departing_stream_moves_to_its_software(tokens: int) -> None:
    """Guards against moving a stream, with or without its KV state, to another software version."""

    async def async_test() -> None:
        vm = await async_start("v1", "v2", "v1", "v2")
        sink = RecordingSink()
        prompt = " ".join(["word"] * tokens)
        running = asyncio.create_task(vm.async_generate("r1", sink, prompt=prompt, max_tokens=LONG))
        await asyncio.sleep(1)
        engine = find_busy(vm)
        address = next(a for a, each in vm.upstreams.engines.items() if each is engine)
        vm.platform.set_vms([ListedVm(address, "dc1", ListedState.LEAVING)])
        assert isinstance(await running, Ok)
        assert sink.read_text() == make_text(prompt, LONG, engine.software)
        calls = [(a, c) for a, c in vm.upstreams.calls if isinstance(c, GenerateCall)]
        moved = {at for at, call in calls if call.request_id == "r1"}
        assert len(moved) > 1
        await vm.async_close()

    run_virtual(async_test())


def test_new_request_is_told_to_come_back_while_all_upstreams_leave() -> None:
    """Guards against refusing a new request for good, as if it continued software that is gone."""

    async def async_test() -> None:
        vm = await async_start("v1", "v1")
        vm.platform.set_vms([ListedVm(at, "dc1", ListedState.LEAVING) for at in ADDRESSES])
        await asyncio.sleep(REPORTED_S)
        outcome = await vm.async_generate("r1", max_tokens=1)
        assert isinstance(outcome, Err) and outcome.err_value.code is RefusalCode.NO_UPSTREAM
        assert outcome.err_value.not_run and outcome.err_value.retry_after_ms
        await vm.async_close()

    run_virtual(async_test())
