"""Ownership, commits and failures of the ledger."""

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


def test_each_partition_has_the_wanted_owner() -> None:
    async def async_body(fleet: Fleet) -> None:
        assert set(list_owners(fleet)) == {"a", "b"}
        for index, owner in enumerate(list_owners(fleet)):
            assert fleet.vms["a"].ledger.find_owner(index) == owner

    run_fleet(async_body, 16)


@pytest.mark.parametrize("leave", ["leaving", "closed"])
def test_a_leaving_vm_hands_everything_over(leave: str) -> None:
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


def test_an_acknowledged_commit_outlives_its_owner() -> None:
    """A VM dies right after it acknowledged a commit.

    The caller was told that it is kept; the next owner must find it, though nobody handed over.
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
def test_a_paused_owner_is_fenced_by_the_store(staged: str) -> None:
    """An owner is paused, its session expires, another VM takes over, and it wakes.

    It still believes that it owns the partition. Whatever it then commits must be refused, or a
    record of the new owner would be overwritten.
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


def test_an_answer_lost_after_effect_is_settled_by_reading_back() -> None:
    """The store commits a write and its answer is lost.

    The caller must be told that it is kept, and the next commit must not be refused for the
    version that the lost answer would have named.
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


def test_changes_never_sent_are_taken_back_with_those_that_rest_on_them() -> None:
    """The store is down for minutes while callers commit.

    The first caller gives up and is told "refused". A later one read the first one's staged
    record and wrote over it; it must be refused too, or it would be kept without its ground.
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


def test_a_commit_under_way_at_its_timeout_is_unknown() -> None:
    """A write takes effect, its answer is lost, and the store goes down before it is read back.

    The caller's time is up: "refused" would be a lie.
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


def test_a_loader_that_meets_a_deleted_segment_gives_way() -> None:
    """A VM claims a partition and is paused in its load; another takes over, compacts, deletes.

    Woken, the first finds its segment gone. It must neither serve an empty partition nor hang.
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


def test_a_vm_that_has_just_started_robs_nobody() -> None:
    """A VM starts while the store or the other VMs are slow to tell it who is there.

    For some seconds it sees itself alone. If it took every owner that it does not see for gone,
    it would claim the whole key space, and all work would stop until it was handed back.
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


def test_a_lone_vm_soon_serves_all_partitions() -> None:
    """A fleet starts anew; until a key's partition has an owner its callers are refused."""

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


def test_an_owner_goes_on_through_an_outage() -> None:
    """A VM joins while the store is down, so that some partitions are wanted elsewhere.

    A release cannot be written now. If the owner began one it would refuse work that it can hold
    until the store is back, and no other VM could take it.
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


def test_tries_during_an_outage_of_the_table_leave_no_objects() -> None:
    """The table is down for a minute and the object store is not, while a large commit waits.

    Operators would see the object store grow with each try, by objects that nothing names.
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
