"""Placement at upstreams where work takes longer than usual."""

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

import pytest

from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry
from goldcreststair.components.placement.const import DEFAULT_FIRST_MS, DEFAULT_RUN_MS
from goldcreststair.components.placement.controller import PlacementController
from goldcreststair.components.placement.loads import Runs
from goldcreststair.components.placement.models import PlacementQuery
from standins.virtual_time import ManualClock

QUERY = PlacementQuery("s")
SLOTS = 8


@dataclass
class FixedPace:
    """Implements `PaceReader` with given factors."""

    factors: Mapping[str, float] = field(default_factory=dict)

    def read_factor(self, upstream: str) -> float:
        return self.factors.get(upstream, 1.0)

    def read_factors(self, service: str) -> Mapping[str, float]:
        return self.factors

    def read_waiting(self, upstream: str) -> int:
        return 0


def make_controller(factors: Mapping[str, float], *, relayed: bool) -> PlacementController:
    """Return a controller that knows the upstreams a and b."""
    pace = FixedPace(factors)
    controller = PlacementController(ManualClock(), random.Random(1), "dc0", pace)
    entries = [UpstreamEntry(n, "s", f"{n}:80", "dc0", SLOTS, False, 1) for n in ("a", "b")]
    controller.upstreams.apply_upstreams(
        LiveUpstreams({entry.name: entry for entry in entries}, frozenset(), True)
    )
    controller.runs.digest_sequence = 1 if relayed else None
    return controller


@pytest.mark.parametrize("factor", [0.5, 1.0, 4.0])
def test_expected_times_are_multiplied(factor: float) -> None:
    """Silence detection and refusals go by the expected time to the first event."""
    controller = make_controller({"a": factor}, relayed=False)
    controller.begin("a", Runs(online=SLOTS))
    placement = controller.place_at("a")
    assert placement is not None and placement.factor == factor
    assert placement.first_ms == DEFAULT_FIRST_MS * factor
    assert placement.wait_ms == pytest.approx(DEFAULT_RUN_MS / SLOTS * factor)


def test_a_slow_upstream_gets_fewer_requests_but_some() -> None:
    """If it got none, no answer would show that it has recovered."""
    controller = make_controller({"a": 4.0}, relayed=True)
    names = Counter(controller.choose(QUERY).unwrap().upstream.name for _ in range(600))
    assert 0.4 < names["a"] / names["b"] < 0.6


def test_with_current_views_the_usual_pace_is_preferred_until_it_is_full() -> None:
    controller = make_controller({"a": 2.5}, relayed=False)
    assert controller.choose(QUERY).unwrap().upstream.name == "b"
    controller.begin("b", Runs(online=SLOTS))
    assert controller.choose(QUERY).unwrap().upstream.name == "a"
