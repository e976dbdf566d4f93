"""One customer's bucket on one daemon."""

import pytest

from goldcreststair.components.catalogue.models import CatalogueCustomer
from goldcreststair.components.fleet.const import UNRESPONSIVE_MS
from goldcreststair.components.quotas.controller import (
    AdmittedCount,
    FleetShare,
    QuotaController,
)
from standins.virtual_time import ManualClock

CLUB = CatalogueCustomer("club", 10.0, 20.0)
KEY = 7


def make_controller(clock: ManualClock) -> QuotaController:
    """Return a controller whose bucket is full."""
    controller = QuotaController(clock)
    controller.take_customers({KEY: CLUB})
    clock.advance(10_000)
    return controller


def drain(controller: QuotaController) -> int:
    """Admit until refused; returns how many were."""
    admitted = 0
    while controller.admit(CLUB, KEY) is None:
        admitted += 1
    return admitted


def test_a_full_bucket_admits_its_burst_and_tells_when_there_is_room() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    assert drain(controller) == 20
    wait_ms = controller.admit(CLUB, KEY)
    assert wait_ms is not None and 0 < wait_ms <= 101
    clock.advance(wait_ms)
    assert controller.admit(CLUB, KEY) is None


def test_what_others_admitted_is_spent_here_too() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    controller.take_counts("other", {KEY: AdmittedCount(100)})
    controller.take_counts("other", {KEY: AdmittedCount(115)})
    assert drain(controller) == 5


def test_what_was_admitted_unheard_is_not_paid_for_twice() -> None:
    """After a cut healed, a customer was refused for seconds on both of its sides.

    Each side had used only its own part meanwhile, and then took the other's for spent as well.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    controller.take_counts("other", {KEY: AdmittedCount(100)})
    controller.take_share(FleetShare(heard=1, members=2))
    clock.advance(5_000)
    controller.take_counts("other", {KEY: AdmittedCount(130)})
    controller.take_share(FleetShare(heard=2, members=2))
    assert drain(controller) == 10
    clock.advance(1_000)
    assert drain(controller) == 10


def test_what_was_spent_twice_before_a_cut_was_noticed_is_paid_back() -> None:
    """Two VMs lost each other, and a hot customer got its burst from both of them within a second.

    Each took the whole bucket for its own until it noticed the cut. When they hear each other again,
    what the other one spent beyond its part is charged here.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    controller.take_counts("other", {KEY: AdmittedCount(100)})
    clock.advance(UNRESPONSIVE_MS + 1)
    controller.take_share(FleetShare(heard=1, members=2))
    clock.advance(600)
    controller.take_counts("other", {KEY: AdmittedCount(125)})
    controller.take_share(FleetShare(heard=2, members=2))
    # Its own 10 of the burst, less the 25 spent there, of which 10 + 3 had been withheld.
    assert drain(controller) == 0
    clock.advance(400)
    assert drain(controller) in (1, 2)


def test_a_daemon_without_a_common_set_of_others_keeps_to_one_part() -> None:
    """Two VMs lost each other while the rest heard both; each spent all but the other's part.

    Together they let half as much again through as the customer's quota, and the rest nothing.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    controller.take_counts("other", {KEY: AdmittedCount(0)})
    controller.take_share(FleetShare(heard=3, members=4, agreed=False))
    controller.take_counts("other", {KEY: AdmittedCount(3)})
    assert drain(controller) == 5
    clock.advance(1_000)
    assert drain(controller) == 2


def test_a_daemon_that_hears_all_is_not_bound_by_their_cuts() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    controller.take_share(FleetShare(heard=4, members=4, agreed=False))
    assert drain(controller) == 20


def test_a_daemon_that_is_not_heard_keeps_its_part() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    controller.take_share(FleetShare(heard=1, members=4))
    assert drain(controller) == 5
    clock.advance(1_000)
    assert drain(controller) == 2


def test_a_daemon_that_stood_still_starts_empty() -> None:
    """A VM woke after a freeze and let a hot customer's whole burst in.

    Its bucket had filled by the clock, while the other daemons had spent what flowed in.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    drain(controller)
    clock.advance(8_000)
    controller.void()
    assert drain(controller) == 0


def test_a_customer_without_a_rate_is_not_limited() -> None:
    controller = make_controller(ManualClock())
    free = CatalogueCustomer("free")
    assert all(controller.admit(free, 9) is None for _ in range(1_000))


def test_a_daemon_that_has_just_started_takes_anothers_word_for_the_level() -> None:
    """After each restart of a VM its callers were refused, although their customer had used little.

    Its buckets began empty; the daemons that ran on know how full they are.
    """
    clock = ManualClock()
    controller = QuotaController(clock)
    controller.take_customers({KEY: CLUB})
    controller.take_counts("other", {KEY: AdmittedCount(300, 17)})
    assert drain(controller) == 17


def test_a_fleet_that_has_just_started_lets_a_little_in() -> None:
    """All VMs had lost power; the callers that had waited were refused for their customer's quota.

    Nobody knows what was used before, but nothing was while the fleet was down. Each daemon has its part
    of a small level, and more of it as it hears the others.
    """
    controller = QuotaController(ManualClock())
    large = CatalogueCustomer("large", 50.0, 60.0)
    controller.take_share(FleetShare(heard=1, members=4))
    controller.take_customers({KEY: large})
    admitted = 0
    while controller.admit(large, KEY) is None:
        admitted += 1
    assert admitted == 5
    controller.take_share(FleetShare(heard=4, members=4))
    while controller.admit(large, KEY) is None:
        admitted += 1
    assert admitted == 20


@pytest.mark.parametrize(
    ("members", "heard_ms_after", "admitted"),
    [
        # Alone in the fleet, nobody else can spend the burst.
        (1, None, 20),
        # Twice its even part of a burst of 20, until the others are heard again.
        (4, 0, 10),
        (12, 0, 4),
        # Heard since the burst began, the others have told what they spent.
        (4, 50, 20),
    ],
)
def test_a_vm_spends_its_part_of_a_burst_before_it_hears_the_others(
    members: int, heard_ms_after: int | None, admitted: int
) -> None:
    """A hot customer got three bursts within a second when two VMs lost everyone.

    The callers reach all VMs alike. Each of the two, and the rest, spent the whole bucket in the time
    that it takes to notice a silence.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    controller.take_share(FleetShare(heard=members, members=members))
    heard_at = None if heard_ms_after is None else clock.now()
    count = 0
    while controller.admit(CLUB, KEY, heard_at) is None:
        count += 1
        if heard_ms_after:
            clock.advance(heard_ms_after)
            heard_at = clock.now()
        if count == 20:
            break
    assert count == admitted
    if admitted < 20:
        clock.advance(1)
        assert controller.admit(CLUB, KEY, clock.now()) is None
