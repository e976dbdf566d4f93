"""What follows a run that brought no whole answer; no I/O."""

from enum import StrEnum
from typing import Final

from goldcreststair.components.catalogue.models import Route
from goldcreststair.components.forwarding.const import (
    MAX_PLACE_PAUSE_MS,
    MIN_LEFT_MS,
    PLACE_LOOK_MS,
    RETRY_NOW_MS,
)
from goldcreststair.components.forwarding.models import RequestProgress
from goldcreststair.helpers.refusals import Refusal, RefusalCode
from goldcreststair.helpers.retry_budget import RetryBudget
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure

MAX_NOT_RUN: Final = 6
"""Upstreams that may turn one request away as not run before it is refused."""
STATUS_BAD_GATEWAY: Final = 502
STATUS_UNAVAILABLE: Final = 503
STATUS_GATEWAY_TIMEOUT: Final = 504


class NextRun(StrEnum):
    """What follows."""

    ELSEWHERE = "elsewhere"
    BACK = "back"
    """At an upstream whose run was left for its silence."""
    GIVE_UP = "give_up"


def decide_next_run(
    progress: RequestProgress,
    route: Route,
    error: UpstreamError,
    budget: RetryBudget,
    left_ms: int,
) -> NextRun:
    """Return what follows `error`; `progress` already counts the failed run."""
    if left_ms < MIN_LEFT_MS or error.failure is UpstreamFailure.TIMEOUT:
        return NextRun.GIVE_UP
    following = _decide_elsewhere(progress, route, error, budget)
    # The run that was left may have been a good one: its upstream is asked again rather than nobody.
    if following is NextRun.GIVE_UP and progress.left:
        return NextRun.BACK
    return following


def _decide_elsewhere(
    progress: RequestProgress, route: Route, error: UpstreamError, budget: RetryBudget
) -> NextRun:
    if error.not_run and not progress.may_have_run:
        # A run that certainly did not happen is free to move, whether repeatable or not.
        tried = len(progress.excluded)
        return NextRun.ELSEWHERE if tried <= MAX_NOT_RUN else NextRun.GIVE_UP
    # Shows as two grounds booked: the answer was lost, not the run, so it is never sent again.
    if not route.repeatable or progress.attempts >= route.max_attempts:
        return NextRun.GIVE_UP
    # A stream with events out goes on without the budget: to cut it would be the greater harm, and
    # it cannot storm, since the upstreams of one request are bounded.
    if progress.last_event > 0 or error.not_run or budget.try_spend():
        return NextRun.ELSEWHERE
    return NextRun.GIVE_UP


def may_leave_run(
    progress: RequestProgress, route: Route, budget: RetryBudget, left_ms: int
) -> bool:
    """Return whether a run that is under way may be left for another one.

    `progress` does not count the run yet, but has the last event that it brought.
    """
    if left_ms < MIN_LEFT_MS or not route.repeatable:
        return False
    if progress.attempts + 1 >= route.max_attempts:
        return False
    return progress.last_event > 0 or not budget.is_spent


def choose_place_pause(progress: RequestProgress) -> int:
    """Return the ms before a request is placed again, after so many upstreams turned it away.

    >>> [choose_place_pause(RequestProgress(turned_away=times)) for times in (0, 6, 7, 8, 30)]
    [0, 0, 50, 100, 400]
    """
    over = progress.turned_away - MAX_NOT_RUN
    return min(MAX_PLACE_PAUSE_MS, PLACE_LOOK_MS << min(over - 1, 8)) if over > 0 else 0


def refuse_after(progress: RequestProgress, error: UpstreamError, retry_ms: int = 0) -> Refusal:
    """Return the final answer after a failed run."""
    if not progress.may_have_run:
        wait_ms = max(retry_ms, RETRY_NOW_MS)
        code = RefusalCode.NO_UPSTREAM
        return Refusal(error.message, code, STATUS_UNAVAILABLE, True, wait_ms)
    if error.failure is UpstreamFailure.TIMEOUT:
        return Refusal(error.message, RefusalCode.DEADLINE, STATUS_GATEWAY_TIMEOUT)
    return Refusal(error.message, RefusalCode.UPSTREAM_FAILED, STATUS_BAD_GATEWAY)
