"""For which services optional features are active."""

import pytest

from goldcreststair.components.features.controller import FeatureController
from goldcreststair.features import Feature

PACE, QUEUE = Feature.UPSTREAM_PACE, Feature.WAITING_QUEUE


@pytest.mark.parametrize(
    ("always", "shared", "marked", "expected"),
    [
        ((), (PACE,), False, False),
        ((), (PACE,), True, True),
        ((), (QUEUE,), True, False),
        ((PACE,), (), False, True),
    ],
)
def test_a_feature_is_active_only_where_settings_or_upstreams_call_for_it(
    always: tuple[Feature, ...], shared: tuple[Feature, ...], marked: bool, expected: bool
) -> None:
    """A feature that is active without being asked for changes deployments that worked without it."""
    controller = FeatureController(set(always), set(shared))
    if marked:
        assert controller.mark_shared("s") and not controller.mark_shared("s")
    assert controller.is_active(PACE, "s") is expected
    assert controller.is_active_anywhere(PACE) is expected
    assert controller.is_active(PACE, "other") is (PACE in always)
