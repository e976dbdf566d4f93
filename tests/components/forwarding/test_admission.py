"""Which requests are refused, and what the refusal promises."""

import asyncio
from dataclasses import replace

import pytest

from goldcreststair.components.fleet.const import ISOLATED_MS
from goldcreststair.components.forwarding.protocols import FORWARDING
from goldcreststair.helpers.refusals import RefusalCode
from standins.gateways import FakeResponder, GatewayFleet
from tests.helpers.gateways import async_send, run_fleet


@pytest.mark.parametrize(
    ("path", "key", "code", "status"),
    [
        ("/unknown/a", "key-club", RefusalCode.UNKNOWN_ROUTE, 404),
        ("/stream/a", "", RefusalCode.INVALID_KEY, 401),
        ("/stream/a", "key-other", RefusalCode.INVALID_KEY, 401),
    ],
)
def test_a_bad_request_is_refused_by_name(
    path: str, key: str, code: RefusalCode, status: int
) -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        responder = FakeResponder(fleet.clock)
        request = replace(fleet.make_request(path), key=key)
        await member.core.get(FORWARDING).async_forward(request, responder)
        assert responder.refusal is not None
        assert (responder.refusal.code, responder.refusal.status) == (code, status)

    run_fleet(scenario)


def test_callers_of_a_daemon_whose_store_is_silent_come_back_later() -> None:
    """All VMs had restarted while the store was silent, and callers used up their returns within a second.

    Each was told to come back after half a second, met the same outage, and got no answer at all although
    the store was back before its time was over.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.store.faults.down = True
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_500)
        answer = await async_send(fleet, member, "/stream/a", deadline_ms=5_000)
        assert answer.refusal is not None and answer.refusal.not_run
        assert answer.refusal.retry_after_ms == 1_500

    run_fleet(scenario)


def test_a_daemon_without_a_catalogue_refuses_for_now() -> None:
    """Callers with good keys were told 401 by a VM that had just started while the store was away.

    A daemon that knows no version cannot tell a good key from a bad one, and says when to come back.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.store.faults.down = True
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        answer = await async_send(fleet, member, "/stream/a")
        assert answer.refusal is not None and answer.refusal.not_run
        assert answer.refusal.code is RefusalCode.NOT_READY and answer.refusal.retry_after_ms > 0

    run_fleet(scenario)


def test_a_daemon_that_hears_nobody_takes_no_requests() -> None:
    """A withdrawn key went on working at one VM.

    The VM was cut off from the store and from all others, so that no news could reach it. After some
    seconds it must refuse what it cannot know to be allowed, and serve again when it is back.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        first, second, third = await fleet.async_add_many(3)
        await fleet.clock.async_sleep(1_000)
        for other in (second, third):
            fleet.datagrams.cut(first.address, other.address)
        first.view.cut = True
        await fleet.clock.async_sleep(ISOLATED_MS // 2)
        assert (await async_send(fleet, first, "/stream/a")).whole
        await fleet.clock.async_sleep(ISOLATED_MS)
        answer = await async_send(fleet, first, "/stream/a")
        assert answer.refusal is not None and answer.refusal.code is RefusalCode.NOT_READY
        assert (await async_send(fleet, second, "/stream/a")).whole
        fleet.datagrams.heal()
        first.view.cut = False
        await fleet.clock.async_sleep(1_000)
        assert (await async_send(fleet, first, "/stream/a")).whole

    run_fleet(scenario)


def test_a_withdrawn_key_reaches_a_daemon_that_the_store_turns_away() -> None:
    """A key was taken away, and one VM of ten let it in for as long as the store turned that VM away.

    The others have the newer version: the VM learns of it from their beacons and asks one for it.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        first, _ = await fleet.async_add_many(2)
        await fleet.clock.async_sleep(1_000)
        first.view.cut = True
        fleet.write_catalogue(version=5, keys={"key-new": "club"})
        await fleet.clock.async_sleep(2_000)
        answer = await async_send(fleet, first, "/stream/a")
        assert answer.refusal is not None and answer.refusal.code is RefusalCode.INVALID_KEY

    run_fleet(scenario)


def test_an_older_version_never_comes_into_force_again() -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        fleet.write_catalogue(version=5, keys={"key-new": "club"})
        await fleet.clock.async_sleep(500)
        fleet.write_catalogue(version=4)
        await fleet.clock.async_sleep(500)
        answer = await async_send(fleet, member, "/stream/a")
        assert answer.refusal is not None and answer.refusal.code is RefusalCode.INVALID_KEY

    run_fleet(scenario)


def test_an_unreadable_version_leaves_the_one_in_force() -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        fleet.write_catalogue(version=5, routes=({"prefix": "/stream/"},))
        await fleet.clock.async_sleep(500)
        assert (await async_send(fleet, member, "/stream/a")).whole

    run_fleet(scenario)


def test_a_burst_beyond_all_slots_is_sent_away_at_once_and_served_when_it_comes_back() -> None:
    """On Thursday night every secretary waited, and all answers were late for long after the rush.

    More requests came than the engines have slots. Queued regardless, the whole rush is late; sent away
    at once with a time to come back, most of it is served in time. Who comes back is not sent away again.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(2)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_000)
        began = fleet.clock.now()
        burst = [async_send(fleet, member, f"/stream/{n}") for n in range(60)]
        answers = await asyncio.gather(*burst)
        refused = [answer for answer in answers if answer.refusal is not None]
        served = [answer for answer in answers if answer.whole]
        assert refused and len(served) >= 16
        assert all(answer.ended_at == began for answer in refused)
        assert all(answer.refusal.not_run for answer in refused if answer.refusal)
        retries = [answer.refusal.retry_after_ms for answer in refused if answer.refusal]
        assert min(retries) >= 300 and max(retries) <= 5_000 * 0.3
        back = [async_send(fleet, member, f"/stream/{n}", deadline_ms=4_000) for n in range(30)]
        assert all(answer.whole for answer in await asyncio.gather(*back))

    run_fleet(scenario)
