"""Factors of upstreams, and the figures that daemons share."""

from collections.abc import Iterable

import pytest

from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.features.controller import FeatureController
from goldcreststair.components.upstream_pace.const import MAX_FACTOR, MIN_FACTOR, SHARED_PACES
from goldcreststair.components.upstream_pace.controller import PaceController
from goldcreststair.components.upstream_pace.models import SharedPace
from goldcreststair.features import Feature
from goldcreststair.upstreams.dialect import UpstreamLoad
from standins.virtual_time import ManualClock

ACTIVE = FeatureController({Feature.UPSTREAM_PACE}, set())


def make_entry(name: str, started_ms: int = 1) -> UpstreamEntry:
    """Return an upstream of the service s."""
    return UpstreamEntry(name, "s", f"{name}:80", "dc0", 8, False, started_ms)


def make_controller(
    clock: ManualClock, upstreams: int = 12, features: FeatureController = ACTIVE
) -> PaceController:
    """Return a controller that knows the upstreams e0, e1 and so on."""
    controller = PaceController(clock, features)
    apply(controller, (make_entry(f"e{n}") for n in range(upstreams)))
    return controller


def apply(controller: PaceController, entries: Iterable[UpstreamEntry]) -> None:
    """Replace the list of upstreams."""
    controller.apply_upstreams(LiveUpstreams({e.name: e for e in entries}, frozenset(), True))


def report(controller: PaceController, percent: int, upstream: str = "e0") -> bool:
    """Record a figure from an answer to this daemon."""
    return controller.record_load(upstream, UpstreamLoad(3, 2, 8, percent))


@pytest.mark.parametrize(
    ("percent", "low", "high"),
    [(100, 1.0, 1.0), (250, 2.2, 2.5), (1_000, 3.9, MAX_FACTOR), (10, MIN_FACTOR, 0.55)],
)
def test_factor_follows_reports_slowly_and_within_bounds(
    percent: int, low: float, high: float
) -> None:
    """A false figure must not exclude an upstream or attract all requests to it."""
    clock = ManualClock()
    controller = make_controller(clock)
    before, factors = 1.0, []
    for _ in range(20):
        assert report(controller, percent)
        clock.advance(100)
        factors.append(controller.read_factor("e0"))
    for factor in factors:
        assert MIN_FACTOR <= factor <= MAX_FACTOR
        assert before / 2 <= factor <= before * 2 ** (100 / 250) * 1.001
        before = factor
    assert low <= factors[-1] <= high


@pytest.mark.parametrize(
    ("reported", "after_ms", "expected"),
    [(True, 600, 1.55), (True, 3_000, 1.0), (False, 5_000, 1.91), (False, 60_000, 1.0)],
)
def test_without_figures_factors_return_to_one(
    reported: bool, after_ms: int, expected: float
) -> None:
    """A daemon that gets no more reports must place requests as it does without the feature."""
    clock = ManualClock()
    controller = make_controller(clock)
    for _ in range(30):
        for number in range(3):
            slow = number == 0
            if reported and slow:
                report(controller, 250)
            elif not reported:
                gap_ms = 75.0 if slow else 30.0
                controller.record_events(make_entry(f"e{number}"), None, gap_ms)
        clock.advance(100)
        controller.read_factors("s")
    clock.advance(after_ms - 300)
    controller.read_factors("s")
    clock.advance(300)
    assert controller.read_factor("e0") == pytest.approx(expected, abs=0.15)
    if expected == 1.0:
        clock.advance(100)
        assert not controller.read_factors("s") and not controller.count_slow()


@pytest.mark.parametrize("percent", [0, 9, 1_001, 10**17])
def test_impossible_figures_are_ignored(percent: int) -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    assert not report(controller, percent)
    assert not controller.record_shared(SharedPace("e0", percent, 0))
    clock.advance(1_000)
    assert not controller.read_factors("s")


def test_an_inactive_feature_changes_no_factor_and_sends_nothing() -> None:
    clock = ManualClock()
    controller = make_controller(clock, features=FeatureController(set(), set()))
    report(controller, 400)
    for number in range(4):
        controller.record_events(make_entry(f"e{number}"), 50.0 * (number + 1), 30.0)
    clock.advance(300)
    assert not controller.read_factors("s") and controller.read_factor("e0") == 1.0
    assert not controller.list_shared()


def test_learned_pace_is_relative_to_the_median_of_the_service() -> None:
    """Every third upstream takes 1.3 times as long, and reports nothing."""
    clock = ManualClock()
    controller = make_controller(clock, 9)
    for _ in range(30):
        for number in range(9):
            scale = 1.3 if number % 3 == 0 else 1.0
            entry = make_entry(f"e{number}")
            controller.record_events(entry, 60 * scale, 30 * scale)
        clock.advance(100)
        controller.read_factors("s")
    assert controller.read_factor("e0") == pytest.approx(1.3, abs=0.05)
    assert controller.read_factor("e1") == 1.0


def test_learned_times_are_not_used_where_upstreams_report() -> None:
    """Learned times last for 10 s, and would outlast a slow phase of 600 ms."""
    clock = ManualClock()
    controller = make_controller(clock)
    report(controller, 100, "e5")
    for number in range(4):
        controller.record_events(make_entry(f"e{number}"), None, 30.0 * (number + 1))
    clock.advance(300)
    assert not controller.read_factors("s")


def test_waiting_requests_are_known_for_a_short_time() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    report(controller, 100)
    assert controller.read_waiting("e0") == 2 and controller.read_waiting("e1") == 0
    clock.advance(1_000)
    assert controller.read_waiting("e0") == 0


def test_a_restarted_or_removed_upstream_loses_its_figures() -> None:
    clock = ManualClock()
    controller = make_controller(clock, 2)
    for upstream in ("e0", "e1"):
        report(controller, 400, upstream)
    clock.advance(250)
    assert controller.count_slow() == 2
    apply(controller, [make_entry("e0", started_ms=2)])
    assert not controller.read_factors("s") and not controller.list_shared()
    assert controller.record_shared(SharedPace("e1", 400, 0))


def test_a_beacon_carries_few_deviating_and_recent_figures() -> None:
    """Guards the size of beacons and digests: at most 8 figures, every 400 ms."""
    clock = ManualClock()
    controller = make_controller(clock)
    report(controller, 300, "e11")
    clock.advance(1_000)
    for number in range(11):
        report(controller, 105 + 10 * number, f"e{number}")
    clock.advance(30)
    shared = controller.list_shared()
    assert len(shared) == SHARED_PACES
    assert shared[0] == SharedPace("e10", 205, 30)
    assert {pace.upstream for pace in shared} == {f"e{n}" for n in range(3, 11)}
    clock.advance(370)
    assert not controller.list_shared()
    clock.advance(30)
    assert [pace.upstream for pace in controller.list_shared()] == ["e2", "e1"]


def test_figures_that_the_fleet_knows_are_not_sent_by_every_daemon() -> None:
    """Digests of 34 daemons would else carry each figure ten times a second."""
    clock = ManualClock()
    controller = make_controller(clock)
    controller.record_shared(SharedPace("e0", 250, 100))
    controller.record_shared(SharedPace("e1", 250, 100))
    report(controller, 255, "e0")
    report(controller, 180, "e1")
    assert [pace.upstream for pace in controller.list_shared()] == ["e1"]
    clock.advance(600)
    assert [pace.upstream for pace in controller.list_shared()] == ["e0"]


def test_an_own_figure_that_a_relay_returns_replaces_no_newer_one() -> None:
    """A returned figure seems younger than it is, as relays do not update its age."""
    clock = ManualClock()
    controller = make_controller(clock)
    report(controller, 300)
    assert controller.list_shared()
    clock.advance(250)
    report(controller, 100)
    clock.advance(50)
    controller.record_shared(SharedPace("e0", 300, 0))
    clock.advance(1_500)
    controller.read_factors("s")
    clock.advance(100)
    assert controller.read_factor("e0") == pytest.approx(1.0, abs=0.02)


def test_the_youngest_figure_counts_whichever_daemon_reported_it() -> None:
    clock = ManualClock()
    controller = make_controller(clock)
    clock.advance(500)
    controller.record_shared(SharedPace("e0", 300, 100))
    controller.record_shared(SharedPace("e0", 50, 400))
    clock.advance(200)
    assert controller.read_factor("e0") > 1.3
