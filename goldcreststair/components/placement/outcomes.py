"""Classifies the end of a run by what it shows about the upstream; no I/O.

Designed for upstreams that fail some of their requests while they accept connections.
"""

from typing import Final

from result import Err, Result

from goldcreststair.components.placement.models import RunOutcome
from goldcreststair.upstreams.answers import may_pass_on
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd

STATUS_OK: Final = 200
STATUS_FAILED: Final = 500

OUTCOMES: Final = {
    UpstreamFailure.CONNECT: RunOutcome.FAILED,
    UpstreamFailure.REFUSED: RunOutcome.REFUSED,
    UpstreamFailure.REJECTED: RunOutcome.SUCCESS,
    UpstreamFailure.LOST: RunOutcome.FAILED,
    UpstreamFailure.SILENT: RunOutcome.FAILED,
    UpstreamFailure.CROSSED: RunOutcome.FAILED,
    UpstreamFailure.INCOMPLETE: RunOutcome.FAILED,
}
"""Outcome of each failure; failures that are not listed were caused by this daemon."""


def classify_run_end(
    end: Result[RunEnd, UpstreamError], *, complete: bool, has_answered: bool
) -> RunOutcome:
    """Return the outcome of a run.

    `complete` tells whether the body of a success is whole, `has_answered` whether the upstream sent
    anything in this run.
    """
    if isinstance(end, Err):
        error = end.err_value
        if error.misdirected:
            return RunOutcome.FAILED
        if error.failure is UpstreamFailure.TIMEOUT and not has_answered:
            # Runs without a silence check, such as calls that are not streamed, end like this at an
            # upstream that hangs.
            return RunOutcome.FAILED
        return OUTCOMES.get(error.failure, RunOutcome.ABORTED)
    status = end.ok_value.head.status
    if status >= STATUS_FAILED or not may_pass_on(end.ok_value.head):
        return RunOutcome.FAILED
    if status == STATUS_OK and not complete:
        return RunOutcome.FAILED
    return RunOutcome.SUCCESS
