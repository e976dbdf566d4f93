"""Asks that are answered late, by a home that is alive, on virtual time."""

import asyncio

import pytest

from tests.components.limits.test_fleet import Callers, run_fleet


@pytest.mark.parametrize("one_way_ms", [75, 125, 200])
def test_late_answer_of_the_home_is_waited_for(one_way_ms: int) -> None:
    """A home on a busy VM answers late and is taken for dead: callers within their rate get 429."""

    async def async_test(callers: Callers) -> None:
        callers.fleet.network.delay_ms = one_way_ms
        assert await callers.async_send(callers.others[0], 5) == 5

    run_fleet(async_test)


@pytest.mark.parametrize("after_ms", [5, 20])
def test_request_waits_for_the_ask_after_the_one_under_way(after_ms: int) -> None:
    """A request that comes while another's ask is under way runs out of time before its own ask."""

    async def async_test(callers: Callers) -> None:
        callers.fleet.network.delay_ms = 40
        first = asyncio.create_task(callers.async_send(callers.others[0], 1))
        await callers.fleet.clock.async_sleep(after_ms)
        assert await callers.async_send(callers.others[0], 1) == 1
        assert await first == 1

    run_fleet(async_test)
