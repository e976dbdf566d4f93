"""Crashed processes are found by their refused connections, and only they are ended early."""

import asyncio

from standins.daemons import FakeDaemon, FakeDaemons
from tests.helpers.daemons import run_fleet, share_platform


async def async_refuse(daemon: FakeDaemon) -> None:
    """Close a daemon's peer port and links."""
    await daemon.components[0].async_close()


def list_sessions(fleet: FakeDaemons, address: str) -> set[str]:
    """Return the sessions at an address as the first daemon sees them."""
    members = fleet.running[0].members.by_session.values()
    return {member.session_id for member in members if member.address == address}


def test_a_crashed_process_is_ended_within_seconds() -> None:
    """A daemon is killed by the system for want of memory; its VM stays and refuses connections.

    Its row stands still, but nobody may judge by that for 30 s. That long its partitions had no
    owner, and customers homed there were refused.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        await fleet.async_add_many(4)
        store = share_platform(fleet)
        crashed = await fleet.async_add(store.as_platform())
        await asyncio.sleep(25)
        assert list_sessions(fleet, crashed.address)
        store.faults.down = True
        await async_refuse(crashed)
        await asyncio.sleep(5)
        assert not list_sessions(fleet, crashed.address)

    run_fleet(async_test)


def test_a_silent_vm_is_left_to_the_store() -> None:
    """A VM is cut off from all others for 20 s, but lives and writes its heartbeats.

    Silence does not show that it has ended. Ended early, its claims would count as lost while
    their runs go on.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        *_, silent = await fleet.async_add_many(5)
        await asyncio.sleep(25)
        before = list_sessions(fleet, silent.address)
        fleet.isolate(silent)
        await asyncio.sleep(20)
        assert list_sessions(fleet, silent.address) == before

    run_fleet(async_test)


def test_a_living_vm_whose_port_is_refused_is_ended_once() -> None:
    """A filter refuses connections to a VM's peer port, while the VM reaches the store.

    It is taken for crashed and takes a new session. Ended again every few seconds, its partitions
    would never come to rest.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        *_, filtered = await fleet.async_add_many(5)
        await asyncio.sleep(25)
        await async_refuse(filtered)
        seen: set[str] = set()
        for _ in range(60):
            await asyncio.sleep(1)
            seen |= list_sessions(fleet, filtered.address)
        assert len(seen) <= 2

    run_fleet(async_test)
