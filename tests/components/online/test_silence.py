"""Tests that runs at slow, silent upstreams are not cut while they make progress or cannot move."""

import asyncio
from typing import Any

import pytest
from result import Ok, Result

from goldcreststair.components.routing.protocols import ROUTER
from goldcreststair.helpers.refusals import Refusal
from goldcreststair.upstreams.models import GenerateEnd
from standins.engine.model import make_text
from tests.helpers.cores import make_core
from tests.helpers.idle_upstreams import IdleUpstreams
from tests.helpers.online import ADDRESSES, OnlineVm, RecordingSink
from tests.helpers.virtual_time import run_virtual

TOKENS = 200

Running = asyncio.Task[Result[GenerateEnd, Refusal]]


async def async_start_slow(vm: OnlineVm, sink: RecordingSink, *, begun: bool) -> Running:
    """Start a request at upstreams that pause from its start, or from 1 s on if `begun`."""
    set_pause(vm, paused=not begun)
    fields = {"max_tokens": TOKENS, "deadline_ms": 600_000}
    running = asyncio.create_task(vm.async_generate("r1", sink, **fields))
    await asyncio.sleep(1)
    set_pause(vm, paused=True)
    return running


def set_pause(vm: OnlineVm, *, paused: bool) -> None:
    for engine in vm.upstreams.engines.values():
        engine.faults.pause = paused


@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize("other", ["none", "unreachable", "refusing"])
def test_slow_response_is_not_cut(other: str, begun: bool) -> None:
    """Guards against cutting a silent run that no other upstream can take over."""

    async def async_test() -> None:
        vm = OnlineVm(IdleUpstreams(make_core().clock))
        await vm.async_setup(engines=1 if other == "none" else 2)
        if other == "unreachable":
            vm.upstreams.unreachable.add(ADDRESSES[1])
        elif other == "refusing":
            vm.upstreams.engines[ADDRESSES[1]].faults.refuse = True
        sink = RecordingSink()
        running = await async_start_slow(vm, sink, begun=begun)
        await asyncio.sleep(300)
        set_pause(vm, paused=False)
        assert isinstance(await running, Ok)
        assert sink.read_text() == make_text("a blurb", TOKENS)
        await vm.async_close()

    run_virtual(async_test())


@pytest.mark.parametrize("begun", [False, True])
@pytest.mark.parametrize(
    "patch", [{}, {"leaving_upstreams": {"e0": True}}, {"upstreams": {}}], ids=repr
)
def test_slow_run_without_alternative_is_kept(patch: dict[str, Any], begun: bool) -> None:
    """Guards against cancelling a silent run that cannot move, for example after a patch."""

    async def async_test() -> None:
        vm = OnlineVm(IdleUpstreams(make_core().clock))
        await vm.async_setup(engines=1)
        sink = RecordingSink()
        running = await async_start_slow(vm, sink, begun=begun)
        engine = vm.upstreams.engines[ADDRESSES[0]]
        run = engine.find("r1")
        vm.apply(**patch)
        await asyncio.sleep(60)
        set_pause(vm, paused=False)
        assert isinstance(await running, Ok)
        assert sink.read_text() == make_text("a blurb", TOKENS)
        assert engine.find("r1") is run
        assert engine.tokens_produced == TOKENS
        await vm.async_close()

    run_virtual(async_test())


@pytest.mark.parametrize("begun", [False, True])
def test_silent_run_moves_to_an_upstream_that_refused_it_before(begun: bool) -> None:
    """Guards against a request that stays at a paused upstream after a brief refusal elsewhere."""

    async def async_test() -> None:
        vm = OnlineVm(IdleUpstreams(make_core().clock))
        await vm.async_setup()
        first, second = (vm.upstreams.engines[address] for address in ADDRESSES[:2])
        second.faults.refuse = True
        vm.core.get(ROUTER).begin("e0")
        sink = RecordingSink()
        running = await async_start_slow(vm, sink, begun=begun)
        assert [address for address, _ in vm.upstreams.calls] == [ADDRESSES[1], ADDRESSES[0]]
        second.faults.refuse = second.faults.pause = False
        assert isinstance(await running, Ok)
        assert sink.read_text() == make_text("a blurb", TOKENS)
        assert first.faults.pause
        await vm.async_close()

    run_virtual(async_test())
