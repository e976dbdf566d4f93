"""Membership of the fleet during outages, pauses and lost links."""

import asyncio
import dataclasses

import pytest
from result import Ok

from goldcreststair.components.membership.models import MEMBERS, Members, MemberState
from goldcreststair.components.membership.protocols import MEMBERSHIP, SHARED_SETS
from goldcreststair.components.membership.rows import name_row
from goldcreststair.store.models import ListedState, ListedVm, RowWrite
from standins.daemons import FakeDaemons
from standins.platform.store import FakePlatform
from tests.helpers.daemons import run_fleet, share_platform


@pytest.mark.parametrize("count", [1, 3, 20])
def test_members_know_each_other_and_have_distinct_slots(count: int) -> None:
    async def async_test(fleet: FakeDaemons) -> None:
        await fleet.async_add_many(count)
        await fleet.async_wait(
            lambda: all(len(d.members.by_session) == count for d in fleet.running), 15_000
        )
        await fleet.async_wait(
            lambda: all(
                sorted(m.slot for m in d.members.by_session.values()) == list(range(count))
                for d in fleet.running
            ),
            15_000,
        )

    run_fleet(async_test)


def test_store_outage_expires_no_session() -> None:
    """The store is down for ten minutes.

    No heartbeat is written in that time. If observers counted it, the whole fleet would expire at
    the first read after the outage, and every partition would change its owner.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(5)
        await asyncio.sleep(25)
        fleet.platform.faults.down = True
        await asyncio.sleep(600)
        fleet.platform.faults.down = False
        await asyncio.sleep(120)
        ids = {f"{number:016x}" for number in range(1, 6)}
        assert all(set(d.members.by_session) == ids for d in daemons)

    run_fleet(async_test)


def test_paused_vm_resumes_with_new_session() -> None:
    """A VM is paused until its session has expired, and resumes.

    It must not act under its old session: it finds its row gone and registers a new one, and the
    others never accept the old session again.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        private = share_platform(fleet)
        await fleet.async_add_many(3)
        paused = await fleet.async_add(private.as_platform())
        old = paused.core.session_id
        others = [d for d in fleet.running if d is not paused]
        await fleet.async_wait(lambda: all(old in d.members.by_session for d in others), 15_000)
        private.faults.down = True
        fleet.isolate(paused)
        took_ms = await fleet.async_wait(
            lambda: not any(old in d.members.by_session for d in others), 60_000
        )
        assert took_ms >= 20_000
        private.faults.down = False
        fleet.network.clear_cuts()
        new = f"{old}-1"
        await fleet.async_wait(lambda: all(new in d.members.by_session for d in others), 30_000)
        assert paused.core.session_id == paused.members.own_session_id == new
        assert not any(old in d.members.by_session for d in fleet.running)

    run_fleet(async_test)


def test_slot_is_not_reused_before_its_leases_expire() -> None:
    """A VM is lost and a new one starts at once.

    The lost VM may still run and spend its static share, so that a new VM must not get its slot
    before the grace period has passed.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        private = share_platform(fleet)
        await fleet.async_add_many(2)
        lost = await fleet.async_add(private.as_platform())
        assert lost.members.by_session[lost.core.session_id].slot == 2
        private.faults.down = True
        fleet.isolate(lost)
        await asyncio.sleep(60)
        early = await fleet.async_add()
        assert early.members.by_session[early.core.session_id].slot == 3
        await asyncio.sleep(150)
        late = await fleet.async_add()
        assert late.members.by_session[late.core.session_id].slot == 2

    run_fleet(async_test)


def test_vms_starting_together_get_distinct_slots() -> None:
    """VMs that start at the same time see the same slot free; only one of them may get it."""

    async def async_test(fleet: FakeDaemons) -> None:
        fleet.platform.faults.slow_ms = 50
        await asyncio.gather(*(fleet.async_add() for _ in range(4)))
        await fleet.async_wait(
            lambda: all(len(d.members.by_session) == 4 for d in fleet.running), 30_000
        )
        slots = [d.members.by_session[d.core.session_id].slot for d in fleet.running]
        assert sorted(slots) == [0, 1, 2, 3]

    run_fleet(async_test)


@pytest.mark.parametrize("when", ["registering", "beating"])
def test_session_survives_lost_response_of_a_write(when: str) -> None:
    """The store applies a write of a session but its response is lost; the session must go on."""

    async def async_test(fleet: FakeDaemons) -> None:
        if when == "registering":
            fleet.platform.faults.lose_answers = 1
        daemon = await fleet.async_add()
        if when == "beating":
            fleet.platform.faults.lose_answers = 2
        await asyncio.sleep(60)
        assert daemon.core.session_id == f"{1:016x}"
        assert daemon.members.by_session[daemon.core.session_id].state is MemberState.SERVING
        assert name_row(daemon.core.session_id) in fleet.platform.rows

    run_fleet(async_test)


def test_vm_starts_during_store_outage() -> None:
    """A VM starts while the store is down and the list of VMs lags; it joins after the outage."""

    async def async_test(fleet: FakeDaemons) -> None:
        fleet.platform.faults.list_lag_ms = 60_000
        first = await fleet.async_add()
        fleet.platform.set_vms([ListedVm(first.address, "dc1", ListedState.LIVE)])
        fleet.platform.faults.down = True
        second = await fleet.async_add()
        assert second.core.get(MEMBERSHIP).is_isolated()
        await asyncio.sleep(60)
        fleet.platform.faults.down = False
        await fleet.async_wait(
            lambda: all(len(d.members.by_session) == 2 for d in fleet.running), 15_000
        )
        assert not second.core.get(MEMBERSHIP).is_isolated()

    run_fleet(async_test)


def test_new_vm_learns_members_from_a_listed_peer() -> None:
    """The table is down for a new VM, but the platform's list contains another VM."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(3)
        table, listing = FakePlatform(fleet.clock), FakePlatform(fleet.clock)
        table.faults.down = True
        listing.set_vms([ListedVm(daemons[0].address, "dc1", ListedState.LIVE)])
        half = dataclasses.replace(listing.as_platform(), table=table)
        daemons[0].core.get(SHARED_SETS).add("withdrawn_keys", "x")
        newcomer = await fleet.async_add(half)
        await fleet.async_wait(lambda: len(newcomer.members.by_session) == 4, 10_000)
        assert newcomer.core.get(SHARED_SETS).contains("withdrawn_keys", "x")

    run_fleet(async_test)


@pytest.mark.parametrize("count", [3, 40])
def test_shared_items_reach_all_vms_without_the_store(count: int) -> None:
    async def async_test(fleet: FakeDaemons) -> None:
        await fleet.async_add_many(count)
        await asyncio.sleep(30)
        fleet.platform.faults.down = True
        sets = [d.core.get(SHARED_SETS) for d in fleet.running]
        sets[0].add("quarantine", "f", 60_000)
        await fleet.async_wait(lambda: all(s.contains("quarantine", "f") for s in sets), 3000)
        await asyncio.sleep(61)
        assert not any(s.contains("quarantine", "f") for s in sets)

    run_fleet(async_test)


def test_missed_item_is_found_by_digest() -> None:
    """An item is sent while one VM is cut off. It is not sent again; digests must show the loss."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(4)
        await asyncio.sleep(10)
        fleet.isolate(daemons[3])
        daemons[0].core.get(SHARED_SETS).add("withdrawn_keys", "k")
        await asyncio.sleep(5)
        assert not daemons[3].core.get(SHARED_SETS).contains("withdrawn_keys", "k")
        fleet.network.clear_cuts()
        await fleet.async_wait(
            lambda: daemons[3].core.get(SHARED_SETS).contains("withdrawn_keys", "k"), 15_000
        )

    run_fleet(async_test)


def test_leaving_state_spreads_during_store_outage() -> None:
    """Callers must not be sent to a leaving VM, even while the store is down."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(4)
        await asyncio.sleep(10)
        fleet.platform.faults.down = True
        leaving = daemons[1].core.session_id
        daemons[1].core.get(MEMBERSHIP).set_state(MemberState.LEAVING)

        def read_states() -> set[MemberState]:
            return {d.members.by_session[leaving].state for d in daemons}

        await fleet.async_wait(lambda: read_states() == {MemberState.LEAVING}, 1000)

    run_fleet(async_test)


def test_closed_daemon_leaves_no_rows_or_members() -> None:
    async def async_test(fleet: FakeDaemons) -> None:
        daemons = await fleet.async_add_many(3)
        await asyncio.sleep(10)
        gone = fleet.running.pop(1)
        await gone.async_close()
        assert len(fleet.platform.rows) == 4
        seen: list[Members] = []
        daemons[0].core.blackboard.subscribe(MEMBERS, seen.append)
        await fleet.async_wait(
            lambda: all(len(d.members.by_session) == 2 for d in fleet.running), 8000
        )

    run_fleet(async_test)


def test_vm_is_isolated_only_without_store_and_peers() -> None:
    """A VM that reaches neither the store nor peers may miss withdrawals and must report that."""

    async def async_test(fleet: FakeDaemons) -> None:
        await fleet.async_add_many(3)
        private = share_platform(fleet)
        daemon = await fleet.async_add(private.as_platform())
        member = daemon.core.get(MEMBERSHIP)
        await asyncio.sleep(10)
        private.faults.down = True
        await asyncio.sleep(60)
        assert not member.is_isolated()
        fleet.isolate(daemon)
        await asyncio.sleep(7)
        assert member.is_isolated()
        private.faults.down = False
        await asyncio.sleep(10)
        assert not member.is_isolated()

    run_fleet(async_test)


def test_heartbeat_makes_the_delete_of_a_watcher_fail() -> None:
    """A watcher deletes a row at the version that it read; a later heartbeat is a conflict."""

    async def async_test(fleet: FakeDaemons) -> None:
        daemon = await fleet.async_add()
        key = name_row(daemon.core.session_id)
        read_version = fleet.platform.rows[key].version
        await asyncio.sleep(11)
        deleted = await fleet.platform.async_write([RowWrite(key, read_version, None)])
        assert not isinstance(deleted, Ok)

    run_fleet(async_test)


def test_ring_watchers_detect_lost_rack() -> None:
    """Eight of forty VMs are lost at once, some of them each other's watchers.

    At this size no VM scans all rows. The remaining watchers must find the lost sessions one after
    the other, and end no other session.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        private = share_platform(fleet)
        await fleet.async_add_many(32)
        lost = [await fleet.async_add(private.as_platform()) for _ in range(8)]
        await fleet.async_wait(
            lambda: all(len(d.members.by_session) == 40 for d in fleet.running), 20_000
        )
        private.faults.down = True
        for daemon in lost:
            fleet.isolate(daemon)
        left = [d for d in fleet.running if d not in lost]
        ids = {d.core.session_id for d in left}
        await fleet.async_wait(
            lambda: all(set(d.members.by_session) == ids for d in left), 150_000, 1000
        )
        await asyncio.sleep(120)
        assert all(set(d.members.by_session) == ids for d in left)

    run_fleet(async_test)


def test_vm_stops_using_slot_before_it_is_reassigned() -> None:
    """A VM is cut off from the store; the others expire its session and free its slot.

    It still serves callers. If it continued to spend the slot's share of every customer's limit
    beside the next holder of the slot, the fleet would admit more than rate and burst.
    """

    async def async_test(fleet: FakeDaemons) -> None:
        own = share_platform(fleet)
        first = await fleet.async_add(own.as_platform())
        await fleet.async_add()
        await asyncio.sleep(30)
        membership = first.core.get(MEMBERSHIP)
        assert membership.find_slot() == 0
        own.faults.down = True
        fleet.isolate(first)
        used_at = given_at = 0
        for _ in range(300):
            await asyncio.sleep(1)
            if membership.find_slot() == 0:
                used_at = fleet.clock.now()
            if not given_at and "slot/000000" not in fleet.platform.rows:
                given_at = fleet.clock.now()
        assert 0 < used_at < given_at
        own.faults.down = False
        await fleet.async_wait(lambda: membership.find_slot() >= 0, 30_000)

    run_fleet(async_test)
