"""Expiry counts only what the observer itself has watched."""

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.membership.expiry import ExpiryJudge


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
def test_judges_from_own_reads(steps: list[tuple[int, int | None]], expired: bool) -> None:
    """Each step is (second, counter read), None for a read that failed.

    The seconds up to a failed read do not count, nor does a gap in which the observer did not
    run: the owner may have been as unable to write as the observer was to read.
    """
    judge = ExpiryJudge(longest_gap_ms=20_000)
    judged = False
    for second, beat in steps:
        at = Millis(second * 1000)
        if beat is None:
            judge.note_failure(at)
        else:
            judged = judge.observe("a", beat, at)
    assert judged is expired
