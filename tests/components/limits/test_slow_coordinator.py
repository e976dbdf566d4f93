"""Token requests that a live coordinator answers late, on virtual time."""

import asyncio
import random
from itertools import count

import pytest
from result import Err

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import (
    ADMIT_WAIT_MS,
    REQUEST_INTERVAL_MS,
    REQUEST_TIMEOUT_MS,
    UNREACHABLE_RETRY_MS,
)
from goldcreststair.components.limits.response_timer import ResponseTimer
from tests.components.limits.test_fleet import ACME, Callers, run_fleet
from tests.helpers.virtual_time import VirtualTimeLoop


def pause_process(duration_ms: int) -> None:
    """Let time pass while the running loop does nothing."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.pause(duration_ms / 1000)


@pytest.mark.parametrize(
    ("late_checks", "silent_ms"),
    [({}, 500), ({3: 40}, 500), ({3: 41}, 691), ({3: 41, 10: 2000}, 3041)],
    ids=["no pause", "check hardly late", "a pause", "two pauses"],
)
def test_timeout_starts_anew_after_a_late_check(
    late_checks: dict[int, int], silent_ms: int
) -> None:
    """A pause of this process counts towards the timeout, or a hardly late check restarts it."""
    now = 0
    timer = ResponseTimer(Millis(now))
    for check in count(1):
        pause_ms = timer.next_wait_ms(Millis(now))
        if pause_ms == 0:
            break
        now += pause_ms + late_checks.get(check, 0)
    assert now == silent_ms


@pytest.mark.parametrize("one_way_ms", [75, 125, 200])
def test_waits_for_a_late_answer_of_the_coordinator(one_way_ms: int) -> None:
    """A busy coordinator answers late and is considered lost: callers within their rate get 429."""

    async def async_test(callers: Callers) -> None:
        callers.fleet.network.delay_ms = one_way_ms
        assert await callers.async_send(callers.others[0], 5) == 5

    run_fleet(async_test)


@pytest.mark.parametrize("paused_ms", [160, 520, 700, 1200])
def test_pause_of_this_process_is_no_timeout_of_the_coordinator(paused_ms: int) -> None:
    """This VM is paused while an answer arrives: the unread answer counts as missing."""

    async def async_test(callers: Callers) -> None:
        sending = asyncio.create_task(callers.async_send(callers.others[0], 5))
        await callers.fleet.clock.async_sleep(1)
        pause_process(paused_ms)
        assert await sending == 5

    run_fleet(async_test)


@pytest.mark.parametrize("paused_ms", [160, 700])
def test_lost_coordinator_is_noticed_after_a_pause_of_this_process(paused_ms: int) -> None:
    """This VM is paused while the coordinator is lost: callers must not wait too long."""

    async def async_test(callers: Callers) -> None:
        callers.fleet.network.delay_ms = 60_000
        sending = asyncio.create_task(callers.async_send(callers.others[0], 5))
        await callers.fleet.clock.async_sleep(1)
        pause_process(paused_ms)
        before = callers.fleet.get_now()
        assert await sending == 0
        assert callers.fleet.get_now() - before <= REQUEST_TIMEOUT_MS + REQUEST_INTERVAL_MS

    run_fleet(async_test)


@pytest.mark.parametrize("after_ms", [5, 20])
def test_request_waits_for_the_token_request_after_the_active_one(after_ms: int) -> None:
    """A request arrives during another's token request and times out before its own is sent."""

    async def async_test(callers: Callers) -> None:
        callers.fleet.network.delay_ms = 40
        first = asyncio.create_task(callers.async_send(callers.others[0], 1))
        await callers.fleet.clock.async_sleep(after_ms)
        assert await callers.async_send(callers.others[0], 1) == 1
        assert await first == 1

    run_fleet(async_test)


def test_waits_only_once_for_a_lost_coordinator() -> None:
    """A coordinator is lost: every request would wait for an answer that never arrives."""

    async def async_test(callers: Callers) -> None:
        fleet, requesting = callers.fleet, callers.others[0]
        fleet.network.delay_ms = 60_000
        for longest_ms in (REQUEST_TIMEOUT_MS, ADMIT_WAIT_MS, ADMIT_WAIT_MS):
            before = fleet.get_now()
            assert await callers.async_send(requesting, 5) == 0
            assert fleet.get_now() - before <= longest_ms
            await fleet.clock.async_sleep(UNREACHABLE_RETRY_MS)
        fleet.network.delay_ms = 1
        await fleet.clock.async_sleep(REQUEST_TIMEOUT_MS)
        assert await callers.async_send(requesting, 5) == 5

    run_fleet(async_test)


def test_late_answer_ends_the_refusals_at_once() -> None:
    """A coordinator times out once and is slow from then on: each answer would be too late."""

    async def async_test(callers: Callers) -> None:
        fleet, requesting = callers.fleet, callers.others[0]
        fleet.network.delay_ms = 300
        assert await callers.async_send(requesting, 1) == 0
        fleet.network.delay_ms = 100
        assert await callers.async_send(requesting, 1) == 0
        await fleet.clock.async_sleep(UNREACHABLE_RETRY_MS)
        for _ in range(5):
            assert await callers.async_send(requesting, 2) == 2

    run_fleet(async_test)


def test_new_coordinator_is_awaited_after_a_timeout_of_the_old_one() -> None:
    """The successor of a lost coordinator is slow at first: its callers would be refused again."""

    async def async_test(callers: Callers) -> None:
        fleet, (requesting, other) = callers.fleet, callers.others[:2]
        ledger = fleet.vms[requesting].ledger
        ledger.stale[ledger.find_index(f"customer/{ACME.name}")] = other
        fleet.network.delay_ms = 60_000
        assert await callers.async_send(requesting, 5) == 0
        fleet.network.delay_ms = 100
        await fleet.clock.async_sleep(UNREACHABLE_RETRY_MS)
        assert await callers.async_send(requesting, 5) == 5

    run_fleet(async_test)


@pytest.mark.parametrize(
    ("deadline_ms", "paused_ms"), [(0, 0), (100, 0), (300, 0), (300, 160), (300, 290)]
)
def test_caller_is_answered_before_its_deadline(deadline_ms: int, paused_ms: int) -> None:
    """A caller with little time left waits for a slow coordinator beyond its deadline."""

    async def async_test(callers: Callers) -> None:
        fleet = callers.fleet
        fleet.network.delay_ms = 60_000
        before = fleet.get_now()
        limits = fleet.vms[callers.others[0]].limits
        admitting = asyncio.create_task(limits.async_admit(ACME, Millis(before + deadline_ms)))
        await asyncio.sleep(0)
        pause_process(paused_ms)
        assert isinstance(await admitting, Err)
        assert fleet.get_now() - before <= deadline_ms

    run_fleet(async_test)


@pytest.mark.parametrize("seed", range(5))
def test_bound_holds_while_answers_are_late(seed: int) -> None:
    """Late answers are used beside new token requests, and the fleet admits too much."""

    async def async_test(callers: Callers) -> None:
        rng = random.Random(seed)
        streams = [
            asyncio.create_task(callers.async_stream(vm, 20, 15)) for vm in callers.fleet.vms
        ]
        while not all(stream.done() for stream in streams):
            callers.fleet.network.delay_ms = rng.choice([1, 40, 100, 200, 260, 400])
            await callers.fleet.clock.async_sleep(rng.choice([50, 300, 1000]))

    run_fleet(async_test)
