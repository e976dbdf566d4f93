"""One customer's token bucket on one daemon."""

import pytest

from goldcreststair.components.catalogue.models import CatalogueCustomer
from goldcreststair.components.fleet.const import UNRESPONSIVE_MS
from goldcreststair.components.quotas.controller import (
    DIGEST_DELAY_MS,
    MAX_REMOVED_CUSTOMERS,
    AdmittedCount,
    FleetShare,
    QuotaController,
)
from goldcreststair.components.quotas.return_share import ReturnShare
from standins.virtual_time import ManualClock

CLUB = CatalogueCustomer("club", 10.0, 20.0)
KEY = 7


def make_controller(clock: ManualClock) -> QuotaController:
    """Return a controller whose bucket is full."""
    controller = QuotaController(clock)
    controller.apply_customers({KEY: CLUB})
    clock.advance(10_000)
    return controller


def drain(controller: QuotaController) -> int:
    """Admit requests until one is refused; returns the number admitted."""
    admitted = 0
    while controller.admit(CLUB, KEY) is None:
        admitted += 1
    return admitted


def test_full_bucket_admits_its_burst_and_returns_the_retry_time() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    assert drain(controller) == 20
    wait_ms = controller.admit(CLUB, KEY)
    assert wait_ms is not None and 0 < wait_ms <= 101
    clock.advance(wait_ms)
    assert controller.admit(CLUB, KEY) is None


def test_requests_admitted_by_others_are_charged() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    controller.apply_counts("other", {KEY: AdmittedCount(100)})
    controller.apply_counts("other", {KEY: AdmittedCount(115)})
    assert drain(controller) == 5


def test_requests_admitted_while_unreachable_are_charged_once() -> None:
    """After a network partition healed, a customer was refused for seconds on both sides.

    Each side had used only its own share, and then also charged what the other side had used.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    controller.apply_counts("other", {KEY: AdmittedCount(100)})
    controller.apply_share(FleetShare(responsive=1, members=2))
    clock.advance(5_000)
    controller.apply_counts("other", {KEY: AdmittedCount(130)})
    controller.apply_share(FleetShare(responsive=2, members=2))
    assert drain(controller) == 10
    clock.advance(1_000)
    assert drain(controller) == 10


def test_tokens_spent_twice_before_a_partition_is_detected_are_charged() -> None:
    """Two VMs lost contact, and a customer over its rate got its burst from both within a second.

    Each spent the whole bucket until it detected the partition. When they reach each other again,
    what the other one spent beyond its share has to be charged here.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    controller.apply_counts("other", {KEY: AdmittedCount(100)})
    clock.advance(UNRESPONSIVE_MS + 1)
    controller.apply_share(FleetShare(responsive=1, members=2))
    clock.advance(600)
    controller.apply_counts("other", {KEY: AdmittedCount(125)})
    controller.apply_share(FleetShare(responsive=2, members=2))
    # Its own 10 of the burst, less the 25 spent by the other, of which 10 + 3 had been withheld.
    assert drain(controller) == 0
    clock.advance(400)
    assert drain(controller) in (1, 2)


def test_isolated_daemon_uses_only_its_own_share() -> None:
    """Two VMs lost contact while the rest reached both; each spent all but the other's share.

    Together they admitted 1.5 times the customer's quota, and the other VMs admitted nothing.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    controller.apply_counts("other", {KEY: AdmittedCount(0)})
    controller.apply_share(FleetShare(responsive=3, members=4, agreed=False))
    controller.apply_counts("other", {KEY: AdmittedCount(3)})
    assert drain(controller) == 5
    clock.advance(1_000)
    assert drain(controller) == 2


def test_daemon_that_reaches_all_others_uses_the_whole_quota() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    controller.apply_share(FleetShare(responsive=4, members=4, agreed=False))
    assert drain(controller) == 20


def test_unreachable_daemons_keep_their_share() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    controller.apply_share(FleetShare(responsive=1, members=4))
    assert drain(controller) == 5
    clock.advance(1_000)
    assert drain(controller) == 2


def test_buckets_are_empty_after_a_pause() -> None:
    """A VM resumed after a pause and admitted the whole burst of a customer over its rate.

    Its bucket had refilled by the clock, while the other daemons had spent the same tokens.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    drain(controller)
    clock.advance(8_000)
    controller.reset_after_pause()
    assert drain(controller) == 0


def test_daemons_frozen_together_do_not_charge_each_other_for_earlier_requests() -> None:
    """Two VMs were frozen long after a return of the fleet, and a customer was refused for 2 s more.

    Both levels are uncertain after the pause, as they are at a common start.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    controller.return_share = ReturnShare("a", frozenset("ab"))
    controller.reset_after_pause()
    controller.apply_counts("b", {KEY: AdmittedCount(100)})
    clock.advance(1_000)
    assert drain(controller) == 10


def test_customer_without_a_rate_is_not_limited() -> None:
    controller = make_controller(ManualClock())
    free = CatalogueCustomer("free")
    assert all(controller.admit(free, 9) is None for _ in range(1_000))


def test_level_reported_by_another_daemon_is_used_after_start() -> None:
    """After each restart of a VM its callers were refused, although their customer had used little.

    Its buckets started empty; the daemons that kept running know the levels.
    """
    clock = ManualClock()
    controller = QuotaController(clock)
    controller.apply_customers({KEY: CLUB})
    controller.apply_counts("other", {KEY: AdmittedCount(300, 17)})
    assert drain(controller) == 17


def test_fleet_that_has_just_started_admits_a_small_burst() -> None:
    """After a power loss of all VMs, the waiting callers were refused by their customer's quota.

    The usage before is not known, but nothing was used while the fleet was down. Each daemon gets
    its share of a small initial level, and more of it as it reaches the others.
    """
    controller = QuotaController(ManualClock())
    large = CatalogueCustomer("large", 50.0, 60.0)
    controller.apply_share(FleetShare(responsive=1, members=4))
    controller.apply_customers({KEY: large})
    admitted = 0
    while controller.admit(large, KEY) is None:
        admitted += 1
    assert admitted == 5
    controller.apply_share(FleetShare(responsive=4, members=4))
    while controller.admit(large, KEY) is None:
        admitted += 1
    assert admitted == 20


@pytest.mark.parametrize(
    ("members", "report_interval_ms", "admitted"),
    [
        # A single daemon: no other one can spend the burst.
        (1, None, 20),
        # Twice its even share of a burst of 20, until the others report again.
        (4, 0, 10),
        (12, 0, 4),
        # The others have reported what they spent since the burst began.
        (4, 50, 20),
    ],
)
def test_only_part_of_a_burst_is_spent_before_others_report(
    members: int, report_interval_ms: int | None, admitted: int
) -> None:
    """A customer over its rate got three bursts within a second when two VMs lost contact with all.

    Callers spread over all VMs evenly. Each of the two VMs, and the rest, spent the whole bucket in
    the time that it takes to detect the partition.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    controller.apply_share(FleetShare(responsive=members, members=members))
    seen_since = None if report_interval_ms is None else clock.now()
    count = 0
    while controller.admit(CLUB, KEY, seen_since) is None:
        count += 1
        if report_interval_ms:
            clock.advance(report_interval_ms)
            seen_since = clock.now()
        if count == 20:
            break
    assert count == admitted
    if admitted < 20:
        clock.advance(1)
        assert controller.admit(CLUB, KEY, clock.now()) is None


def test_requests_beyond_a_burst_are_owed() -> None:
    """What others admitted beyond one burst was forgiven, so that the customer got it each second."""
    clock = ManualClock()
    controller = make_controller(clock)
    controller.apply_counts("other", {KEY: AdmittedCount(100)})
    controller.apply_counts("other", {KEY: AdmittedCount(160)})
    clock.advance(4_000)
    assert drain(controller) == 0
    clock.advance(1_000)
    assert drain(controller) == 10


def test_wrong_counter_blocks_a_customer_for_five_seconds_at_most() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    controller.apply_counts("other", {KEY: AdmittedCount(100)})
    controller.apply_counts("other", {KEY: AdmittedCount(100_000)})
    clock.advance(5_200)
    assert drain(controller) in (1, 2)


def test_bucket_outlives_its_customer_in_the_catalogue() -> None:
    """A customer that one version left out returned with tokens, and its counter began at zero.

    To the other daemons all that it had admitted looked refunded.
    """
    clock = ManualClock()
    controller = make_controller(clock)
    assert drain(controller) == 20
    controller.apply_customers({})
    clock.advance(500)
    controller.apply_customers({KEY: CLUB})
    assert drain(controller) == 5
    assert controller.list_counts()[KEY].admitted == 25


def test_buckets_of_removed_customers_are_bounded() -> None:
    controller = QuotaController(ManualClock())
    for key in range(MAX_REMOVED_CUSTOMERS + 10):
        controller.apply_customers({key: CLUB})
    controller.apply_customers({})
    assert controller.describe(0).startswith("level unknown")
    assert not controller.describe(MAX_REMOVED_CUSTOMERS + 9).startswith("level unknown")


@pytest.mark.parametrize(
    ("up_ms", "admitted"),
    [
        # It started after this daemon did: all that it has admitted is unknown here.
        (800, 8),
        # It has run for longer than this one.
        (60_000, 20),
        (None, 20),
    ],
)
def test_first_report_of_a_daemon_that_has_just_started_is_charged(
    up_ms: int | None, admitted: int
) -> None:
    """After kills, what restarted daemons admitted before their first report was never charged."""
    controller = make_controller(ManualClock())
    controller.apply_counts("new", {KEY: AdmittedCount(12)}, up_ms)
    assert drain(controller) == admitted


@pytest.mark.parametrize(("complete", "admitted"), [(True, 0), (False, 17)])
def test_customer_that_a_first_report_left_out_is_not_charged_for_all(
    complete: bool, admitted: int
) -> None:
    """A customer that had been idle at another daemon was charged all its requests since the start."""
    controller = make_controller(ManualClock())
    controller.apply_counts("other", {}, complete=complete)
    controller.apply_counts("other", {KEY: AdmittedCount(5_000)})
    assert drain(controller) == admitted


def test_requests_between_the_reports_of_two_relays_are_estimated() -> None:
    """Each change of the relay that is followed lost what was admitted meanwhile."""
    clock = ManualClock()
    controller = make_controller(clock)
    assert controller.admit(CLUB, KEY) is None
    controller.digest_delay_ms = DIGEST_DELAY_MS
    controller.apply_counts("relay", {KEY: AdmittedCount(100)})
    controller.apply_counts("relay", {KEY: AdmittedCount(105)})
    clock.advance(500)
    controller.forget("relay")
    controller.apply_counts("next", {KEY: AdmittedCount(900)})
    # Five in the last 500 ms: five in as long without a report, and three not reported yet.
    assert drain(controller) == 19 - 5 - 3


def test_steady_customer_with_a_small_burst_is_not_refused_behind_relays() -> None:
    """Behind relays a third of the requests of a customer below its limit were refused.

    Unreported requests were counted against a full bucket, which had no room for what was refilled
    before they are charged.
    """
    clock = ManualClock()
    small = CatalogueCustomer("small", 20.0, 4.0)
    controller = QuotaController(clock)
    controller.apply_customers({KEY: small})
    controller.digest_delay_ms = DIGEST_DELAY_MS
    admitted_elsewhere, refused = 0, 0
    controller.apply_counts("relay", {KEY: AdmittedCount(0)})
    for step in range(100):
        clock.advance(100)
        admitted_elsewhere += 1 + step % 2
        controller.apply_counts("relay", {KEY: AdmittedCount(admitted_elsewhere)})
        refused += step > 10 and step % 10 == 0 and controller.admit(small, KEY) is not None
    assert refused == 0
