"""Ownership and commits of the ledger, and their failures."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import replace

import pytest
from result import Ok

from goldcreststair.components.ledger.codec import decode_head
from goldcreststair.components.ledger.protocols import Change, CommitRefused, CommitUnknown
from goldcreststair.components.membership.models import Members, MemberState
from tests.helpers.virtual_time import run_virtual
from tests.helpers.vms import Fleet, Vm


def run_fleet(body: Callable[[Fleet], Awaitable[None]], partitions: int = 4) -> None:
    async def async_test() -> None:
        fleet = Fleet(partitions)
        await fleet.async_add("a", "b")
        await body(fleet)
        fleet.platform.faults.down = False
        await fleet.async_close()

    run_virtual(async_test())


def list_owners(fleet: Fleet) -> list[str]:
    return [
        "".join(name for name, vm in fleet.vms.items() if vm.ledger.get_owned(index))
        for index in range(fleet.partitions)
    ]


def find_owned(fleet: Fleet, session: str) -> int:
    return list_owners(fleet).index(session)


def test_each_partition_has_the_desired_owner() -> None:
    async def async_body(fleet: Fleet) -> None:
        assert set(list_owners(fleet)) == {"a", "b"}
        for index, owner in enumerate(list_owners(fleet)):
            assert fleet.vms["a"].ledger.find_owner(index) == owner

    run_fleet(async_body, 16)


@pytest.mark.parametrize("leave", ["leaving", "closed"])
def test_leaving_vm_hands_over_all_partitions(leave: str) -> None:
    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        await fleet.vms["a"].get_owned(index).async_commit([Change("k", b"v")], 1000)
        fleet.set_state("a", MemberState.LEAVING)
        if leave == "closed":
            await fleet.vms["a"].ledger.async_close()
        await fleet.clock.async_sleep(10_000)
        assert list_owners(fleet) == ["b"] * fleet.partitions
        assert fleet.vms["b"].get_owned(index).get("k") == b"v"

    run_fleet(async_body)


def test_acknowledged_commit_survives_its_owner() -> None:
    """A VM dies right after it acknowledged a commit.

    The next owner must find the commit although there was no handover.
    """

    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        done = await fleet.vms["a"].get_owned(index).async_commit([Change("k", b"v")], 1000)
        fleet.kill("a")
        assert isinstance(done, Ok)
        fleet.forget("a")
        await fleet.clock.async_sleep(10_000)
        assert fleet.vms["b"].get_owned(index).get("k") == b"v"

    run_fleet(async_body)


@pytest.mark.parametrize("staged", ["before the pause", "after the pause"])
def test_paused_owner_is_fenced_by_the_store(staged: str) -> None:
    """An owner is paused, its session expires, another VM takes over, and the owner resumes.

    It still assumes that it owns the partition. Its commits must be refused, or they would
    overwrite records of the new owner.
    """

    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        old = fleet.vms["a"].get_owned(index)
        fleet.vms["a"].table.paused.clear()
        task = None
        if staged == "before the pause":
            task = asyncio.ensure_future(old.async_commit([Change("k", b"old")], 600_000))
        await fleet.clock.async_sleep(100)
        fleet.forget("a")
        await fleet.clock.async_sleep(10_000)
        new = fleet.vms["b"].get_owned(index)
        assert new.epoch > old.epoch
        assert isinstance(await new.async_commit([Change("k", b"new")], 1000), Ok)
        fleet.vms["a"].table.paused.set()
        outcome = await (task or old.async_commit([Change("k", b"old")], 1000))
        assert isinstance(outcome.unwrap_err(), CommitRefused)
        assert fleet.vms["a"].ledger.get_owned(index) is None
        assert new.get("k") == b"new"

    run_fleet(async_body)


def test_lost_response_is_resolved_by_reading_back() -> None:
    """The store applies a write and its response is lost.

    The commit must be acknowledged, and the next one must not be refused because of the version
    that the lost response contained.
    """

    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        partition = fleet.vms["a"].get_owned(index)
        fleet.platform.faults.lose_answers = 1
        for value in (b"1", b"2"):
            assert isinstance(await partition.async_commit([Change("k", value)], 5000), Ok)
        row = fleet.find_row(index)
        assert decode_head(row).head.tail == (Change("k", b"1"), Change("k", b"2"))

    run_fleet(async_body)


def test_unsent_commits_are_rolled_back_with_later_ones() -> None:
    """The store is down for minutes while callers commit.

    The first commit times out and is refused. A later one was based on its staged record; it must
    be refused too, or it would become durable without the record that it is based on.
    """

    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        partition = fleet.vms["a"].get_owned(index)
        await partition.async_commit([Change("k", b"0")], 1000)
        fleet.platform.faults.down = True
        first = asyncio.ensure_future(partition.async_commit([Change("k", b"1")], 1000))
        await asyncio.sleep(0.5)
        assert partition.get("k") == b"1"
        later = asyncio.ensure_future(partition.async_commit([Change("k", b"2")], 60_000))
        assert isinstance((await first).unwrap_err(), CommitRefused)
        assert isinstance((await later).unwrap_err(), CommitRefused)
        assert partition.get("k") == b"0"
        await fleet.clock.async_sleep(180_000)
        fleet.platform.faults.down = False
        assert isinstance(await partition.async_commit([Change("k", b"3")], 20_000), Ok)
        assert fleet.vms["a"].get_owned(index).epoch == partition.epoch

    run_fleet(async_body)


def test_commit_in_flight_at_its_timeout_is_unknown() -> None:
    """A write takes effect, its response is lost, and the store fails before it is read back.

    The commit times out. Its result must be unknown: refused would be wrong.
    """

    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        partition = fleet.vms["a"].get_owned(index)
        fleet.platform.faults.lose_answers = 1
        fleet.platform.faults.slow_ms = 50
        task = asyncio.ensure_future(partition.async_commit([Change("k", b"1")], 1000))
        await fleet.clock.async_sleep(70)
        fleet.platform.faults.down = True
        assert isinstance((await task).unwrap_err(), CommitUnknown)
        fleet.platform.faults.down = False
        assert isinstance(await partition.async_commit([Change("l", b"2")], 20_000), Ok)
        assert decode_head(fleet.find_row(index)).head.tail[0] == Change("k", b"1")

    run_fleet(async_body)


def test_concurrent_commits_share_a_write() -> None:
    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        partition = fleet.vms["a"].get_owned(index)
        before = fleet.platform.counts.writes
        await asyncio.gather(
            *(partition.async_commit([Change(f"k{n}", b"v")], 5000) for n in range(100))
        )
        assert fleet.platform.counts.writes - before <= 2
        assert len(list(partition.scan("k"))) == 100

    run_fleet(async_body)


def test_large_partitions_are_compacted_and_load_again() -> None:
    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        partition = fleet.vms["a"].get_owned(index)
        for n in range(100):
            change = Change(f"k{n % 60}", bytes([n]) * 20_000)
            assert isinstance(await partition.async_commit([change], 5000), Ok)
        assert isinstance(await partition.async_commit([Change("k7", None)], 5000), Ok)
        await fleet.clock.async_sleep(120_000)
        await partition.async_commit([Change("last", b"1")], 5000)
        head = decode_head(fleet.find_row(index)).head
        assert head.snapshot and not head.garbage
        assert set(fleet.platform.objects) == {head.snapshot, *head.segments}
        expected = list(partition.scan(""))
        assert len(expected) == 60
        fleet.set_state("a", MemberState.LEAVING)
        await fleet.clock.async_sleep(10_000)
        assert list(fleet.vms["b"].get_owned(index).scan("")) == expected

    run_fleet(async_body)


def test_load_of_deleted_segment_ends_after_newer_claim() -> None:
    """A VM is paused while it loads a partition; another one takes over, compacts and deletes.

    The first one resumes and finds its segment deleted. It must neither serve an empty partition
    nor hang.
    """

    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        partition = fleet.vms["a"].get_owned(index)
        await partition.async_commit([Change("k", b"x" * 20_000)], 5000)
        stale = decode_head(fleet.find_row(index))
        fleet.platform.objects.clear()
        loading = asyncio.ensure_future(fleet.vms["b"].ledger._async_load(index, stale))
        await fleet.clock.async_sleep(1000)
        assert not loading.done()
        fleet.set_state("a", MemberState.LEAVING)
        await fleet.clock.async_sleep(20_000)
        assert await loading is None

    run_fleet(async_body)


def test_new_vm_does_not_claim_from_live_owners() -> None:
    """A VM starts, and the store or its peers are slow to send it the members.

    For some seconds it sees only itself. If it assumed that every owner it does not see is gone, it
    would claim the whole key space, and all work would stop until the partitions are handed back.
    """

    async def async_body(fleet: Fleet) -> None:
        before = [decode_head(fleet.find_row(index)) for index in range(fleet.partitions)]
        late = Vm(fleet, "c")
        late.members.write(Members("c", {"c": replace(fleet.members["a"], session_id="c")}))
        await late.ledger.async_start()
        await fleet.clock.async_sleep(10_000)
        after = [decode_head(fleet.find_row(index)) for index in range(fleet.partitions)]
        assert after == before
        fleet.vms["c"] = late
        fleet.set_state("c", MemberState.SERVING)
        await fleet.clock.async_sleep(10_000)
        assert "c" in list_owners(fleet)

    run_fleet(async_body, 16)


def test_single_vm_soon_serves_all_partitions() -> None:
    """A fleet starts; callers are refused until the partitions of their keys have an owner."""

    async def async_test() -> None:
        fleet = Fleet(64)
        fleet.platform.faults.slow_ms = 5
        fleet.vms["a"] = Vm(fleet, "a")
        fleet.set_state("a", MemberState.SERVING)
        await fleet.vms["a"].ledger.async_start()
        await fleet.clock.async_sleep(1000)
        assert list_owners(fleet) == ["a"] * 64
        await fleet.async_close()

    run_virtual(async_test())


def test_owner_keeps_partitions_during_store_outage() -> None:
    """A VM joins while the store is down, so that it is the desired owner of some partitions.

    Releases cannot be written. An owner that started one would refuse work that it can keep until
    the store is back, and no other VM could accept that work.
    """

    async def async_body(fleet: Fleet) -> None:
        fleet.platform.faults.down = True
        await fleet.clock.async_sleep(15_000)
        await fleet.async_add("c")
        assert set(list_owners(fleet)) == {"a", "b"}
        fleet.platform.faults.down = False
        await fleet.clock.async_sleep(20_000)
        assert "c" in list_owners(fleet)

    run_fleet(async_body, 16)


def test_attempts_during_table_outage_leave_no_objects() -> None:
    """The table is down for a minute, but not the object store, while a large commit waits.

    Guards against an object store that grows with each attempt by objects that no head row names.
    """

    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        partition = fleet.vms["a"].get_owned(index)
        fleet.vms["a"].table.dead = True
        change = Change("k", b"x" * 20_000)
        large = asyncio.ensure_future(partition.async_commit([change], 300_000))
        await fleet.clock.async_sleep(60_000)
        assert len(fleet.platform.objects) > 5
        fleet.vms["a"].table.dead = False
        assert isinstance(await large, Ok)
        await fleet.clock.async_sleep(70_000)
        assert set(fleet.platform.objects) == set(decode_head(fleet.find_row(index)).head.segments)

    run_fleet(async_body)


def test_vm_with_renewed_session_owns_partitions_again() -> None:
    """A VM is cut off until its session expires, and then gets a new session.

    Each partition must have an owner again, with all its records.
    """

    async def async_body(fleet: Fleet) -> None:
        index = find_owned(fleet, "a")
        vm = fleet.vms["a"]
        await vm.get_owned(index).async_commit([Change("k", b"v")], 1000)
        vm.core.session_id = "a-1"
        fleet.forget("a")
        fleet.set_state("a-1", MemberState.SERVING)
        await fleet.clock.async_sleep(20_000)
        assert set(list_owners(fleet)) == {"a", "b"}
        for owner, place in zip(list_owners(fleet), range(fleet.partitions), strict=True):
            assert fleet.vms["b"].ledger.find_owner(place) == {"a": "a-1"}.get(owner, owner)
        holder = fleet.vms[list_owners(fleet)[index]].get_owned(index)
        assert holder.get("k") == b"v"
        assert isinstance(await holder.async_commit([Change("k", b"w")], 1000), Ok)

    run_fleet(async_body, 16)
