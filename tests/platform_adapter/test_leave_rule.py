"""Cut requests count as lost only where a planned shutdown may not cut them."""

import pytest

from tests.platform_adapter.leave_rule import CutRequest, is_lost

SIGTERM_AT = 10.0
GRACE_S = 8.0
NEVER = float("inf")


@pytest.mark.parametrize(
    ("cut", "lost"),
    [
        (CutRequest(13.1, 17.2, NEVER, at_work_until=17.2), True),
        (CutRequest(13.0, 17.2, NEVER, at_work_until=17.2), False),
        (CutRequest(9.0, 17.2, NEVER, at_work_until=17.2), False),
        (CutRequest(9.0, 16.6, NEVER, at_work_until=16.6), True),
        (CutRequest(12.0, 17.2, NEVER, at_work_until=15.0), True),
        (CutRequest(13.1, 17.2, 17.2, at_work_until=17.2), False),
        (CutRequest(13.1, 17.2, NEVER, at_work_until=17.2, broken_by_upstream=True), False),
        (CutRequest(13.1, 13.2, NEVER, passed_on=False), False),
        (CutRequest(13.1, 13.4, NEVER, passed_on=False), True),
        (CutRequest(9.0, 9.9, NEVER, at_work_until=9.9), False),
        (CutRequest(15.0, 18.9, NEVER, at_work_until=18.9), True),
        (CutRequest(15.0, 19.1, NEVER, at_work_until=19.1), False),
    ],
    ids=[
        "sent-late",
        "sent-in-time-and-at-work-at-the-end",
        "sent-before",
        "ended-early",
        "upstream-done-early",
        "timeout-reached",
        "broken-by-upstream",
        "crossed-the-close",
        "read-and-not-passed-on",
        "before-the-shutdown",
        "just-after-the-grace-period",
        "long-after-the-grace-period",
    ],
)
def test_a_cut_counts_as_lost_unless_the_shutdown_may_make_it(cut: CutRequest, lost: bool) -> None:
    """Guards against a measurement that excuses more cuts than callers accept."""
    assert is_lost(cut, SIGTERM_AT, GRACE_S) is lost
