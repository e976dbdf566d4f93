"""Choice of upstreams while some are ejected or half-open."""

import random
from dataclasses import dataclass, field

import pytest
from result import Err

from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.placement.controller import PlacementController
from goldcreststair.components.placement.models import PlacementQuery
from standins.virtual_time import ManualClock


@dataclass(frozen=True, slots=True)
class FixedOutliers:
    """Upstreams that are ejected, and half-open ones to which a request may be sent."""

    ejected: frozenset[str] = frozenset()
    trial: frozenset[str] = field(default_factory=frozenset)

    def has_excluded(self) -> bool:
        """Return whether any upstream is ejected or half-open."""
        return bool(self.ejected | self.trial)

    def is_ejected(self, upstream: str) -> bool:
        """Return whether an upstream is ejected."""
        return upstream in self.ejected

    def is_excluded(self, upstream: str) -> bool:
        """Return whether an upstream is ejected or half-open."""
        return upstream in self.ejected | self.trial

    def may_send(self, upstream: str) -> bool:
        """Return whether a request may be sent to an upstream."""
        return upstream not in self.ejected


FIRST, ONCE = PlacementQuery("s"), PlacementQuery("s", may_try=False)
RETRY = PlacementQuery("s", frozenset("a"), is_retry=True)
REFUSED_BEFORE = PlacementQuery("s", frozenset("a"))


@pytest.mark.parametrize(
    ("query", "outliers", "chosen"),
    [
        pytest.param(FIRST, FixedOutliers(frozenset("b")), "a", id="ejected"),
        pytest.param(FIRST, FixedOutliers(frozenset("a"), frozenset("b")), "b", id="trial"),
        pytest.param(ONCE, FixedOutliers(trial=frozenset("b")), "a", id="no-trial"),
        pytest.param(FIRST, FixedOutliers(frozenset("ab")), "ab", id="all-ejected"),
        pytest.param(RETRY, FixedOutliers(frozenset("b")), "", id="retry"),
        pytest.param(REFUSED_BEFORE, FixedOutliers(frozenset("b")), "b", id="not-run-before"),
    ],
)
def test_online_requests(query: PlacementQuery, outliers: FixedOutliers, chosen: str) -> None:
    """Guards against retries at an upstream that probably fails them, and against using none."""
    controller = make_controller(outliers)
    found = controller.choose(query)
    names = "" if isinstance(found, Err) else found.ok_value.upstream.name
    assert names in chosen if chosen else not names
    assert controller.can_place(query) == bool(chosen)


@pytest.mark.parametrize(
    ("outliers", "chosen"),
    [
        (FixedOutliers(frozenset("b")), "a"),
        (FixedOutliers(trial=frozenset("b")), "a"),
        (FixedOutliers(frozenset("ab")), "ab"),
    ],
)
def test_batch_runs(outliers: FixedOutliers, chosen: str) -> None:
    """Batch runs last too long to be trial requests."""
    for _ in range(10):
        entry = make_controller(outliers).batch.choose("s")
        assert entry is not None and entry.name in chosen


def make_controller(outliers: FixedOutliers) -> PlacementController:
    """Return a controller with two upstreams."""
    controller = PlacementController(ManualClock(), random.Random(1), "dc0", outliers=outliers)
    entries = [UpstreamEntry(name, "s", f"{name}:80", "dc0", 8, False, 1) for name in "ab"]
    live = LiveUpstreams({entry.name: entry for entry in entries}, frozenset(), True)
    controller.upstreams.apply_upstreams(live)
    return controller
