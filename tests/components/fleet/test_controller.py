"""Tests for which daemons are reachable, lost or gone, and whether this daemon is isolated."""

from goldcreststair.components.fleet.const import (
    AGREEMENT_GRACE_MS,
    EXPIRE_MS,
    ISOLATED_MS,
    LOST_MS,
    UNREACHABLE_MS,
)
from goldcreststair.components.fleet.controller import FleetController
from goldcreststair.components.fleet.models import FleetVm, VmState
from standins.virtual_time import ManualClock


def make_vm(session: str, address: str = "") -> FleetVm:
    """Return a daemon's session."""
    return FleetVm(session, address or session, 7000, f"{session}:80", "dc", "r")


def make_controller(clock: ManualClock, *peers: str) -> FleetController:
    """Return a controller that has just received a beacon of each peer."""
    controller = FleetController(clock, make_vm("me"))
    controller.replace_sessions([make_vm(peer) for peer in peers])
    for peer in peers:
        controller.apply_beacon(peer, VmState.READY)
    return controller


def read_heartbeats(
    controller: FleetController, clock: ManualClock, ms: int, **beats: bytes
) -> None:
    """Read the heartbeat rows every 600 ms for `ms`."""
    for _ in range(ms // 600):
        clock.advance(600)
        controller.apply_heartbeats(beats)


def test_silent_daemon_is_not_offered_to_callers() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a", "b")
    clock.advance(UNREACHABLE_MS)
    controller.apply_beacon("a", VmState.READY)
    clock.advance(1)
    assert [vm.session for vm in controller.read_fleet().list_ready()] == ["a"]
    assert set(controller.read_fleet().vms) == {"me", "a", "b"}


def test_silent_daemon_with_unchanged_heartbeat_is_lost_then_expired() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a")
    read_heartbeats(controller, clock, LOST_MS + 1_200, a=b"7")
    assert controller.read_fleet().lost == {"a"}
    assert controller.list_expired() == []
    read_heartbeats(controller, clock, EXPIRE_MS, a=b"7")
    assert controller.list_expired() == ["a"]


def test_silent_daemon_with_changing_heartbeat_is_not_lost() -> None:
    """Guards against others spending the quota share of a partitioned daemon that still serves."""
    clock = ManualClock()
    controller = make_controller(clock, "a")
    for beat in range(20):
        read_heartbeats(controller, clock, 600, a=b"%d" % beat)
    assert controller.read_fleet().lost == frozenset()


def test_no_daemon_is_lost_without_the_store() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a")
    clock.advance(60_000)
    assert controller.read_fleet().lost == frozenset() and controller.list_expired() == []


def test_restarted_process_replaces_its_old_session() -> None:
    """Guards against jobs of a restarted VM that wait until its old session has expired."""
    clock = ManualClock()
    controller = make_controller(clock, "a")
    controller.add(make_vm("a2", address="a"))
    assert set(controller.read_fleet().vms) == {"me", "a2"}


def test_daemon_without_contact_is_isolated_before_it_counts_as_lost() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a")
    controller.record_store_contact()
    clock.advance(ISOLATED_MS)
    assert not controller.is_isolated()
    clock.advance(1)
    assert controller.is_isolated() and ISOLATED_MS < LOST_MS
    controller.record_store_contact()
    assert not controller.is_isolated()


def test_single_daemon_is_never_isolated() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    clock.advance(60_000)
    assert not controller.is_isolated()


def test_resumed_daemon_forgets_contacts_and_finds_nobody_lost() -> None:
    """Guards against a resumed VM that regards the jobs of all other VMs as abandoned."""
    clock = ManualClock()
    controller = make_controller(clock, "a")
    controller.apply_heartbeats({"a": b"1"})
    clock.advance(30_000)
    controller.forget_contacts()
    controller.apply_heartbeats({"a": b"1"})
    assert controller.list_expired() == [] and controller.read_fleet().lost == frozenset()
    assert controller.read_fleet().reachable == 1


def test_different_responsive_sets_disagree_after_grace_period() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a", "b")
    same = controller.read_responsive_hash()
    controller.apply_beacon("a", VmState.READY, same)
    controller.apply_beacon("b", VmState.READY, same)
    assert controller.read_fleet().agreed
    controller.apply_beacon("b", VmState.READY, same + 1)
    assert controller.read_fleet().agreed
    clock.advance(AGREEMENT_GRACE_MS)
    assert not controller.read_fleet().agreed
    controller.apply_beacon("b", VmState.READY, same)
    assert controller.read_fleet().agreed


def test_beacon_without_responsive_hash_is_no_disagreement() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a")
    clock.advance(AGREEMENT_GRACE_MS)
    assert controller.read_fleet().agreed


def test_sender_of_unknown_session_counts_as_unlisted() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a")
    assert not controller.apply_beacon("new", VmState.READY)
    assert controller.read_fleet().unlisted == 1
    controller.add(make_vm("new"))
    assert controller.read_fleet().unlisted == 0
    controller.apply_beacon("other", VmState.READY)
    clock.advance(UNREACHABLE_MS + 1)
    assert controller.read_fleet().unlisted == 0


def test_many_sessions_at_one_address_count_once() -> None:
    """Guards against beacons of invented sessions that fill the memory and take the others' shares of quotas."""
    clock = ManualClock()
    controller = make_controller(clock, "a")
    for number in range(100):
        controller.apply_beacon(f"s{number}", VmState.READY, address="10.0.0.7")
    controller.apply_beacon("new", VmState.READY, address="10.0.0.8")
    assert controller.read_fleet().unlisted == 2
