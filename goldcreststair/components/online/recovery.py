"""Decides what follows a failed run; no I/O."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.components.online.const import (
    MAX_ATTEMPTS,
    MAX_LEFT_RUNS,
    MAX_RECONNECTS,
    MAX_WAITING_RECONNECTS,
)
from goldcreststair.helpers.retry_budget import RetryBudget
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure

RECONNECTABLE = (UpstreamFailure.INCOMPLETE, UpstreamFailure.CROSSED)


class NextStep(StrEnum):
    """What follows a failed run."""

    SAME = "same"
    """A new connection to the same upstream, which knows the request by its id."""
    ELSEWHERE = "elsewhere"
    """Another upstream, after the tokens already received."""
    GIVE_UP = "give_up"


@dataclass(slots=True)
class RunProgress:
    """How far one request has come over all its runs."""

    repeatable: bool
    attempts: int = 0
    reconnects: int = 0
    """New connections to the present upstream since the last token."""
    last_index: int = -1
    """Index of the last token received."""
    vain: int = 0
    """Attempts that no upstream took since the last one that may have run."""
    may_have_run: bool = False
    """Whether any upstream may have run any part; "not run" is untrue from then on."""

    @property
    def has_begun(self) -> bool:
        """Whether an upstream was asked before, so that the request was admitted then."""
        return self.attempts > 0 or self.may_have_run


def decide_next(
    progress: RunProgress,
    error: UpstreamError,
    budget: RetryBudget,
    remaining_ms: int,
    has_other: Callable[[], bool] = lambda: True,
) -> NextStep:
    """Return what follows `error`; `progress` already counts the failed run.

    `has_other` tells whether another upstream would take the request now.
    """
    if remaining_ms <= 0:
        return NextStep.GIVE_UP
    if error.failure is UpstreamFailure.SILENT and progress.repeatable:
        return _follow_silence(progress, budget, has_other)
    if progress.attempts >= MAX_ATTEMPTS:
        return NextStep.GIVE_UP
    if error.failure in (UpstreamFailure.REJECTED, UpstreamFailure.TIMEOUT):
        return NextStep.GIVE_UP
    # A run that certainly did not happen is free to move, whether repeatable or not.
    if error.not_run:
        return NextStep.ELSEWHERE
    # Shows as two grounds booked: the answer was lost, not the run, so it is never sent again.
    if not progress.repeatable:
        return NextStep.GIVE_UP
    if error.failure in RECONNECTABLE and progress.reconnects < MAX_RECONNECTS:
        return NextStep.SAME
    return NextStep.ELSEWHERE if _may_run_again(progress, budget) else NextStep.GIVE_UP


def _follow_silence(
    progress: RunProgress, budget: RetryBudget, has_other: Callable[[], bool]
) -> NextStep:
    # Shows as healthy answers cut: a slow upstream is silent too, and a run that may not move
    # is served by waiting or not at all. A connection that breaks ends it, or its deadline.
    if progress.attempts >= MAX_LEFT_RUNS or progress.reconnects < _limit_waits(progress):
        return NextStep.SAME
    moves = has_other() and _may_run_again(progress, budget)
    return NextStep.ELSEWHERE if moves else NextStep.SAME


def _may_run_again(progress: RunProgress, budget: RetryBudget) -> bool:
    # A stream with tokens out goes on without the budget: to cut it would be the greater harm,
    # and it cannot storm, since the attempts of each stream are bounded.
    return progress.last_index >= 0 or budget.try_spend()


def _limit_waits(progress: RunProgress) -> int:
    # A long queue at an upstream is silent too. Moved on after a few seconds, every waiting
    # request would lose its place and join another queue, which makes an overload worse; a new
    # connection by id keeps the place and still finds out whether the old one was dead.
    return MAX_RECONNECTS if progress.last_index >= 0 else MAX_WAITING_RECONNECTS
