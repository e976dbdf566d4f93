"""Tests that a withdrawn key stops working on all VMs within seconds, with or without the store."""

import asyncio
import dataclasses
import functools

import pytest
from result import Err, Ok

from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.keys.protocols import KEYS
from goldcreststair.components.keys.withdrawal import WITHDRAWALS
from goldcreststair.helpers.api_keys import hash_key
from goldcreststair.store.models import ListedState, ListedVm
from standins.daemons import FakeDaemon, FakeDaemons
from standins.platform.store import FakePlatform
from tests.helpers.cores import make_document
from tests.helpers.daemons import run_fleet, share_platform

KEY = "key-acme"
KEY_HASH = hash_key(KEY)


async def async_start_fleet(fleet: FakeDaemons, count: int) -> list[FakeDaemon]:
    daemons = await fleet.async_add_many(count)
    follower = daemons[0].core.get(CONFIGURATION_FOLLOWER)
    assert isinstance(await follower.async_patch(0, "p1", make_document()), Ok)
    await asyncio.sleep(20)
    return daemons


def works(daemon: FakeDaemon) -> bool:
    return isinstance(daemon.core.get(KEYS).identify(KEY), Ok)


@pytest.mark.parametrize(("count", "store_down"), [(3, False), (3, True), (40, True)])
def test_withdrawal_reaches_connected_callers_of_every_vm(count: int, store_down: bool) -> None:
    """A key is withdrawn while callers are connected to other VMs, with or without the store.

    Each VM must end running requests with that key and refuse new ones within three seconds. The result
    says whether the withdrawal is durable; it becomes durable when the store is back.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await async_start_fleet(fleet, count)
        assert all(works(daemon) for daemon in daemons)
        ended: list[str] = []
        for daemon in daemons:
            daemon.core.get(KEYS).watch(KEY_HASH, functools.partial(ended.append, daemon.address))
        fleet.platform.faults.down = store_down
        withdrawing = asyncio.create_task(daemons[1].core.get(WITHDRAWALS).async_withdraw(KEY_HASH))
        await fleet.async_wait(lambda: not any(works(daemon) for daemon in daemons), 3000)
        assert sorted(ended) == sorted(daemon.address for daemon in daemons)
        assert (await withdrawing).durable is not store_down
        fleet.platform.faults.down = False
        await fleet.async_wait(
            lambda: all(
                KEY_HASH in d.core.blackboard.read(CONFIGURATION).withdrawn for d in daemons
            ),
            30_000,
        )

    run_fleet(async_test)


def test_withdrawal_survives_the_loss_of_its_vm() -> None:
    """The VM that received the call is lost before the store is back; the others complete it."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await async_start_fleet(fleet, 3)
        fleet.platform.faults.down = True
        receiver = fleet.running.pop(0)
        withdrawing = asyncio.create_task(receiver.core.get(WITHDRAWALS).async_withdraw(KEY_HASH))
        await asyncio.sleep(1)
        withdrawing.cancel()
        await receiver.async_close()
        fleet.platform.faults.down = False
        await fleet.async_wait(
            lambda: all(
                KEY_HASH in d.core.blackboard.read(CONFIGURATION).withdrawn for d in daemons[1:]
            ),
            90_000,
        )

    run_fleet(async_test)


def test_lost_answer_makes_the_withdrawal_durable_once() -> None:
    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await async_start_fleet(fleet, 3)
        fleet.platform.faults.lose_answers = 1
        done = await daemons[2].core.get(WITHDRAWALS).async_withdraw(KEY_HASH)
        assert done.durable
        assert daemons[2].core.blackboard.read(CONFIGURATION).version == 2

    run_fleet(async_test)


def test_isolated_vm_refuses_temporarily() -> None:
    """A VM reaches neither the store nor its peers, while a key may be withdrawn elsewhere.

    Its callers are still connected. It must refuse temporarily, so that they retry at another VM, and
    must not report the key as invalid.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        await async_start_fleet(fleet, 3)
        private = share_platform(fleet)
        isolated = await fleet.async_add(private.as_platform())
        await fleet.async_wait(lambda: works(isolated), 10_000)
        private.faults.down = True
        fleet.isolate(isolated)
        await asyncio.sleep(25)
        refused = isolated.core.get(KEYS).identify(KEY)
        assert isinstance(refused, Err)
        assert refused.err_value.temporary

    run_fleet(async_test)


def test_vm_started_during_an_outage_receives_pending_withdrawals() -> None:
    """A key is withdrawn while the store is down, and a VM starts before the store is back."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await async_start_fleet(fleet, 3)
        fleet.platform.faults.down = True
        await daemons[0].core.get(WITHDRAWALS).async_withdraw(KEY_HASH)
        listing = FakePlatform(fleet.clock)
        listing.set_vms([ListedVm(daemons[1].address, "dc1", ListedState.LIVE)])
        mixed_platform = dataclasses.replace(listing.as_platform(), table=fleet.platform)
        newcomer = await fleet.async_add(mixed_platform)
        for _ in range(200):
            assert not works(newcomer)
            await asyncio.sleep(0.1)
        assert newcomer.core.blackboard.read(CONFIGURATION).version == 1

    run_fleet(async_test)


def test_request_identified_just_before_the_withdrawal_ends_too() -> None:
    """Guards against a long request that continues for a minute under a withdrawn key.

    The VM identifies the key, the withdrawal arrives while the body is still being read, and only then
    the request starts to watch its key, too late for a notification.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        (daemon,) = await async_start_fleet(fleet, 1)
        keys = daemon.core.get(KEYS)
        identity = keys.identify("key-acme").unwrap()
        await daemon.core.get(WITHDRAWALS).async_withdraw(identity.key_hash)
        ended: list[bool] = []
        unwatch = keys.watch(identity.key_hash, lambda: ended.append(True))
        unwatch()
        assert ended == [True]

    run_fleet(async_test)
