"""Tests of admission: refusal codes, statuses and retry-after times."""

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
def test_bad_request_is_refused_with_code_and_status(
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


def test_retry_after_is_longer_while_the_store_is_unavailable() -> None:
    """Guards against callers that use up their retries within one store outage.

    All VMs had restarted during the outage. With a retry-after time of half a second each caller met the
    same outage again and got no answer, although the store was back before its deadline.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.store.faults.down = True
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(1_500)
        answer = await async_send(fleet, member, "/stream/a", deadline_ms=5_000)
        assert answer.refusal is not None and answer.refusal.not_run
        assert answer.refusal.retry_after_ms == 1_500

    run_fleet(scenario)


def test_daemon_without_a_catalogue_refuses_with_retry_after() -> None:
    """Guards against a 401 for valid keys from a VM that starts while the store is unavailable.

    A daemon without a catalogue cannot tell a valid key from an invalid one, so its refusal is temporary.
    """

    async def scenario(fleet: GatewayFleet) -> None:
        fleet.store.faults.down = True
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        answer = await async_send(fleet, member, "/stream/a")
        assert answer.refusal is not None and answer.refusal.not_run
        assert answer.refusal.code is RefusalCode.NOT_READY and answer.refusal.retry_after_ms > 0

    run_fleet(scenario)


def test_isolated_daemon_refuses_requests() -> None:
    """Guards against a withdrawn key that keeps working at a VM cut off from the store and all other VMs.

    No update can reach such a VM. After a few seconds it must refuse requests, and serve again once it is
    reconnected.
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
        fleet.datagrams.clear_cuts()
        first.view.cut = False
        await fleet.clock.async_sleep(1_000)
        assert (await async_send(fleet, first, "/stream/a")).whole

    run_fleet(scenario)


def test_withdrawn_key_reaches_a_daemon_without_the_store() -> None:
    """Guards against a withdrawn key that stays valid at the one VM that cannot reach the store.

    The other VMs have the newer catalogue: their beacons announce its version, and the VM fetches it from
    one of them.
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


def test_older_catalogue_version_is_ignored() -> None:
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


def test_unreadable_catalogue_version_keeps_the_current_one() -> None:
    async def scenario(fleet: GatewayFleet) -> None:
        fleet.add_engines(1)
        (member,) = await fleet.async_add_many(1)
        await fleet.clock.async_sleep(500)
        fleet.write_catalogue(version=5, routes=({"prefix": "/stream/"},))
        await fleet.clock.async_sleep(500)
        assert (await async_send(fleet, member, "/stream/a")).whole

    run_fleet(scenario)


def test_burst_beyond_all_slots_is_refused_at_once_and_served_on_retry() -> None:
    """Guards against late answers for a whole burst, and long after it.

    More requests arrive than the engines have slots. If all of them queued, all would be late; if the
    excess is refused at once with a retry-after time, most are served in time. Retries are not refused.
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
        again = [async_send(fleet, member, f"/stream/{n}", deadline_ms=4_000) for n in range(30)]
        assert all(answer.whole for answer in await asyncio.gather(*again))

    run_fleet(scenario)
