"""Tests of each failure of a slow reader's connection, and of a request on a whole daemon."""

import asyncio
import logging

import pytest

from goldcreststair.components.forwarding.protocols import FORWARDING, Responder
from goldcreststair.components.reader_buffers.const import CONNECTION_BYTES, MAX_STALL_MS
from goldcreststair.components.reader_buffers.protocols import READER_BUFFERS
from goldcreststair.upstreams.dialect import RunHead
from standins.gateways import GatewayFleet
from standins.run_engines import make_stream
from tests.components.reader_buffers.replay import (
    EVENTS,
    PacedResponder,
    Readers,
    WholeResponder,
    make_identity,
    run_readers,
)
from tests.helpers.gateways import run_fleet

HEAD = RunHead(200, (), False, False, None, 0)
EVENT = b"x" * 1_000


def test_a_reader_that_disconnects_leaves_nothing_behind() -> None:
    """Guards against bytes that stay counted, or held, for callers that are gone."""

    async def scenario(readers: Readers) -> None:
        caller = PacedResponder(readers.fleet.clock)
        serving = asyncio.create_task(readers.async_serve(caller, EVENT))
        await readers.fleet.clock.async_sleep(4_000)
        assert readers.service.count_bytes() > 0 and readers.service.count_slow() == 1
        serving.cancel()
        await asyncio.wait({serving})
        assert serving.cancelled() and not caller.whole

    run_readers(scenario)


def test_a_stream_that_is_given_up_is_closed_at_once() -> None:
    """Guards against an incomplete answer that is ended as complete once its bytes were read."""

    async def scenario(readers: Readers) -> None:
        caller = PacedResponder(readers.fleet.clock)

        async def async_fail(to: Responder) -> None:
            taken = to.write(EVENT * 20)
            assert taken is not None
            await taken
            to.abort()
            to.finish()

        await readers.service.async_serve(caller, make_identity(), async_fail)
        await readers.fleet.clock.async_sleep(60_000)
        assert caller.aborted and not caller.whole

    run_readers(scenario)


def test_a_reader_that_accepts_nothing_is_shed(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a connection that is held forever for a caller that has vanished."""
    caplog.set_level(logging.WARNING)

    async def scenario(readers: Readers) -> None:
        caller = PacedResponder(readers.fleet.clock, rate=0)
        await readers.async_serve(caller, EVENT, name="r")
        assert caller.aborted and not caller.whole
        assert caller.ended_at - caller.event_times[0] >= MAX_STALL_MS
        (record,) = [each for each in caplog.records if each.message == "Slow reader shed"]
        shed = record.__dict__
        assert shed["request"] == "r" and shed["reason"] == "stalled" and shed["held_bytes"] > 0

    run_readers(scenario)


def test_one_connection_holds_a_bounded_number_of_bytes() -> None:
    """Guards against one reader of a long answer that takes the memory of all others."""

    async def scenario(readers: Readers) -> None:
        caller = PacedResponder(readers.fleet.clock, rate=100_000)
        chunk = b"x" * 50_000

        async def async_send_much(to: Responder) -> None:
            for _ in range(20):
                taken = to.write(chunk)
                if taken is not None:
                    await taken
            to.finish()

        await readers.service.async_serve(caller, make_identity(), async_send_much)
        assert caller.whole and caller.body == chunk * 20
        assert CONNECTION_BYTES // 2 < readers.peak_bytes <= CONNECTION_BYTES

    run_readers(scenario)


def test_an_answer_sent_as_a_whole_counts_until_it_is_accepted() -> None:
    """Guards against memory that is held for answers without a stream, beyond any bound."""

    async def scenario(readers: Readers) -> None:
        caller = WholeResponder(readers.fleet.clock)

        async def async_answer(to: Responder) -> None:
            to.answer(HEAD, EVENT * 9)

        await readers.service.async_serve(caller, make_identity(resumable=False), async_answer)
        assert caller.whole and readers.peak_bytes == 9_000

    run_readers(scenario)


@pytest.mark.parametrize("active", [True, False])
def test_a_slow_reader_is_not_taken_for_a_silent_upstream(active: bool) -> None:
    """Guards against moving a stream because reading pauses, and against holding a slot for its reader."""

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.features = "buffer-limits" if active else ""
        fleet.engines.events = 60
        engines = fleet.add_engines(3)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        # It reads nothing for 1 s, longer than an upstream may be silent, then slowly.
        stall_until = fleet.clock.now() + 1_000.0
        caller = PacedResponder(fleet.clock, rate=400, socket_bytes=100, read_until=stall_until)
        request = fleet.make_request("/stream/a", request_id="r")
        forwarding = member.core.get(FORWARDING)
        serving = asyncio.create_task(forwarding.async_forward(request, caller))
        await fleet.clock.async_sleep(3_200)
        assert sum(engine.running for engine in engines) == (0 if active else 1)
        assert (member.core.get(READER_BUFFERS).count_slow() == 1) == active
        await serving
        assert caller.whole and caller.body == make_stream("r", 60)
        assert sum(len(engine.ran) for engine in engines) == 1

    run_fleet(scenario)


def test_a_shed_request_ends_without_an_error() -> None:
    """Guards against a shed stream that runs again at another upstream, or fails its connection's task."""

    async def scenario(readers: Readers) -> None:
        caller = PacedResponder(readers.fleet.clock, rate=500)
        others = [PacedResponder(readers.fleet.clock) for _ in range(60)]
        big = b"x" * 10_000
        async with asyncio.TaskGroup() as group:
            group.create_task(readers.async_serve(caller, big))
            for other in others:
                group.create_task(readers.async_serve(other, big, resumable=False))
        assert caller.aborted and not caller.whole
        written = len(caller.body)
        assert written < len(big) * EVENTS

    run_readers(scenario, memory_mb=64)


@pytest.mark.parametrize("active", [True, False])
def test_a_pause_does_not_last_until_the_deadline(active: bool) -> None:
    """Guards against cutting an answer that its upstream finished in time, because it was not read.

    The caller reads nothing for 2 s; its deadline is after 1.2 s, and the upstream takes 0.7 s.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.features = "buffer-limits" if active else ""
        fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        stall_until = fleet.clock.now() + 2_000.0
        caller = PacedResponder(fleet.clock, socket_bytes=100, read_until=stall_until)
        request = fleet.make_request("/stream/a", request_id="r", deadline_ms=1_200)
        await member.core.get(FORWARDING).async_forward(request, caller)
        assert caller.whole == active and caller.aborted != active
        if active:
            assert caller.body == make_stream("r", 20)

    run_fleet(scenario)
