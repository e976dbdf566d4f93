"""Tests that streams at an upstream listed as leaving continue elsewhere."""

import asyncio

import pytest
from result import Ok

from goldcreststair.components.online.const import MOVE_TICK_MS
from goldcreststair.components.routing.const import DEPARTURE_GRACE_MS
from goldcreststair.journal import Subject
from goldcreststair.store.models import ListedState, ListedVm
from goldcreststair.upstreams.models import GenerateCall
from standins.engine.model import EngineModel, make_text
from tests.helpers.online import ADDRESSES, OnlineVm, RecordingSink
from tests.helpers.virtual_time import run_virtual

TOKENS = 3000
SHORT = "a blurb"
LONG = " ".join(f"word{number}" for number in range(2000))


class Departure:
    """A running stream whose upstream the platform lists as leaving."""

    def __init__(self, vm: OnlineVm, prompt: str, tokens: int = TOKENS) -> None:
        self.vm = vm
        self.sink = RecordingSink()
        self.text = make_text(prompt, tokens)
        fields = {"prompt": prompt, "max_tokens": tokens}
        self.running = asyncio.create_task(vm.async_generate("r1", self.sink, **fields))

    async def async_begin(self) -> EngineModel:
        await asyncio.sleep(2)
        source = self.read_addresses()[0]
        self.vm.platform.set_vms([ListedVm(source, "dc1", ListedState.LEAVING)])
        return self.vm.upstreams.engines[source]

    def read_addresses(self) -> list[str]:
        return [address for address, call in self.vm.upstreams.calls if is_generation(call)]

    def read_choices(self) -> list[str]:
        return [event.choice for event in self.vm.core.journal.find(Subject.REQUEST, "r1")]

    def read_holders(self) -> list[object]:
        events = self.vm.core.journal.find(Subject.REQUEST, "r1")
        return [event.seen["holder"] for event in events if event.choice == "move"]

    async def async_check_complete(self) -> None:
        assert isinstance(await self.running, Ok)
        assert self.sink.read_text() == self.text
        ids = [line for line in self.sink.data.split(b"\n") if line.startswith(b"id: ")]
        assert ids == [b"id: %d" % index for index in range(len(ids))]
        await self.vm.async_close()


def is_generation(call: object) -> bool:
    return isinstance(call, GenerateCall)


@pytest.mark.parametrize(("prompt", "by_kv"), [(SHORT, False), (LONG, True)])
def test_long_stream_is_moved_before_its_upstream_goes(prompt: str, by_kv: bool) -> None:
    """The platform takes an engine's VM away during a long stream.

    Twenty seconds after it is listed as leaving the engine is gone. By then the stream must have
    moved, without repeated or missing tokens, and no request may be blamed for a crash.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=2)
        departure = Departure(vm, prompt)
        source = await departure.async_begin()
        await asyncio.sleep(DEPARTURE_GRACE_MS / 1000)
        source.crash()
        await departure.async_check_complete()
        assert len(departure.read_addresses()) == 2
        assert departure.read_choices() == ["run", "move", "run", "answered"]
        other = next(a for a in ADDRESSES[:2] if a != departure.read_addresses()[0])
        name = f"e{ADDRESSES.index(other)}"
        assert departure.read_holders() == ([name] if by_kv else [""])

    run_virtual(async_test())


def test_failed_export_falls_back_to_prefill() -> None:
    """The departing engine refuses to export the KV state; the stream must move anyway."""

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=2)
        departure = Departure(vm, LONG)
        source = await departure.async_begin()
        source.faults.refuse_kv = True
        await departure.async_check_complete()
        assert departure.read_holders() == [""]

    run_virtual(async_test())


@pytest.mark.parametrize("delay_s", [1.0, 3.0, 3.4, 5.0])
def test_engine_that_stops_during_the_move(delay_s: float) -> None:
    """The engine is gone earlier than the platform announced, during the KV export.

    Whenever that happens, the caller must notice nothing but a pause.
    """

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=2)
        for engine in vm.upstreams.engines.values():
            object.__setattr__(engine.parameters, "kv_base_ms", 1000.0)
        departure = Departure(vm, LONG)
        source = await departure.async_begin()
        await asyncio.sleep(delay_s)
        vm.upstreams.unreachable.add(departure.read_addresses()[0])
        source.crash()
        await departure.async_check_complete()

    run_virtual(async_test())


def test_short_stream_ends_where_it_runs() -> None:
    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=2)
        departure = Departure(vm, SHORT, tokens=800)
        await departure.async_begin()
        await departure.async_check_complete()
        assert len(departure.read_addresses()) == 1

    run_virtual(async_test())


def test_stream_without_another_upstream_stays() -> None:
    """Every engine that serves the model departs; ending the stream early would cut it."""

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=1)
        departure = Departure(vm, SHORT, tokens=1400)
        await departure.async_begin()
        await departure.async_check_complete()
        assert len(departure.read_addresses()) == 1

    run_virtual(async_test())


def test_slow_caller_loses_nothing_in_a_move() -> None:
    """A caller reads slowly, so that a chunk is being forwarded when its stream moves.

    The chunk is counted as forwarded; cancelled half-way, its words would be missing.
    """

    class SlowSink(RecordingSink):
        async def async_accept(self, chunk: object) -> None:
            await asyncio.sleep(0.3)
            await super().async_accept(chunk)  # type: ignore[arg-type]

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=2)
        departure = Departure(vm, SHORT)
        departure.running.cancel()
        departure.sink = SlowSink()
        departure.running = asyncio.create_task(
            vm.async_generate("r1", departure.sink, prompt=SHORT, max_tokens=TOKENS)
        )
        await departure.async_begin()
        await departure.async_check_complete()
        assert "move" in departure.read_choices()

    run_virtual(async_test())


def test_streams_of_a_departing_data_centre_move() -> None:
    """All engines of a data centre but one depart at once, with most of twenty long streams.

    By the time they are gone every stream must have moved, without a crash and at an even pace:
    the prefills of a single wave would stall all streams at the remaining engine.
    """
    streams, tokens = 20, 1800

    async def async_test() -> None:
        vm = OnlineVm()
        await vm.async_setup(engines=3)
        prompts = [f"brief {number}" for number in range(streams)]
        sinks = [RecordingSink() for _ in prompts]
        running = [
            asyncio.create_task(
                vm.async_generate(f"r{number}", sink, prompt=prompt, max_tokens=tokens)
            )
            for number, (prompt, sink) in enumerate(zip(prompts, sinks, strict=True))
        ]
        await asyncio.sleep(2)
        gone = ADDRESSES[:2]
        vm.platform.set_vms([ListedVm(address, "dc1", ListedState.LEAVING) for address in gone])
        await asyncio.sleep(DEPARTURE_GRACE_MS / 1000)
        for address in gone:
            vm.upstreams.engines[address].crash()
        for task, sink, prompt in zip(running, sinks, prompts, strict=True):
            assert isinstance(await task, Ok)
            assert sink.read_text() == make_text(prompt, tokens)
        events = [
            event
            for number in range(streams)
            for event in vm.core.journal.find(Subject.REQUEST, f"r{number}")
        ]
        assert {event.choice for event in events} == {"run", "move", "answered"}
        times = sorted(event.at_ms for event in events if event.choice == "move")
        assert len(times) > streams / 3
        assert times[-1] - times[0] > (len(times) - 2) * MOVE_TICK_MS
        await vm.async_close()

    run_virtual(async_test())
