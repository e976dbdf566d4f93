"""Who is heard, lost and gone, and whether this daemon is cut off."""

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
    """Return a controller that has just heard its peers."""
    controller = FleetController(clock, make_vm("me"))
    controller.replace_sessions([make_vm(peer) for peer in peers])
    for peer in peers:
        controller.apply_beacon(peer, VmState.READY)
    return controller


def read_heartbeats(
    controller: FleetController, clock: ManualClock, ms: int, **beats: bytes
) -> None:
    """Read heartbeat rows every 600 ms for so long."""
    for _ in range(ms // 600):
        clock.advance(600)
        controller.apply_heartbeats(beats)


def test_a_daemon_that_falls_silent_gets_no_callers() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a", "b")
    clock.advance(UNREACHABLE_MS)
    controller.apply_beacon("a", VmState.READY)
    clock.advance(1)
    assert [vm.session for vm in controller.read_fleet().list_ready()] == ["a"]
    assert set(controller.read_fleet().vms) == {"me", "a", "b"}


def test_a_silent_daemon_with_a_standing_heartbeat_is_lost_and_then_gone() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a")
    read_heartbeats(controller, clock, LOST_MS + 1_200, a=b"7")
    assert controller.read_fleet().lost == {"a"}
    assert controller.list_expired() == []
    read_heartbeats(controller, clock, EXPIRE_MS, a=b"7")
    assert controller.list_expired() == ["a"]


def test_a_silent_daemon_whose_heartbeat_moves_is_alive() -> None:
    """A daemon behind a cut served its callers while the others gave its part of the quotas away."""
    clock = ManualClock()
    controller = make_controller(clock, "a")
    for beat in range(20):
        read_heartbeats(controller, clock, 600, a=b"%d" % beat)
    assert controller.read_fleet().lost == frozenset()


def test_without_the_store_nobody_is_lost() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a")
    clock.advance(60_000)
    assert controller.read_fleet().lost == frozenset() and controller.list_expired() == []


def test_a_process_that_starts_again_takes_its_predecessors_place() -> None:
    """After a restart the jobs of a VM stood still until its old session had expired."""
    clock = ManualClock()
    controller = make_controller(clock, "a")
    controller.add(make_vm("a2", address="a"))
    assert set(controller.read_fleet().vms) == {"me", "a2"}


def test_a_daemon_that_hears_nobody_is_isolated_before_the_others_take_it_for_lost() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a")
    controller.record_store_contact()
    clock.advance(ISOLATED_MS)
    assert not controller.is_isolated()
    clock.advance(1)
    assert controller.is_isolated() and ISOLATED_MS < LOST_MS
    controller.record_store_contact()
    assert not controller.is_isolated()


def test_a_daemon_alone_is_never_isolated() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    clock.advance(60_000)
    assert not controller.is_isolated()


def test_a_daemon_that_stood_still_has_heard_nobody_and_blames_nobody() -> None:
    """A VM woke from a freeze and took the jobs of all others for left behind."""
    clock = ManualClock()
    controller = make_controller(clock, "a")
    controller.apply_heartbeats({"a": b"1"})
    clock.advance(30_000)
    controller.forget_contacts()
    controller.apply_heartbeats({"a": b"1"})
    assert controller.list_expired() == [] and controller.read_fleet().lost == frozenset()
    assert controller.read_fleet().reachable == 1


def test_daemons_that_hear_different_ones_do_not_agree_for_long() -> None:
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


def test_a_daemon_that_does_not_say_whom_it_hears_differs_from_nobody() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a")
    clock.advance(AGREEMENT_GRACE_MS)
    assert controller.read_fleet().agreed


def test_a_daemon_that_is_heard_but_not_known_counts_as_a_stranger() -> None:
    clock = ManualClock()
    controller = make_controller(clock, "a")
    assert not controller.apply_beacon("new", VmState.READY)
    assert controller.read_fleet().unlisted == 1
    controller.add(make_vm("new"))
    assert controller.read_fleet().unlisted == 0
    controller.apply_beacon("other", VmState.READY)
    clock.advance(UNREACHABLE_MS + 1)
    assert controller.read_fleet().unlisted == 0
