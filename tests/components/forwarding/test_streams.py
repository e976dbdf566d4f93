"""Tests of streams: completeness, order, resumption elsewhere, and disconnecting callers."""

import asyncio
from itertools import pairwise

import pytest

from goldcreststair.components.forwarding.const import MIN_REMAINING_MS
from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import GatewayFleet
from standins.run_engines import RunEngine, make_stream
from tests.helpers.gateways import async_send, run_fleet


def find_running(engines: list[RunEngine]) -> RunEngine:
    """Return the first engine that runs something."""
    return next(engine for engine in engines if engine.running)


@pytest.mark.parametrize("path", ["/stream/a", "/once/a"])
def test_stream_arrives_complete_with_the_head_of_its_engine(path: str) -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(3)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        answer = await async_send(fleet, member, path, request_id="r")
        assert answer.whole and answer.body == make_stream("r", 20)
        assert answer.head is not None and answer.head.headers[0][0] == "Stamp"

    run_fleet(scenario)


@pytest.mark.parametrize("crash_after_ms", [0, 20, 100, 400])
def test_resumable_stream_continues_after_a_crash_of_its_engine(crash_after_ms: int) -> None:
    """Guards against a stream that stops in the middle because its engine crashed.

    Another engine continues after the last event that the caller has: no event is missing or doubled, the
    head is the first engine's, and the pause stays below the 250 ms that callers accept.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(3)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        await fleet.clock.async_sleep(5 + crash_after_ms)
        crashed = find_running(engines)
        crashed.up = False
        answer = await sending
        assert answer.whole and answer.body == make_stream("r", 20)
        gaps = [after - at for at, after in pairwise(answer.event_times)]
        assert max(gaps) < 250
        others = [engine for engine in engines if engine is not crashed]
        assert sum(len(engine.ran) for engine in others) == 1

    run_fleet(scenario)


@pytest.mark.parametrize("engines_left", [1, 3])
def test_begun_stream_waits_for_full_upstreams(engines_left: int) -> None:
    """Guards against cutting a begun stream while the remaining upstreams are full for a moment."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(1 + engines_left)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        await fleet.clock.async_sleep(200)
        crashed = find_running(engines)
        others = [engine for engine in engines if engine is not crashed]
        for engine in others:
            engine.refuse = True
        crashed.up = False
        await fleet.clock.async_sleep(400)
        for engine in others:
            engine.refuse = False
        answer = await sending
        assert answer.whole and answer.body == make_stream("r", 20)
        assert sum(len(engine.ran) for engine in others) == 1

    run_fleet(scenario)


@pytest.mark.parametrize("deadline_ms", [2_000, 2_010, 2_020, 2_030, 2_040])
def test_attempts_at_full_upstreams_are_bounded(deadline_ms: int) -> None:
    """Guards against a begun stream that keeps retrying full upstreams until its deadline."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(60)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        sending = asyncio.create_task(
            async_send(fleet, member, "/stream/a", deadline_ms=deadline_ms)
        )
        await fleet.clock.async_sleep(200)
        crashed = find_running(engines)
        for engine in engines:
            engine.refuse = True
        crashed.up = False
        sent_before = len(fleet.engines.deadlines)
        answer = await sending
        assert answer.aborted
        assert len(fleet.engines.deadlines) - sent_before <= 20
        assert min(fleet.engines.deadlines) >= MIN_REMAINING_MS
        page = member.core.meters.render().decode()
        assert 'goldcreststair_given_up_total{failure="refused"} 1.0' in page

    run_fleet(scenario)


def test_silent_engine_is_abandoned_within_the_accepted_pause() -> None:
    """Guards against a stream that stalls on an open connection until its caller gives up after 2 s.

    The engine stopped without a connection reset, so only the silence of all its runs shows the failure.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        await fleet.clock.async_sleep(200)
        find_running(engines).silent = True
        answer = await sending
        assert answer.whole and answer.body == make_stream("r", 20)
        gaps = [after - at for at, after in pairwise(answer.event_times)]
        assert max(gaps) < 250

    run_fleet(scenario)


def test_non_repeatable_stream_is_cut_and_not_run_again() -> None:
    """Guards against a call that runs twice, such as a booking made twice.

    The engine crashed after it had begun a call that must not be repeated. The connection is closed, so
    that the partial answer cannot be taken for a complete one, and no other engine runs the call.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(3)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        sending = asyncio.create_task(async_send(fleet, member, "/once/a"))
        await fleet.clock.async_sleep(200)
        find_running(engines).up = False
        answer = await sending
        assert answer.aborted and not answer.whole
        assert sum(len(engine.ran) for engine in engines) == 1

    run_fleet(scenario)


@pytest.mark.parametrize("path", ["/book/a", "/once/a", "/stream/a", "/call/a"])
def test_refused_request_moves_to_an_engine_that_runs_it(path: str) -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(3)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        engines[0].refuse = engines[1].refuse = True
        answer = await async_send(fleet, member, path)
        assert answer.whole
        assert [len(engine.ran) for engine in engines] == [0, 0, 1]

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("path", "code"),
    [("/book/a", RefusalCode.UPSTREAM_FAILED), ("/call/a", RefusalCode.UPSTREAM_FAILED)],
)
def test_refusal_after_a_run_does_not_say_not_run(path: str, code: RefusalCode) -> None:
    """Guards against a caller that books twice because a refusal says "not run" after a run.

    The engine ran the call and crashed before it sent the answer.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        for engine in engines:
            engine.first_ms = 200
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        sending = asyncio.create_task(async_send(fleet, member, path))
        await fleet.clock.async_sleep(50)
        for engine in engines:
            engine.up = False
        answer = await sending
        assert answer.refusal is not None
        assert answer.refusal.code is code and not answer.refusal.not_run

    run_fleet(scenario)


def test_run_ends_when_its_caller_disconnects() -> None:
    """Guards against engines that keep generating for closed connections while other callers wait."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        sending = asyncio.create_task(async_send(fleet, member, "/stream/a", request_id="r"))
        await fleet.clock.async_sleep(200)
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        await fleet.clock.async_sleep(20)
        assert fleet.engines.active_runs["r"] == 0
        assert sum(engine.running for engine in engines) == 0

    run_fleet(scenario)


@pytest.mark.parametrize(
    ("silent_after_ms", "deadline_ms"),
    [(10, 400), (200, 400)],
)
def test_final_answer_comes_by_the_deadline_of_the_caller(
    silent_after_ms: int, deadline_ms: int
) -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        began = fleet.clock.now()
        sending = asyncio.create_task(async_send(fleet, member, "/once/a", deadline_ms=deadline_ms))
        await fleet.clock.async_sleep(silent_after_ms)
        engines[0].silent = True
        answer = await sending
        assert answer.ended_at - began <= deadline_ms + 50
        refused = answer.refusal
        assert answer.aborted or (refused is not None and refused.code is RefusalCode.DEADLINE)

    run_fleet(scenario)
