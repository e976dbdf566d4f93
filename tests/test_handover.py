"""Limits of a customer while VMs join and leave, with ledger, limits and claims together."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

import pytest
from result import Ok

from goldcreststair.clock import LoopClock
from goldcreststair.components import claims, ledger, limits
from goldcreststair.components.configuration.models import Customer
from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.limits.coordinators import find_customer_index
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.components.membership.models import MemberState
from goldcreststair.components.membership.protocols import MEMBERSHIP
from standins.daemons import CONTROL, FakeDaemon, FakeDaemons
from standins.measure.control import async_patch
from standins.network import FakeNetwork
from standins.platform.store import FakePlatform
from tests.helpers.virtual_time import run_virtual

ACME = Customer("acme", 20.0, 40)
PAUSE_MS = 80
"""12.5 requests a second, within the rate of 20."""
LONGEST_WAIT_MS = 150


def find_coordinator(fleet: FakeDaemons) -> FakeDaemon:
    def is_coordinator(daemon: FakeDaemon) -> bool:
        daemon_ledger = daemon.core.get(LEDGER)
        return daemon_ledger.get_owned(find_customer_index(daemon_ledger, ACME.name)) is not None

    return next(daemon for daemon in fleet.running if is_coordinator(daemon))


async def async_leave(fleet: FakeDaemons) -> None:
    find_coordinator(fleet).core.get(MEMBERSHIP).set_state(MemberState.LEAVING)
    await fleet.clock.async_sleep(5_000)


async def async_join_until_coordinator_moves(fleet: FakeDaemons) -> None:
    coordinator = find_coordinator(fleet)
    for _ in range(8):
        await fleet.async_add()
        await fleet.clock.async_sleep(4_000)
        if find_coordinator(fleet) is not coordinator:
            return
    raise AssertionError("the coordinator never moved")


@pytest.mark.parametrize("async_change", [async_leave, async_join_until_coordinator_moves])
def test_a_customer_within_its_rate_is_served_while_its_coordinator_moves(
    async_change: Callable[[FakeDaemons], Coroutine[Any, Any, None]],
) -> None:
    """A customer uses two thirds of its rate while its coordinator leaves or a VM joins.

    The customer's partition changes its owner. Requests were refused or delayed for up to a second,
    until the next owner had claimed it, although no VM had failed.
    """

    async def async_test() -> None:
        clock = LoopClock()
        platform = FakePlatform(clock)
        platform.faults.slow_ms = 5
        setups = (*CONTROL, ledger.async_setup, claims.async_setup, limits.async_setup)
        fleet = FakeDaemons(clock, platform, FakeNetwork(clock), setups)
        first, *_ = await fleet.async_add_many(4)
        await async_patch(first, {"customers": {"acme": {"rate_per_s": 20, "burst": 40}}})
        await clock.async_sleep(20_000)
        changing = asyncio.create_task(async_change(fleet))
        rng = random.Random(1)
        tasks = []
        while not changing.done():
            tasks.append(asyncio.create_task(async_admit(rng.choice(fleet.running))))
            await clock.async_sleep(PAUSE_MS)
        await changing
        waits = await asyncio.gather(*tasks)
        assert len(waits) > 40
        assert max(waits) <= LONGEST_WAIT_MS
        await fleet.async_close()

    run_virtual(async_test())


async def async_admit(daemon: FakeDaemon) -> int:
    """Return how long a request waited for its admission."""
    started_at = daemon.core.clock.now()
    admitted = await daemon.core.get(LIMITS).async_admit(ACME)
    assert isinstance(admitted, Ok), admitted
    return daemon.core.clock.now() - started_at
