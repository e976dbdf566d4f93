"""Planned changes of owner: release notices, also when they are lost or late."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

from goldcreststair.components.ledger.codec import encode_head
from goldcreststair.components.ledger.models import LEDGER_STATE
from goldcreststair.components.ledger.partition import OwnedPartition
from goldcreststair.components.ledger.protocols import Change
from goldcreststair.components.membership.models import Members, MemberState
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.wire.generated.ledger.ttypes import Released
from tests.helpers.virtual_time import run_virtual
from tests.helpers.vms import Fleet


def run_fleet(body: Callable[[Fleet], Awaitable[None]], *names: str) -> None:
    async def async_test() -> None:
        fleet = Fleet(8)
        await fleet.async_add(*names)
        await body(fleet)
        await fleet.async_close()

    run_virtual(async_test())


def list_owned(fleet: Fleet, session: str) -> list[int]:
    ledger = fleet.vms[session].ledger
    return [index for index in range(fleet.partitions) if ledger.get_owned(index) is not None]


def make_desired_owner_of_all(fleet: Fleet, session: str) -> None:
    """Make one VM see all others as leaving, so that it sees itself as the desired owner."""
    states = {name: MemberState.LEAVING for name in fleet.members} | {session: MemberState.SERVING}
    members = {name: replace(fleet.members[name], state=states[name]) for name in states}
    fleet.vms[session].members.write(Members(session, members))


async def async_release(fleet: Fleet, index: int, owner: str) -> Released:
    """Release a partition at its owner and return the release notice."""
    partition = fleet.vms[owner].get_owned(index)
    assert isinstance(partition, OwnedPartition)
    stored = await partition.async_hand_over()
    assert stored is not None
    return Released(index, stored.version, encode_head(stored.head))


def test_released_partition_is_claimed_at_once() -> None:
    """A VM leaves, and the next owner has to claim its partitions without waiting for a sweep.

    Otherwise they have no owner for up to a second: claims on them wait, and customers whose
    limits are coordinated there are refused.
    """

    async def async_body(fleet: Fleet) -> None:
        owned = list_owned(fleet, "a")
        gaps: list[int] = []
        lost_at: dict[int, int] = {}
        fleet.vms["a"].ledger.watch(
            lambda _: None, lambda index: lost_at.update({index: fleet.clock.now()})
        )
        fleet.vms["b"].ledger.watch(
            lambda p: gaps.append(fleet.clock.now() - lost_at.get(p.index, fleet.clock.now())),
            lambda _: None,
        )
        gaps.clear()
        fleet.platform.faults.slow_ms = 5
        fleet.set_state("a", MemberState.LEAVING)
        await fleet.clock.async_sleep(5_000)
        assert len(gaps) == len(owned) > 0
        assert max(gaps) <= 50

    run_fleet(async_body, "a", "b")


def test_sweep_finds_partition_after_lost_notice() -> None:
    """The link between the old and the new owner breaks as partitions are released.

    The notices are lost. The head rows have no owner, and the next sweeps have to find them.
    """

    async def async_body(fleet: Fleet) -> None:
        fleet.network.cut("a", "b")
        fleet.set_state("a", MemberState.LEAVING)
        await fleet.clock.async_sleep(2_500)
        assert len(list_owned(fleet, "b")) == fleet.partitions

    run_fleet(async_body, "a", "b")


def test_only_one_of_two_desired_owners_claims_a_released_partition() -> None:
    """Two VMs with different views of the members each see themselves as the desired owner.

    Both are notified of the release and claim the same row. If both served the partition, each
    would admit the customers' whole rate and grant the same claims.
    """

    async def async_body(fleet: Fleet) -> None:
        index = list_owned(fleet, "c")[0]
        notice = await async_release(fleet, index, "c")
        for name in ("a", "b"):
            make_desired_owner_of_all(fleet, name)
            fleet.vms["c"].core.get(PEERS).post(name, notice)
        await fleet.clock.async_sleep(3_000)
        owners = [name for name in ("a", "b") if index in list_owned(fleet, name)]
        assert len(owners) == 1

    run_fleet(async_body, "a", "b", "c")


def test_late_notice_does_not_displace_newer_owner() -> None:
    """A release notice arrives after another VM has claimed the partition.

    If the receiver claimed without a check of the row's version, it would displace the newer owner,
    whose commits would then be refused.
    """

    async def async_body(fleet: Fleet) -> None:
        index = list_owned(fleet, "a")[0]
        notice = await async_release(fleet, index, "a")
        await asyncio.sleep(2)
        owner = next(name for name in ("a", "b") if index in list_owned(fleet, name))
        other = "b" if owner == "a" else "a"
        newest = fleet.vms[owner].get_owned(index)
        make_desired_owner_of_all(fleet, other)
        fleet.vms[owner].core.get(PEERS).post(other, notice)
        await asyncio.sleep(0.1)
        assert (await newest.async_commit([Change("k", b"v")], 1_000)).is_ok()
        assert index not in list_owned(fleet, other)

    run_fleet(async_body, "a", "b")


def test_last_leaving_vm_serves_until_it_closes() -> None:
    """The only VM of a fleet leaves while callers still use addresses that they got before.

    No other VM can own its partitions. If it released them at once it would refuse these callers,
    although it serves until the addresses have expired.
    """

    async def async_body(fleet: Fleet) -> None:
        fleet.set_state("a", MemberState.LEAVING)
        await fleet.clock.async_sleep(5_000)
        assert len(list_owned(fleet, "a")) == fleet.partitions
        await fleet.vms["a"].ledger.async_close()
        assert list_owned(fleet, "a") == []

    run_fleet(async_body, "a")


def test_releasing_owner_does_not_refer_to_itself() -> None:
    """A VM reads a partition's owner from the store while its own release is in progress.

    The row still names the VM. If it recorded that, it would send its customers' requests to itself
    for a second while the next owner already serves them.
    """

    async def async_body(fleet: Fleet) -> None:
        index = list_owned(fleet, "a")[0]
        ledger = fleet.vms["a"].ledger
        lost: list[int] = []
        ledger.watch(lambda _: None, lambda index: ledger.record_owner(index, "a"))
        ledger.watch(lambda _: None, lost.append)
        fleet.set_state("a", MemberState.LEAVING)
        await asyncio.sleep(2)
        assert index in lost
        assert ledger.find_owner(index) == "b"

    run_fleet(async_body, "a", "b")


def test_joining_vm_soon_owns_its_share_and_is_ready() -> None:
    """A VM joins a fleet of one and should take over half of the partitions.

    Guards against an owner that releases one partition at each sweep, a second apart, whatever the
    pace allows: the new VM would not have its share, and would not be ready, for half a minute.
    """

    async def async_test() -> None:
        fleet = Fleet(64)
        await fleet.async_add("a")
        await fleet.clock.async_sleep(3000)
        await fleet.async_add("b")
        owned = {name: list_owned(fleet, name) for name in ("a", "b")}
        assert sorted(owned["a"] + owned["b"]) == list(range(64))
        assert 24 <= len(owned["b"]) <= 40
        states = [fleet.vms[name].core.blackboard.read(LEDGER_STATE) for name in owned]
        assert all(state.initial_claims_done for state in states)
        await fleet.async_close()

    run_virtual(async_test())
