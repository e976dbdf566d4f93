"""Requests whose upstream, or whose caller, falls silent for a while and then goes on."""

import asyncio
from dataclasses import dataclass

import pytest

from goldcreststair.components.forwarding.protocols import FORWARDING
from goldcreststair.components.forwarding.service import ForwardingService
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import FakeResponder, FleetMember, GatewayFleet
from standins.run_engines import RunEngine, make_stream
from tests.helpers.gateways import async_send, run_fleet

EVENTS = 20
PAUSE_MS = 1_500
SMALL, LARGE = 1, 30


async def async_start(fleet: GatewayFleet, vms: int) -> FleetMember:
    """Start a fleet and return one daemon that knows the others and the upstreams."""
    members = await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(4_000 if vms > SMALL else 500)
    return members[0]


async def async_find_running(fleet: GatewayFleet, engines: list[RunEngine]) -> RunEngine:
    """Wait until an upstream runs something, and return it."""
    await fleet.async_wait(lambda: any(engine.running for engine in engines), 2_000)
    return next(engine for engine in engines if engine.running)


async def async_pause(fleet: GatewayFleet, engine: RunEngine) -> None:
    """Let an upstream send nothing for a while."""
    engine.silent = True
    await fleet.clock.async_sleep(PAUSE_MS)
    engine.silent = False


@pytest.mark.parametrize("vms", [SMALL, LARGE])
@pytest.mark.parametrize("pause_after_ms", [5, 300])
def test_a_stream_on_its_last_attempt_outlasts_a_pause(vms: int, pause_after_ms: int) -> None:
    """Guards against cutting a stream for its silence when no other upstream may run it."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(3)
        member = await async_start(fleet, vms)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        lost = await async_find_running(fleet, engines)
        lost.up = False
        others = [engine for engine in engines if engine is not lost]
        last = await async_find_running(fleet, others)
        await fleet.clock.async_sleep(pause_after_ms)
        await async_pause(fleet, last)
        answer = await sending
        assert answer.whole and answer.body == make_stream("r", EVENTS)
        assert sum(len(engine.ran) for engine in engines) == 2

    run_fleet(scenario)


@pytest.mark.parametrize("vms", [SMALL, LARGE])
@pytest.mark.parametrize("others", ["none", "down", "draining"])
def test_a_stream_without_another_upstream_outlasts_a_pause(vms: int, others: str) -> None:
    """Guards against cutting a stream for its silence when no other upstream can take it."""

    async def scenario(fleet: GatewayFleet) -> None:
        (only,) = fleet.add_engines(1)
        member = await async_start(fleet, vms)
        if others != "none":
            for engine in fleet.add_engines(2):
                engine.up = others != "down"
                fleet.register(engine, draining=others == "draining")
        await fleet.clock.async_sleep(100)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        await fleet.async_wait(lambda: only.running > 0, 2_000)
        await fleet.clock.async_sleep(300)
        await async_pause(fleet, only)
        answer = await sending
        assert answer.whole and answer.body == make_stream("r", EVENTS)

    run_fleet(scenario)


def test_a_request_without_retry_budget_outlasts_a_pause() -> None:
    """Guards against refusing a request for its upstream's silence when no retry is left."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        member = await async_start(fleet, SMALL)
        forwarding = member.core.get(FORWARDING)
        assert isinstance(forwarding, ForwardingService)
        while forwarding.budget.take():
            pass
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        await async_pause(fleet, await async_find_running(fleet, engines))
        answer = await sending
        assert answer.whole and answer.body == make_stream("r", EVENTS)

    run_fleet(scenario)


@dataclass(slots=True)
class SlowResponder(FakeResponder):
    """A caller whose connection takes nothing more for a while, once."""

    stalls_at: int = 5

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Take a piece, late."""
        # A class with slots is made anew by its decorator, which `super()` does not know.
        FakeResponder.write(self, data)
        if len(self.event_times) != self.stalls_at:
            return None
        return asyncio.ensure_future(self._async_stall())

    async def _async_stall(self) -> None:
        await self.clock.async_sleep(PAUSE_MS)


def test_a_caller_that_reads_slowly_is_not_taken_for_a_silent_upstream() -> None:
    """Guards against moving or cutting a stream that waits for its own caller."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(3)
        member = await async_start(fleet, SMALL)
        responder = SlowResponder(fleet.clock)
        request = fleet.make_request("/stream/a", request_id="r")
        await member.core.get(FORWARDING).async_forward(request, responder)
        assert responder.whole and responder.body == make_stream("r", EVENTS)
        assert sum(len(engine.ran) for engine in engines) == 1

    run_fleet(scenario)


@pytest.mark.parametrize("silent_after_ms", [5, 300])
def test_a_silent_last_upstream_is_waited_for_until_the_deadline(silent_after_ms: int) -> None:
    """Guards against holding a caller longer than its deadline for an upstream that stays silent."""

    async def scenario(fleet: GatewayFleet) -> None:
        (engine,) = fleet.add_engines(1)
        member = await async_start(fleet, SMALL)
        began_at = fleet.clock.now()
        deadline_ms = 2_000
        sending = asyncio.create_task(
            async_send(fleet, member, "/stream/a", deadline_ms=deadline_ms)
        )
        await fleet.clock.async_sleep(silent_after_ms)
        engine.silent = True
        answer = await sending
        assert deadline_ms <= answer.ended_at - began_at <= deadline_ms + 50
        refused = answer.refusal
        assert answer.aborted or (refused is not None and refused.code is RefusalCode.DEADLINE)

    run_fleet(scenario)


@pytest.mark.parametrize("fault", ["reset", "refuse", "down"])
@pytest.mark.parametrize("pause_after_ms", [5, 300])
def test_a_stream_goes_back_where_no_other_upstream_takes_it(
    fault: str, pause_after_ms: int
) -> None:
    """Guards against losing a request that left a silent upstream for one that does not take it."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        member = await async_start(fleet, SMALL)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        left = await async_find_running(fleet, engines)
        await fleet.clock.async_sleep(pause_after_ms)
        (other,) = [engine for engine in engines if engine is not left]
        other.reset, other.refuse, other.up = fault == "reset", fault == "refuse", fault != "down"
        await async_pause(fleet, left)
        answer = await sending
        assert answer.whole and answer.body == make_stream("r", EVENTS)
        assert [call.resume_after for call in left.ran][0] == 0 and len(left.ran) == 2

    run_fleet(scenario)


@pytest.mark.parametrize("pause_after_ms", [5, 300])
def test_upstreams_that_are_silent_at_once_lose_no_request(pause_after_ms: int) -> None:
    """Guards against requests that leave two silent upstreams for each other and find both down."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        member = await async_start(fleet, SMALL)
        sending = [
            asyncio.create_task(async_send(fleet, member, "/stream/a", request_id=f"r{number}"))
            for number in range(4)
        ]
        await fleet.clock.async_sleep(pause_after_ms)
        await asyncio.gather(*(async_pause(fleet, engine) for engine in engines))
        answers = await asyncio.gather(*sending)
        assert [answer.body for answer in answers] == [
            make_stream(f"r{n}", EVENTS) for n in range(4)
        ]

    run_fleet(scenario)


def test_requests_that_share_the_last_retry_are_all_answered() -> None:
    """Guards against runs left together for a retry budget that has room for one of them."""

    async def scenario(fleet: GatewayFleet) -> None:
        silent, other = fleet.add_engines(2)
        member = await async_start(fleet, SMALL)
        placement = member.core.get(PLACEMENT).controller
        placement.mark_down(other.name)
        silent.silent = True
        sending = [
            asyncio.create_task(async_send(fleet, member, "/stream/a", request_id=f"r{number}"))
            for number in range(3)
        ]
        await fleet.clock.async_sleep(20)
        placement.mark_up(other.name)
        forwarding = member.core.get(FORWARDING)
        assert isinstance(forwarding, ForwardingService)
        while forwarding.budget.take():
            pass
        for _ in range(5):
            forwarding.budget.earn()
        await fleet.clock.async_sleep(PAUSE_MS)
        silent.silent = False
        assert all(answer.whole for answer in await asyncio.gather(*sending))

    run_fleet(scenario)


def test_a_run_at_an_upstream_that_left_the_list_is_not_left_early() -> None:
    """Guards against taking a pause for the end of an upstream that is not listed any more."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        member = await async_start(fleet, SMALL)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        running = await async_find_running(fleet, engines)
        await fleet.clock.async_sleep(300)
        fleet.unregister(running)
        await fleet.clock.async_sleep(100)
        running.silent = True
        await fleet.clock.async_sleep(300)
        running.silent = False
        answer = await sending
        assert answer.whole and sum(len(engine.ran) for engine in engines) == 1

    run_fleet(scenario)
