"""What is believed of upstreams, and how belief is lost."""

import pytest

from goldcreststair.components.routing.beliefs import CacheBeliefs
from goldcreststair.components.routing.loads import LoadBook
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
def test_events_only_take_belief_away(events: list[CacheEvent], kept: list[str]) -> None:
    """An engine's cache events are late and some never come.

    Believing in a cache that is gone shows as long prefills at the favourite: an eviction
    drops the oldest belief, a gap all of it.
    """
    beliefs = CacheBeliefs(ManualClock())
    beliefs.take_events("e1", [CacheEvent(5, "x", True)])
    beliefs.record("e1", "old")
    beliefs.record("e1", "new")
    beliefs.take_events("e1", events)
    assert [prefix for prefix in ("old", "new") if beliefs.holds("e1", prefix)] == kept


def test_report_does_not_count_own_requests_twice() -> None:
    """A burst of ten requests goes to one engine, whose lagged report then shows them too.

    Counted twice, the engine would seem twice as loaded and lose its prompts to cold caches.
    """
    clock = ManualClock()
    loads = LoadBook(clock)
    for _ in range(10):
        loads.add("e1", 1)
    clock.advance(1500)
    loads.take_report("e1", LoadReport(1, 14, 2, 0, 1, False, ()))
    assert loads.estimate("e1") == pytest.approx(10 + 6 * 0.9)
    clock.advance(20_000)
    assert loads.estimate("e1") == 10


def test_engine_without_the_model_gets_no_request_of_it() -> None:
    """An engine reports that a model is not there, and requests for it go there to be refused.

    Only that model is kept away, and only while the report is fresh: idle engines are not polled.
    """
    clock = ManualClock()
    loads = LoadBook(clock)
    report = LoadReport(1, 0, 0, 0, 1, False, ("small",), adapters=("small:legal",))
    loads.take_report("e1", report)
    models = ("small", "small:legal", "big", "small:other")
    assert [loads.is_open("e1", model) for model in models] == [True, True, False, False]
    clock.advance(20_000)
    assert loads.is_open("e1", "big")
    loads.note_refused("e1", "big")
    assert [loads.is_open("e1", model) for model in ("big", "small")] == [False, True]
