"""Decides what follows a run without a complete answer; no I/O."""

from enum import StrEnum
from typing import Final

from goldcreststair.components.catalogue.models import Route
from goldcreststair.components.forwarding.const import (
    MAX_PLACEMENT_DELAY_MS,
    MIN_REMAINING_MS,
    MIN_RETRY_AFTER_MS,
    PLACEMENT_RETRY_MS,
)
from goldcreststair.components.forwarding.models import RequestProgress
from goldcreststair.helpers.refusals import STATUS_UNAVAILABLE, Refusal, RefusalCode
from goldcreststair.helpers.retry_budget import RetryBudget
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure

MAX_NOT_RUN: Final = 6
"""Upstreams that may refuse one request as not run before the caller gets a refusal."""
MAX_RESUMPTION_WAIT_MS: Final = 1_000
"""How long a stream that its caller takes up waits for a place; callers leave a stream after two seconds
without an event."""
STATUS_BAD_GATEWAY: Final = 502
STATUS_GATEWAY_TIMEOUT: Final = 504


class NextStep(StrEnum):
    """What follows a failed run."""

    ELSEWHERE = "elsewhere"
    """Run at another upstream."""
    BACK = "back"
    """Run again at an upstream whose run was abandoned for its silence."""
    GIVE_UP = "give_up"
    """Send the final answer."""


def decide_next_step(
    progress: RequestProgress,
    route: Route,
    error: UpstreamError,
    budget: RetryBudget,
    remaining_ms: int,
) -> NextStep:
    """Return the next step after `error`; `progress` already counts the failed run."""
    if remaining_ms < MIN_REMAINING_MS or error.failure is UpstreamFailure.TIMEOUT:
        return NextStep.GIVE_UP
    if not progress.can_continue:
        return NextStep.GIVE_UP
    next_step = _decide_other_upstream(progress, route, error, budget)
    # The abandoned run may have been healthy, so its upstream is retried before the request is refused.
    if next_step is NextStep.GIVE_UP and progress.abandoned:
        return NextStep.BACK
    return next_step


def _decide_other_upstream(
    progress: RequestProgress, route: Route, error: UpstreamError, budget: RetryBudget
) -> NextStep:
    if error.not_run and not progress.may_have_run:
        # A request that certainly did not run may be sent elsewhere, whether repeatable or not.
        tried = len(progress.excluded)
        return NextStep.ELSEWHERE if tried <= MAX_NOT_RUN else NextStep.GIVE_UP
    # Sending a non-repeatable request again would run it twice (a booking made twice): only the
    # answer was lost, not the run.
    if not route.repeatable or progress.attempts >= route.max_attempts:
        return NextStep.GIVE_UP
    # A begun stream is resumed without using the retry budget: cutting it would do more harm, and it
    # cannot cause a retry storm, since the number of upstreams per request is bounded.
    if progress.last_event > 0 or error.not_run or budget.try_spend():
        return NextStep.ELSEWHERE
    return NextStep.GIVE_UP


def may_abandon_run(
    progress: RequestProgress, route: Route, budget: RetryBudget, remaining_ms: int
) -> bool:
    """Return whether an active run may be abandoned for a run at another upstream.

    `progress` does not count the active run yet, but has the last event that it returned.
    """
    if remaining_ms < MIN_REMAINING_MS or not route.repeatable or not progress.can_continue:
        return False
    if progress.attempts + 1 >= route.max_attempts:
        return False
    return progress.last_event > 0 or not budget.is_spent


def choose_placement_delay(progress: RequestProgress) -> int:
    """Return the delay in ms before a request is placed again, given the refusals so far.

    >>> [choose_placement_delay(RequestProgress(not_run_count=times)) for times in (0, 6, 7, 8, 30)]
    [0, 0, 50, 100, 400]
    """
    excess = progress.not_run_count - MAX_NOT_RUN
    return (
        min(MAX_PLACEMENT_DELAY_MS, PLACEMENT_RETRY_MS << min(excess - 1, 8)) if excess > 0 else 0
    )


def make_final_refusal(
    progress: RequestProgress, error: UpstreamError, retry_ms: int = 0
) -> Refusal:
    """Return the refusal that is the final answer after a failed run."""
    if not progress.may_have_run:
        retry_after_ms = max(retry_ms, MIN_RETRY_AFTER_MS)
        code = RefusalCode.NO_UPSTREAM
        return Refusal(error.message, code, STATUS_UNAVAILABLE, True, retry_after_ms)
    if error.failure is UpstreamFailure.TIMEOUT:
        return Refusal(error.message, RefusalCode.DEADLINE, STATUS_GATEWAY_TIMEOUT)
    return Refusal(error.message, RefusalCode.UPSTREAM_FAILED, STATUS_BAD_GATEWAY)


def make_resumption_refusal(message: str, retry_after_ms: int) -> Refusal:
    """Return the refusal of a stream that cannot be continued; `retry_after_ms` is 0 if it never can."""
    code = RefusalCode.CANNOT_RESUME
    return Refusal(message, code, STATUS_UNAVAILABLE, True, retry_after_ms)
