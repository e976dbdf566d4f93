"""Upstreams at which a waiting request may be placed."""

import random

import pytest

from goldcreststair.components.placement.loads import Runs
from goldcreststair.components.placement.models import PlacementQuery
from goldcreststair.components.waiting.room import RoomFinder
from tests.components.placement.test_outliers import FixedOutliers, make_controller
from tests.components.placement.test_pace import make_controller as make_paced_controller

FIRST, ONCE = PlacementQuery("s"), PlacementQuery("s", may_try=False)
EJECTED = FixedOutliers(frozenset("b"))
HALF_OPEN = FixedOutliers(trial=frozenset("b"))


@pytest.mark.parametrize(("query", "outliers"), [(FIRST, EJECTED), (ONCE, HALF_OPEN)])
def test_excluded_upstream_has_no_room_while_the_others_are_full(
    query: PlacementQuery, outliers: FixedOutliers
) -> None:
    """An ejected upstream has the fewest runs, so that it got the requests that found no other slot."""
    controller = make_controller(outliers)
    controller.begin("a", Runs(online=9))
    room = RoomFinder(controller)
    assert room.choose(query, 10_000, 1) is None
    assert room.count_room(query, 10_000, 1) == 0
    survey = room.survey(query)
    assert survey.fill == 9 / 8
    chosen = [room.choose_evenly("s", survey, random.Random(seed)) for seed in range(20)]
    assert {found.upstream.name for found in chosen if found} == {"a"}
    assert room.read_capacity("s").slots == 8


def test_all_upstreams_are_used_if_all_are_ejected() -> None:
    """A service that fails as a whole is never excluded."""
    room = RoomFinder(make_controller(FixedOutliers(frozenset("ab"))))
    assert room.count_room(FIRST, 10_000, 0) == 16


@pytest.mark.parametrize(("factor", "least", "most"), [(1.0, 450, 550), (4.0, 280, 390)])
def test_slow_upstream_gets_fewer_of_the_requests_that_are_spread(
    factor: float, least: int, most: int
) -> None:
    """Guards against a spread that ignores what upstreams report about their pace."""
    room = RoomFinder(make_paced_controller({"b": factor}, relayed=True))
    survey, rng = room.survey(FIRST), random.Random(1)
    chosen = [room.choose_evenly("s", survey, rng) for _ in range(1_000)]
    assert least <= sum(each.upstream.name == "b" for each in chosen if each) <= most
