"""A leaving VM is no longer sent callers, ends its work and stops."""

import asyncio
from dataclasses import dataclass, field

import pytest
from result import Ok

from goldcreststair.components import ledger, limits, shutdown
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.components.membership.models import MemberState
from goldcreststair.components.shutdown.const import ADDRESS_LIFETIME_MS, LIST_LAG_MS
from goldcreststair.components.shutdown.models import SHUTDOWN, SHUTDOWN_SERVICE, LeaveReason
from goldcreststair.components.shutdown.readiness import is_ready
from goldcreststair.components.steering.const import ADDRESS_LIFETIME_S
from goldcreststair.journal import Subject
from goldcreststair.store.models import ListedState, ListedVm
from standins.daemons import CONTROL, FakeDaemon, FakeDaemons
from tests.helpers.cores import make_document
from tests.helpers.daemons import run_fleet


@dataclass
class FakeDrainable:
    """A component whose drain takes some time, or fails."""

    name: str
    ended: list[str]
    takes_s: float = 0
    fails: bool = False
    deadlines: list[int] = field(default_factory=list)

    async def async_drain(self, deadline_ms: int) -> None:
        self.deadlines.append(deadline_ms)
        if self.fails:
            raise RuntimeError("broken")
        await asyncio.sleep(self.takes_s)
        self.ended.append(self.name)


async def async_add_many(fleet: FakeDaemons, count: int) -> list[FakeDaemon]:
    fleet.setups = (*CONTROL, shutdown.async_setup)
    daemons = await fleet.async_add_many(count)
    follower = daemons[0].core.get(CONFIGURATION_FOLLOWER)
    (await follower.async_patch(0, "p1", make_document())).unwrap()
    await fleet.async_wait(lambda: all(is_ready(d.core) for d in daemons), 15_000)
    return daemons


def is_leaving(daemon: FakeDaemon) -> bool:
    return daemon.core.blackboard.read(SHUTDOWN).leaving


async def async_patch(daemon: FakeDaemon, addresses: list[str]) -> None:
    follower = daemon.core.get(CONFIGURATION_FOLLOWER)
    patch = {"leaving_vms": dict.fromkeys(addresses, True)}
    (await follower.async_patch(follower.version, "leave", patch)).unwrap()


def test_work_ends_in_reverse_order_after_addresses_expire() -> None:
    """Callers still connect to old addresses; then requests end, then partitions are handed over.

    If a partition were handed over earlier, requests that commit to it would fail.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        daemon, *_ = await async_add_many(fleet, 2)
        ended: list[str] = []
        fakes = [FakeDrainable(name, ended, 2) for name in ("ledger", "batch", "requests")]
        daemon.core.drainables += fakes
        service = daemon.core.get(SHUTDOWN_SERVICE)
        began = fleet.clock.now()
        service.begin(LeaveReason.SIGNAL)
        assert not is_ready(daemon.core)
        await asyncio.sleep(ADDRESS_LIFETIME_MS / 1000 - 0.1)
        service.begin(LeaveReason.SIGNAL)
        assert ended == []
        await service.async_wait()
        assert ended == ["requests", "batch", "ledger"]
        assert fleet.clock.now() - began == pytest.approx(ADDRESS_LIFETIME_MS + 6000, abs=50)
        await asyncio.sleep(ADDRESS_LIFETIME_MS / 1000)
        assert [len(fake.deadlines) for fake in fakes] == [1, 1, 1]

    run_fleet(async_test)


def test_leaving_vm_serves_until_addresses_expire() -> None:
    """A caller got addresses just before a VM began to leave, and uses them for their lifetime.

    If the VM stopped accepting connections earlier, the caller's requests would be refused although
    the stop was planned.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        daemon, *_ = await async_add_many(fleet, 2)
        ended: list[str] = []
        daemon.core.drainables += [FakeDrainable("ledger", ended), FakeDrainable("requests", ended)]
        daemon.core.get(SHUTDOWN_SERVICE).begin(LeaveReason.SIGNAL)
        await asyncio.sleep(ADDRESS_LIFETIME_S)
        assert ended == []

    run_fleet(async_test)


def test_drain_is_bounded_and_reserves_time_for_the_handover() -> None:
    """One component never ends its drain and another fails: the VM must still stop in time."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemon, *_ = await async_add_many(fleet, 2)
        ended: list[str] = []
        daemon.core.drainables += [
            FakeDrainable("ledger", ended, 1),
            FakeDrainable("broken", ended, fails=True),
            FakeDrainable("endless", ended, 10_000),
        ]
        began = fleet.clock.now()
        daemon.core.get(SHUTDOWN_SERVICE).begin(LeaveReason.SIGNAL)
        await daemon.core.get(SHUTDOWN_SERVICE).async_wait()
        assert ended == ["ledger"]
        assert fleet.clock.now() - began <= daemon.core.settings.drain_ms

    run_fleet(async_test)


@pytest.mark.parametrize("way", ["listed", "configured"])
def test_all_vms_of_a_data_centre_leave_together(way: str) -> None:
    """Maintenance of a data centre takes three of nine VMs; the others must know it at once."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await async_add_many(fleet, 9)
        leaving = [d for d in daemons if d.core.settings.data_centre == "dc0"]
        addresses = [d.address for d in leaving]
        if way == "configured":
            await async_patch(daemons[0], addresses)
        else:
            fleet.platform.set_vms(
                [
                    ListedVm(
                        d.address,
                        d.core.settings.data_centre,
                        ListedState.LEAVING if d in leaving else ListedState.LIVE,
                    )
                    for d in daemons
                ]
            )
        await fleet.async_wait(lambda: all(is_leaving(d) for d in leaving), 11_000)
        await asyncio.sleep(1)
        for daemon in daemons:
            serving = {
                m.address
                for m in daemon.members.by_session.values()
                if m.state is MemberState.SERVING
            }
            assert not serving & set(addresses)
        assert not any(is_leaving(d) for d in daemons if d not in leaving)
        for daemon in leaving:
            await daemon.core.get(SHUTDOWN_SERVICE).async_wait()
            await daemon.async_close()
            fleet.running.remove(daemon)
        await fleet.async_wait(
            lambda: all(len(d.members.by_session) == 6 for d in fleet.running), 10_000
        )

    run_fleet(async_test)


def test_lagging_list_does_not_make_a_new_vm_leave() -> None:
    """A new VM has the address of one that left, and the list still shows that VM's state."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemon, *_ = await async_add_many(fleet, 1)
        address = "10.0.0.3"
        fleet.platform.set_vms([ListedVm(address, "dc1", ListedState.LEAVING)])
        newcomer = await fleet.async_add()
        assert newcomer.address == address
        await asyncio.sleep(20)
        assert not is_leaving(newcomer)
        fleet.platform.set_vms([ListedVm(address, "dc1", ListedState.LIVE)])
        await asyncio.sleep(LIST_LAG_MS / 1000)
        assert not is_leaving(newcomer)
        fleet.platform.set_vms([ListedVm(address, "dc1", ListedState.LEAVING)])
        await fleet.async_wait(lambda: is_leaving(newcomer), 6000)
        assert not is_leaving(daemon)

    run_fleet(async_test)


def test_vm_is_ready_only_once_its_partitions_are_claimed() -> None:
    """A fleet starts, and callers connect as soon as it is ready.

    If it were ready earlier, the first requests would be refused as rate limited, as no VM would
    coordinate the customers' limits yet.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        fleet.setups = (*CONTROL, ledger.async_setup, limits.async_setup, shutdown.async_setup)
        (daemon,) = await fleet.async_add_many(1)
        core = daemon.core
        follower = core.get(CONFIGURATION_FOLLOWER)
        (await follower.async_patch(0, "p1", make_document())).unwrap()
        await fleet.async_wait(lambda: is_ready(core), 15_000)
        customer = core.blackboard.read(CONFIGURATION).customers["acme"]
        assert isinstance(await core.get(LIMITS).async_admit(customer), Ok)

    run_fleet(async_test)


def test_journal_records_a_leaving_vm_by_its_address() -> None:
    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await async_add_many(fleet, 2)
        await async_patch(daemons[1], [daemons[0].address])
        await fleet.async_wait(lambda: is_leaving(daemons[0]), 15_000)
        events = daemons[0].core.journal.find(Subject.VM, daemons[0].address)
        assert [event.choice for event in events] == ["leave"]

    run_fleet(async_test)
