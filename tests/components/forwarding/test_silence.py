"""Tests of requests whose upstream or caller pauses for a while and then continues."""

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
    """Start a fleet and return a daemon that knows the other daemons and the upstreams."""
    members = await fleet.async_add_many(vms)
    await fleet.clock.async_sleep(4_000 if vms > SMALL else 500)
    return members[0]


async def async_find_running(fleet: GatewayFleet, engines: list[RunEngine]) -> RunEngine:
    """Return the first of the upstreams that runs something, once there is one."""
    await fleet.async_wait(lambda: any(engine.running for engine in engines), 2_000)
    return next(engine for engine in engines if engine.running)


async def async_pause(fleet: GatewayFleet, engine: RunEngine) -> None:
    """Let an upstream send nothing for `PAUSE_MS`."""
    engine.silent = True
    await fleet.clock.async_sleep(PAUSE_MS)
    engine.silent = False


@pytest.mark.parametrize("vms", [SMALL, LARGE])
@pytest.mark.parametrize("pause_after_ms", [5, 300])
def test_stream_on_its_last_attempt_survives_a_pause(vms: int, pause_after_ms: int) -> None:
    """Guards against cutting a silent stream that may not be run at another upstream."""

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
def test_stream_without_another_upstream_survives_a_pause(vms: int, others: str) -> None:
    """Guards against cutting a silent stream when no other upstream can take it."""

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


def test_request_without_retry_budget_survives_a_pause() -> None:
    """Guards against refusing a request for its upstream's silence when the retry budget is spent."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        member = await async_start(fleet, SMALL)
        forwarding = member.core.get(FORWARDING)
        assert isinstance(forwarding, ForwardingService)
        while forwarding.budget.try_spend():
            pass
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        await async_pause(fleet, await async_find_running(fleet, engines))
        answer = await sending
        assert answer.whole and answer.body == make_stream("r", EVENTS)

    run_fleet(scenario)


@dataclass(slots=True)
class SlowResponder(FakeResponder):
    """A caller whose connection stalls once, for `PAUSE_MS`."""

    stalls_at: int = 5

    def write(self, data: bytes) -> asyncio.Future[None] | None:
        """Record a chunk; stall at chunk `stalls_at`."""
        # `dataclass(slots=True)` creates a new class, so `super()` without arguments would fail here.
        FakeResponder.write(self, data)
        if len(self.event_times) != self.stalls_at:
            return None
        return asyncio.ensure_future(self._async_stall())

    async def _async_stall(self) -> None:
        await self.clock.async_sleep(PAUSE_MS)


def test_slow_caller_is_not_taken_for_a_silent_upstream() -> None:
    """Guards against moving or cutting a stream that waits for its own caller to read."""

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
def test_last_silent_upstream_is_awaited_until_the_deadline(silent_after_ms: int) -> None:
    """Guards against keeping a caller waiting past its deadline for an upstream that stays silent."""

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
def test_stream_returns_to_its_upstream_when_no_other_takes_it(
    fault: str, pause_after_ms: int
) -> None:
    """Guards against losing a request moved from a silent upstream to one that fails or refuses it."""

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
def test_upstreams_silent_at_the_same_time_lose_no_request(pause_after_ms: int) -> None:
    """Guards against requests that move between two silent upstreams and find both marked down."""

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
    """Guards against several runs abandoned at once for a retry budget that allows only one retry."""

    async def scenario(fleet: GatewayFleet) -> None:
        silent, other = fleet.add_engines(2)
        member = await async_start(fleet, SMALL)
        placement = member.core.get(PLACEMENT).controller
        placement.upstreams.mark_down(other.name)
        silent.silent = True
        sending = [
            asyncio.create_task(async_send(fleet, member, "/stream/a", request_id=f"r{number}"))
            for number in range(3)
        ]
        await fleet.clock.async_sleep(20)
        placement.upstreams.mark_up(other.name)
        forwarding = member.core.get(FORWARDING)
        assert isinstance(forwarding, ForwardingService)
        while forwarding.budget.try_spend():
            pass
        for _ in range(5):
            forwarding.budget.record_request()
        await fleet.clock.async_sleep(PAUSE_MS)
        silent.silent = False
        assert all(answer.whole for answer in await asyncio.gather(*sending))

    run_fleet(scenario)


def test_run_at_an_unlisted_upstream_is_not_abandoned_early() -> None:
    """Guards against taking a pause for a crash of an upstream that is no longer listed."""

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
