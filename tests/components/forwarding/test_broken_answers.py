"""Answers that their upstreams break off never reach a caller or a result list as whole ones."""

import asyncio
from dataclasses import replace

import pytest

from standins.gateways import GatewayFleet
from standins.run_engines import BrokenAnswer, RunEngine, make_event, make_stream, make_text
from tests.helpers.gateways import async_read, async_send, async_submit, run_fleet

HALF_EVENT = b"id: 1\nda"
BROKEN = {
    "half an event": BrokenAnswer(rest=HALF_EVENT),
    "half an event in a framed answer": BrokenAnswer(rest=HALF_EVENT, ended_by_close=False),
    "nothing behind the head": BrokenAnswer(),
    "an event without a number": BrokenAnswer(rest=b"data: x\n\n"),
    "an event without a readable number": BrokenAnswer(rest=b"id: x\ndata: x\n\n"),
    "a later event first": BrokenAnswer(rest=make_event("r", 2), ended_by_close=False),
    "a comment and half a field": BrokenAnswer(rest=b": note\n\nid"),
    "half a comment": BrokenAnswer(rest=b": no"),
}
broken_answers = pytest.mark.parametrize("broken", BROKEN.values(), ids=BROKEN.keys())


async def async_prepare(fleet: GatewayFleet, engines: int) -> list[RunEngine]:
    """Start one daemon and some engines."""
    added = fleet.add_engines(engines)
    await fleet.async_add_many(1)
    await fleet.clock.async_sleep(500)
    return added


@broken_answers
@pytest.mark.parametrize(("path", "attempts"), [("/once/a", 1), ("/stream/a", 2)])
def test_a_stream_broken_off_before_its_first_event_gets_no_success(
    broken: BrokenAnswer, path: str, attempts: int
) -> None:
    """Guards against a stream that its engine broke off and that looks complete and empty."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_prepare(fleet, 3)
        for engine in engines:
            engine.broken = [broken]
        answer = await async_send(fleet, fleet.members[0], path, request_id="r")
        assert answer.refusal is not None and answer.head is None and not answer.whole
        # A status of 429 or 503 would promise that nothing has run.
        assert answer.refusal.status == 502 and not answer.refusal.not_run
        assert sum(len(engine.ran) for engine in engines) == attempts

    run_fleet(scenario)


@broken_answers
@pytest.mark.parametrize("events", [0, 5])
def test_a_broken_off_stream_goes_on_elsewhere(broken: BrokenAnswer, events: int) -> None:
    """Guards against a stream that is lost, joined wrongly or under the head of a run that sent no event."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_prepare(fleet, 3)
        rest = broken.rest.replace(b"id: 1", b"id: 6") if events else broken.rest
        for engine in engines:
            engine.broken = [replace(broken, events=events, rest=rest)]
        sending = asyncio.create_task(
            async_send(fleet, fleet.members[0], "/stream/a", request_id="r")
        )
        await fleet.clock.async_sleep(20)
        first = next(engine for engine in engines if engine.running)
        for engine in engines:
            if engine is not first:
                engine.broken.clear()
        answer = await sending
        if rest or not events:
            last = next(engine for engine in engines if engine.ran and engine is not first)
            assert answer.whole and answer.body == make_stream("r", 20)
            assert answer.head is not None
            assert answer.head.headers[0][1] == (first if events else last).name

    run_fleet(scenario)


def test_comments_between_events_are_passed_on() -> None:
    """Guards against a stream that is cut for a comment, which is no event."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_prepare(fleet, 1)
        events = [make_event("r", number) for number in (1, 2)]
        rest = b": one\n\n" + events[0] + b": two\n\n" + events[1] + b": three\n\n"
        engines[0].broken = [BrokenAnswer(rest=rest, ended_by_close=False)]
        answer = await async_send(fleet, fleet.members[0], "/once/a", request_id="r")
        assert answer.whole and answer.body == rest.removesuffix(b": three\n\n")

    run_fleet(scenario)


@pytest.mark.parametrize("status", [400, 404, 409, 499, 500])
def test_a_begun_stream_ends_if_its_next_run_is_answered_with_a_failure(status: int) -> None:
    """Guards against a caller that waits for the rest of a stream that nobody sends."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_prepare(fleet, 2)
        sending = asyncio.create_task(
            async_send(fleet, fleet.members[0], "/stream/a", request_id="r")
        )
        await fleet.clock.async_sleep(200)
        first = next(engine for engine in engines if engine.running)
        for engine in engines:
            engine.fail_status = status
        first.up = False
        answer = await sending
        assert answer.aborted and not answer.whole
        assert answer.body and make_stream("r", 20).startswith(answer.body)

    run_fleet(scenario)


@pytest.mark.parametrize("status", [400, 409])
def test_a_failure_of_the_first_run_reaches_the_caller(status: int) -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_prepare(fleet, 1)
        engines[0].fail_status = status
        answer = await async_send(fleet, fleet.members[0], "/stream/a", request_id="r")
        assert answer.whole and answer.head is not None and answer.head.status == status

    run_fleet(scenario)


@broken_answers
@pytest.mark.parametrize("events", [0, 5])
def test_an_item_that_is_broken_off_has_its_whole_text(broken: BrokenAnswer, events: int) -> None:
    """Guards against an item that is listed as done with a part of its text."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = await async_prepare(fleet, 2)
        rest = broken.rest.replace(b"id: 1", b"id: 6") if events else broken.rest
        half = b"id: 6\nda" if events else b""
        for engine in engines:
            engine.broken = [replace(broken, events=events, rest=rest or half)]
        await async_submit(fleet, fleet.members[0], "j", 1)
        await fleet.clock.async_sleep(10_000)
        (result,) = (await async_read(fleet.members[0], "j")).results
        assert result.done and result.text == make_text("j-0", 20)

    run_fleet(scenario)
