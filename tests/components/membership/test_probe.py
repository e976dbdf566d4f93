"""Crashed processes are detected by refused connections; only their sessions are ended early."""

import asyncio

from standins.daemons import FakeDaemon, FakeDaemons
from tests.helpers.daemons import run_fleet, share_platform


async def async_refuse_connections(daemon: FakeDaemon) -> None:
    """Close a daemon's peer port and links."""
    await daemon.components[0].async_close()


def list_sessions(fleet: FakeDaemons, address: str) -> set[str]:
    """Return the sessions at an address in the view of the first daemon."""
    members = fleet.running[0].members.by_session.values()
    return {member.session_id for member in members if member.address == address}


def test_session_of_crashed_process_is_ended_within_seconds() -> None:
    """A daemon is killed for lack of memory; its VM stays and refuses connections.

    By its row its session expires only after 30 s. For that time its partitions would have no
    owner, and customers whose limits are coordinated there would be refused.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        await fleet.async_add_many(4)
        store = share_platform(fleet)
        crashed = await fleet.async_add(store.as_platform())
        await asyncio.sleep(25)
        assert list_sessions(fleet, crashed.address)
        store.faults.down = True
        await async_refuse_connections(crashed)
        await asyncio.sleep(5)
        assert not list_sessions(fleet, crashed.address)

    run_fleet(async_test)


def test_unresponsive_vm_keeps_its_session() -> None:
    """A VM is cut off from all others for 20 s, but runs and writes its heartbeats.

    Missing responses do not show that its process has ended. If its session were ended early, its
    claims would count as lost while their runs continue.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        *_, silent = await fleet.async_add_many(5)
        await asyncio.sleep(25)
        before = list_sessions(fleet, silent.address)
        fleet.isolate(silent)
        await asyncio.sleep(20)
        assert list_sessions(fleet, silent.address) == before

    run_fleet(async_test)


def test_live_vm_with_refused_port_is_ended_once() -> None:
    """A firewall refuses connections to a VM's peer port, while the VM can reach the store.

    The VM is considered crashed and takes a new session. If that were ended as well, its partitions
    would move every few seconds.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        *_, filtered = await fleet.async_add_many(5)
        await asyncio.sleep(25)
        await async_refuse_connections(filtered)
        seen: set[str] = set()
        for _ in range(60):
            await asyncio.sleep(1)
            seen |= list_sessions(fleet, filtered.address)
        assert len(seen) <= 2

    run_fleet(async_test)
