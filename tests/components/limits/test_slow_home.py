"""Asks that are answered late, by a home that is alive, on virtual time."""

import asyncio
import random
from itertools import count

import pytest
from result import Err

from goldcreststair.clock import Millis
from goldcreststair.components.limits.const import (
    ADMIT_WAIT_MS,
    ASK_INTERVAL_MS,
    ASK_TIMEOUT_MS,
    UNREACHABLE_RETRY_MS,
)
from goldcreststair.components.limits.silence import AskSilence
from tests.components.limits.test_fleet import ACME, Callers, run_fleet
from tests.helpers.virtual_time import VirtualTimeLoop


def stand_still(duration_ms: int) -> None:
    """Let time pass in which nothing of the running loop goes on."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    loop.pause(duration_ms / 1000)


@pytest.mark.parametrize(
    ("late_looks", "silent_ms"),
    [({}, 500), ({3: 40}, 500), ({3: 41}, 691), ({3: 41, 10: 2000}, 3041)],
    ids=["no pause", "look hardly late", "a pause", "two pauses"],
)
def test_silence_is_counted_anew_after_a_late_look(
    late_looks: dict[int, int], silent_ms: int
) -> None:
    """A pause of this process counts as silence, or a look that is hardly late excuses a home."""
    now = 0
    silence = AskSilence(Millis(now))
    for look in count(1):
        pause_ms = silence.find_pause(Millis(now))
        if pause_ms == 0:
            break
        now += pause_ms + late_looks.get(look, 0)
    assert now == silent_ms


@pytest.mark.parametrize("one_way_ms", [75, 125, 200])
def test_late_answer_of_the_home_is_waited_for(one_way_ms: int) -> None:
    """A home on a busy VM answers late and is taken for dead: callers within their rate get 429."""

    async def async_test(callers: Callers) -> None:
        callers.fleet.network.delay_ms = one_way_ms
        assert await callers.async_send(callers.others[0], 5) == 5

    run_fleet(async_test)


@pytest.mark.parametrize("stood_ms", [160, 520, 700, 1200])
def test_pause_of_this_process_is_no_silence_of_the_home(stood_ms: int) -> None:
    """This VM stands still with an answer on its way: what it did not read counts as silence."""

    async def async_test(callers: Callers) -> None:
        sending = asyncio.create_task(callers.async_send(callers.others[0], 5))
        await callers.fleet.clock.async_sleep(1)
        stand_still(stood_ms)
        assert await sending == 5

    run_fleet(async_test)


@pytest.mark.parametrize("stood_ms", [160, 700])
def test_lost_home_is_noticed_after_a_pause_of_this_process(stood_ms: int) -> None:
    """This VM stands still while its home is gone: a pause that excuses any silence holds callers."""

    async def async_test(callers: Callers) -> None:
        callers.fleet.network.delay_ms = 60_000
        sending = asyncio.create_task(callers.async_send(callers.others[0], 5))
        await callers.fleet.clock.async_sleep(1)
        stand_still(stood_ms)
        before = callers.fleet.get_now()
        assert await sending == 0
        assert callers.fleet.get_now() - before <= ASK_TIMEOUT_MS + ASK_INTERVAL_MS

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


def test_lost_home_is_waited_for_once() -> None:
    """A home is gone without a word: every request would be held for the answer that never comes."""

    async def async_test(callers: Callers) -> None:
        fleet, asking = callers.fleet, callers.others[0]
        fleet.network.delay_ms = 60_000
        for longest_ms in (ASK_TIMEOUT_MS, ADMIT_WAIT_MS, ADMIT_WAIT_MS):
            before = fleet.get_now()
            assert await callers.async_send(asking, 5) == 0
            assert fleet.get_now() - before <= longest_ms
            await fleet.clock.async_sleep(UNREACHABLE_RETRY_MS)
        fleet.network.delay_ms = 1
        await fleet.clock.async_sleep(ASK_TIMEOUT_MS)
        assert await callers.async_send(asking, 5) == 5

    run_fleet(async_test)


def test_home_that_was_silent_once_is_trusted_after_a_late_answer() -> None:
    """A home is silent once and slow from then on: each of its answers would come too late."""

    async def async_test(callers: Callers) -> None:
        fleet, asking = callers.fleet, callers.others[0]
        fleet.network.delay_ms = 300
        assert await callers.async_send(asking, 1) == 0
        fleet.network.delay_ms = 100
        assert await callers.async_send(asking, 1) == 0
        await fleet.clock.async_sleep(UNREACHABLE_RETRY_MS)
        for _ in range(5):
            assert await callers.async_send(asking, 2) == 2

    run_fleet(async_test)


def test_new_home_is_not_blamed_for_the_silence_of_the_old_one() -> None:
    """A lost home has a successor that is slow at first: its callers would be refused once more."""

    async def async_test(callers: Callers) -> None:
        fleet, (asking, other) = callers.fleet, callers.others[:2]
        ledger = fleet.vms[asking].ledger
        ledger.stale[ledger.find_index(f"customer/{ACME.name}")] = other
        fleet.network.delay_ms = 60_000
        assert await callers.async_send(asking, 5) == 0
        fleet.network.delay_ms = 100
        await fleet.clock.async_sleep(UNREACHABLE_RETRY_MS)
        assert await callers.async_send(asking, 5) == 5

    run_fleet(async_test)


@pytest.mark.parametrize(
    ("deadline_ms", "stood_ms"), [(0, 0), (100, 0), (300, 0), (300, 160), (300, 290)]
)
def test_caller_is_answered_before_its_deadline(deadline_ms: int, stood_ms: int) -> None:
    """A caller with little time left waits for a slow home beyond its deadline."""

    async def async_test(callers: Callers) -> None:
        fleet = callers.fleet
        fleet.network.delay_ms = 60_000
        before = fleet.get_now()
        limits = fleet.vms[callers.others[0]].limits
        admitting = asyncio.create_task(limits.async_admit(ACME, Millis(before + deadline_ms)))
        await asyncio.sleep(0)
        stand_still(stood_ms)
        assert isinstance(await admitting, Err)
        assert fleet.get_now() - before <= deadline_ms

    run_fleet(async_test)


@pytest.mark.parametrize("seed", range(5))
def test_bound_holds_while_answers_are_late(seed: int) -> None:
    """Late answers are used beside new asks, and the fleet admits more than rate and burst."""

    async def async_test(callers: Callers) -> None:
        rng = random.Random(seed)
        streams = [
            asyncio.create_task(callers.async_stream(vm, 20, 15)) for vm in callers.fleet.vms
        ]
        while not all(stream.done() for stream in streams):
            callers.fleet.network.delay_ms = rng.choice([1, 40, 100, 200, 260, 400])
            await callers.fleet.clock.async_sleep(rng.choice([50, 300, 1000]))

    run_fleet(async_test)
