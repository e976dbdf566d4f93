"""Sums of counters that only their senders know."""

import pytest

from goldcreststair.components.fleet.digests import COUNTED_SILENCE_MS, CounterSum
from standins.virtual_time import ManualClock


@pytest.mark.parametrize(
    ("silent_ms", "total"), [(100, 12), (700, 12), (COUNTED_SILENCE_MS + 1, 0)]
)
def test_counts_of_a_short_silence_are_added(silent_ms: int, total: int) -> None:
    """What a daemon admitted while its beacons were lost for 600 ms was added to no one's usage."""
    clock = ManualClock()
    counts = CounterSum(clock)
    counts.apply("a", {7: 100}, complete=False)
    clock.advance(silent_ms)
    counts.apply("a", {7: 112}, complete=False)
    assert counts.totals.get(7, 0) == total


@pytest.mark.parametrize(
    ("complete", "is_new", "total"), [(False, False, 3), (True, False, 50), (False, True, 50)]
)
def test_counter_that_was_not_listed_before(complete: bool, is_new: bool, total: int) -> None:
    counts = CounterSum(ManualClock())
    counts.apply("a", {}, complete=complete, is_new=is_new)
    counts.apply("a", {7: 50}, complete=complete)
    assert counts.totals[7] == total


@pytest.mark.parametrize(("is_new", "total"), [(False, 0), (True, 9)])
def test_first_counts_are_added_only_of_a_sender_that_has_just_started(
    is_new: bool, total: int
) -> None:
    """After kills, relays never added what restarted daemons admitted before their first beacon."""
    counts = CounterSum(ManualClock())
    counts.apply("a", {7: 9}, complete=False, is_new=is_new)
    assert counts.totals.get(7, 0) == total
