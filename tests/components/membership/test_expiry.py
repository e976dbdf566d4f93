"""Expiry counts only the time that the observer itself has watched."""

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.membership.expiry import ExpiryTracker


@pytest.mark.parametrize(
    ("steps", "expired"),
    [
        pytest.param([(0, 1), (10, 1), (20, 1), (29, 1)], False, id="not yet"),
        pytest.param([(0, 1), (10, 1), (20, 1), (30, 1)], True, id="still"),
        pytest.param([(0, 1), (10, 1), (20, 2), (30, 2)], False, id="moved"),
        pytest.param([(0, 1), (15, 1), (300, 1), (314, 1)], False, id="observer paused"),
        pytest.param([(0, 1), (15, 1), (16, None), (30, 1)], False, id="short outage"),
        pytest.param([(0, 1), (15, 1), (16, None), (30, 1), (31, 1)], True, id="after outage"),
    ],
)
def test_expiry_counts_only_observed_time(
    steps: list[tuple[int, int | None]], expired: bool
) -> None:
    """Each step is (second, counter read); the counter is None if the read failed.

    The time before a failed read does not count, and neither does a gap in which the observer did
    not run: the owner may have been unable to write at the same time.
    """
    tracker = ExpiryTracker(longest_gap_ms=20_000)
    judged_expired = False
    for second, heartbeat in steps:
        at = Millis(second * 1000)
        if heartbeat is None:
            tracker.record_failure(at)
        else:
            judged_expired = tracker.observe("a", heartbeat, at)
    assert judged_expired is expired
