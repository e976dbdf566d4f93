"""Paces of upstreams in digests, which beacons carry only now and then."""

from goldcreststair.components.fleet.digests import TURN_VALID_MS, DigestTracker
from goldcreststair.wire.generated.gateway.ttypes import Beacon, UpstreamPace
from standins.virtual_time import ManualClock


def make_beacon(sequence: int, paces: list[UpstreamPace] | None = None) -> Beacon:
    """Return a beacon with these paces."""
    return Beacon("m", sequence, 1, 1, upstream_paces=paces)


def build(tracker: DigestTracker, clock: ManualClock) -> list[int]:
    """Return the upstreams whose pace is in the next digest of the fleet."""
    clock.advance(100)
    tracker.build_data_centre_digest({}, whole=False)
    digest = tracker.build_fleet_digest({}, whole=False)
    return [pace.upstream for pace in digest.upstream_paces or ()]


def test_paces_outlive_the_next_beacon_and_are_passed_on_once() -> None:
    """A beacon without paces, 50 ms after one with paces, made the relay drop them."""
    clock = ManualClock()
    tracker = DigestTracker(clock, "relay", "dc0")
    tracker.apply_beacon("m", make_beacon(1))
    assert build(tracker, clock) == []
    clock.advance(10)
    tracker.apply_beacon("m", make_beacon(2, [UpstreamPace(7, 250, 0)]))
    clock.advance(50)
    tracker.apply_beacon("m", make_beacon(3))
    assert build(tracker, clock) == [7]
    assert build(tracker, clock) == []


def test_a_digest_carries_one_pace_and_upstreams_take_turns() -> None:
    """Guards the limit of 200 B/s for what digests carry in addition."""
    clock = ManualClock()
    tracker = DigestTracker(clock, "relay", "dc0")
    tracker.apply_beacon("m", make_beacon(1))
    seen = []
    for number in range(4):
        paces = [UpstreamPace(upstream, 200 + upstream, 0) for upstream in (1, 2, 3)]
        tracker.apply_beacon("m", make_beacon(2 + number, paces))
        seen += build(tracker, clock)
    assert seen == [3, 2, 1, 3]


def test_turns_of_upstreams_that_are_gone_are_forgotten() -> None:
    """Guards against a relay that keeps an entry for each upstream that was ever slow."""
    clock = ManualClock()
    tracker = DigestTracker(clock, "relay", "dc0")
    tracker.apply_beacon("m", make_beacon(1))
    for number in range(300):
        tracker.apply_beacon("m", make_beacon(2 + number, [UpstreamPace(number, 250, 0)]))
        assert build(tracker, clock) == [number]
    assert max(map(len, tracker._passed_on.values())) <= TURN_VALID_MS // 100


def test_figure_of_negative_age_does_not_replace_a_valid_one() -> None:
    """Receivers ignore such a figure, so that they would learn nothing about the upstream."""
    clock = ManualClock()
    tracker = DigestTracker(clock, "relay", "dc0")
    tracker.apply_beacon("m", make_beacon(1, [UpstreamPace(7, 250, 10)]))
    tracker.apply_beacon("n", Beacon("n", 1, 1, 1, upstream_paces=[UpstreamPace(7, 250, -900)]))
    clock.advance(100)
    digest = tracker.build_fleet_digest({}, whole=False)
    assert digest.upstream_paces == [UpstreamPace(7, 250, 10)]
