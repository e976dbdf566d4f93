"""Tests of the assumed prefix caches and the estimated loads of upstreams."""

import pytest

from goldcreststair.components.routing.loads import LoadTracker
from goldcreststair.components.routing.prefix_cache import PrefixCacheTracker
from goldcreststair.upstreams.models import CacheEvent, LoadReport
from tests.helpers.virtual_time import ManualClock


@pytest.mark.parametrize(
    ("events", "kept"),
    [
        ([CacheEvent(6, "x", True)], ["old", "new"]),
        ([CacheEvent(6, "x", False)], ["new"]),
        ([CacheEvent(8, "x", True)], []),
    ],
)
def test_cache_events_only_discard_prefixes(events: list[CacheEvent], kept: list[str]) -> None:
    """An engine's cache events are late, and some never arrive.

    Prefixes wrongly assumed cached cause long prefills at the preferred upstream. So an eviction
    discards the oldest prefix, and a gap in the sequence all of them.
    """
    tracker = PrefixCacheTracker(ManualClock())
    tracker.apply_events("e1", [CacheEvent(5, "x", True)])
    tracker.record("e1", "old")
    tracker.record("e1", "new")
    tracker.apply_events("e1", events)
    assert [prefix for prefix in ("old", "new") if tracker.holds("e1", prefix)] == kept


def test_report_does_not_count_own_requests_twice() -> None:
    """A burst of ten requests goes to one engine, whose delayed report then includes them.

    Counted twice, the engine would seem twice as loaded, and its prompts would go to engines
    that do not have them cached.
    """
    clock = ManualClock()
    loads = LoadTracker(clock)
    for _ in range(10):
        loads.add("e1", 1)
    clock.advance(1500)
    loads.apply_report("e1", LoadReport(1, 14, 2, 0, 1, False, ()))
    assert loads.estimate("e1") == pytest.approx(10 + 6 * 0.9)
    clock.advance(20_000)
    assert loads.estimate("e1") == 10


def test_engine_without_the_model_gets_no_request_of_it() -> None:
    """Guards against requests to an engine that reports their model as not loaded.

    Only that model is avoided, and only while the report is fresh: idle engines are not polled.
    """
    clock = ManualClock()
    loads = LoadTracker(clock)
    report = LoadReport(1, 0, 0, 0, 1, False, ("small",), adapters=("small:legal",))
    loads.apply_report("e1", report)
    models = ("small", "small:legal", "big", "small:other")
    assert [loads.is_open("e1", model) for model in models] == [True, True, False, False]
    clock.advance(20_000)
    assert loads.is_open("e1", "big")
    loads.mark_refused("e1", "big")
    assert [loads.is_open("e1", model) for model in ("big", "small")] == [False, True]
