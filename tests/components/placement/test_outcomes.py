"""What the end of a run shows about its upstream."""

import pytest
from result import Err, Ok

from goldcreststair.components.placement.models import RunOutcome
from goldcreststair.components.placement.outcomes import classify_run_end
from goldcreststair.upstreams.dialect import RunHead
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd

SUCCESS, FAILED = RunOutcome.SUCCESS, RunOutcome.FAILED
REFUSED, ABORTED = RunOutcome.REFUSED, RunOutcome.ABORTED


@pytest.mark.parametrize(
    ("status", "complete", "outcome"),
    [
        (200, True, SUCCESS),
        (200, False, FAILED),
        (422, True, SUCCESS),
        (500, True, FAILED),
        (503, True, FAILED),
    ],
)
def test_answers(status: int, complete: bool, outcome: RunOutcome) -> None:
    """An upstream that answers is not at fault for a bad request."""
    end = Ok(RunEnd(RunHead(status, (), False, False, None), b""))
    assert classify_run_end(end, complete=complete, has_answered=True) is outcome


@pytest.mark.parametrize(
    ("failure", "has_answered", "outcome"),
    [
        (UpstreamFailure.CONNECT, False, FAILED),
        (UpstreamFailure.LOST, True, FAILED),
        (UpstreamFailure.SILENT, True, FAILED),
        (UpstreamFailure.CROSSED, True, FAILED),
        (UpstreamFailure.INCOMPLETE, True, FAILED),
        (UpstreamFailure.REFUSED, True, REFUSED),
        (UpstreamFailure.TIMEOUT, False, FAILED),
        (UpstreamFailure.TIMEOUT, True, ABORTED),
        (UpstreamFailure.MOVED, True, ABORTED),
        (UpstreamFailure.CANCELLED, False, ABORTED),
    ],
)
def test_failures(failure: UpstreamFailure, has_answered: bool, outcome: RunOutcome) -> None:
    """Guards against blaming an upstream for what this daemon or the caller ended."""
    end = Err(UpstreamError("x", failure))
    assert classify_run_end(end, complete=False, has_answered=has_answered) is outcome


def test_address_of_another_upstream_is_no_lack_of_capacity() -> None:
    """The other upstream refuses because of the name, so this one must not be reported as full."""
    end = Err(UpstreamError("x", UpstreamFailure.REFUSED, 421, misdirected=True))
    assert classify_run_end(end, complete=False, has_answered=True) is FAILED
