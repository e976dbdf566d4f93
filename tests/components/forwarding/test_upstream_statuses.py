"""Statuses by which a caller is told that its request has not run, whatever its upstreams answer."""

from itertools import product

import pytest

from goldcreststair.helpers.refusals import PROMISE_STATUSES
from standins.gateways import FakeResponder, GatewayFleet
from standins.run_engines import BrokenAnswer, RunEngine
from tests.helpers.gateways import async_read, async_send, async_submit, run_fleet

ONCE = ("/once/a", "/book/a")
"""Paths of requests that may run once only."""
REPEATABLE = ("/call/a", "/stream/a")
UNTRUE = (408, 429, 503)
"""Statuses that promise "not run"; 421 is one that only upstreams send that did not run a request."""
ANSWERS = ("refuses", "resets", "408", "429", "503", "500", "breaks off", "answers")


def prepare(engine: RunEngine, answer: str) -> None:
    """Let an engine answer all requests in the same way."""
    engine.refuse = answer == "refuses"
    engine.reset = answer == "resets"
    engine.fail_status = int(answer) if answer.isdecimal() else 0
    engine.broken = [BrokenAnswer()] * 9 if answer == "breaks off" else []


def read_status(answer: FakeResponder) -> int:
    """Return the status that the caller got; 0 if its connection was closed instead."""
    if answer.refusal is not None:
        return answer.refusal.status
    return 0 if answer.head is None or answer.aborted else answer.head.status


@pytest.mark.parametrize("status", UNTRUE)
@pytest.mark.parametrize("path", ONCE + REPEATABLE)
def test_a_status_of_an_upstream_is_no_promise(path: str, status: int) -> None:
    """A request that had run was answered "not run, and never will be", so that its caller sent it again."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(3)
        for engine in engines:
            engine.fail_status = status
        await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        answer = await async_send(fleet, fleet.members[0], path)
        assert answer.refusal is not None and answer.head is None
        assert (answer.refusal.status, answer.refusal.not_run) == (502, False)
        assert answer.refusal.retry_after_ms == 0
        assert sum(len(engine.ran) for engine in engines) == (1 if path in ONCE else 2)

    run_fleet(scenario)


@pytest.mark.parametrize("status", UNTRUE)
@pytest.mark.parametrize("path", REPEATABLE)
def test_a_repeatable_request_runs_elsewhere_after_such_a_status(path: str, status: int) -> None:
    """A caller got the failure of one upstream while all others could serve its request."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        await async_send(fleet, fleet.members[0], path)
        preferred = next(engine for engine in engines if engine.ran)
        preferred.fail_status = status
        answer = await async_send(fleet, fleet.members[0], path, request_id="r")
        assert read_status(answer) == 200
        assert [engine.ran[-1].request_id for engine in engines] == ["r", "r"]

    run_fleet(scenario)


@pytest.mark.parametrize("path", ONCE + REPEATABLE)
def test_promises_hold_after_every_pair_of_answers(path: str) -> None:
    """One upstream's word that it has not run a request was taken for all of its runs."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        for number, answers in enumerate(product(ANSWERS, repeat=2)):
            for engine, answer in zip(engines, answers, strict=True):
                prepare(engine, answer)
                engine.ran.clear()
            request_id = f"r{number}"
            status = read_status(
                await async_send(fleet, fleet.members[0], path, request_id=request_id)
            )
            ran = sum(len(engine.ran) for engine in engines)
            if status in PROMISE_STATUSES:
                assert not ran, (answers, status)
            if answers == ("refuses", "refuses"):
                assert status == 503, answers
            if path in ONCE:
                assert ran <= 1, answers
            await fleet.clock.async_sleep(3_000)

    run_fleet(scenario)


@pytest.mark.parametrize("status", UNTRUE)
def test_an_item_runs_again_after_such_a_status(status: int) -> None:
    """An item was given up, or never looked at again, for a status that says nothing about the item."""

    async def scenario(fleet: GatewayFleet) -> None:
        engines = fleet.add_engines(2)
        await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        for engine in engines:
            engine.fail_status = status
        await async_submit(fleet, fleet.members[0], "j", 2)
        await fleet.clock.async_sleep(10_000)
        assert not (await async_read(fleet.members[0], "j")).results
        # Each run is followed by a longer pause, up to two seconds.
        assert sum(len(engine.ran) for engine in engines) <= 2 * 12
        for engine in engines:
            engine.fail_status = 0
        await fleet.clock.async_sleep(6_000)
        page = await async_read(fleet.members[0], "j")
        assert [result.done for result in page.results] == [True, True]

    run_fleet(scenario)
