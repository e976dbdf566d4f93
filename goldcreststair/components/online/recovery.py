"""Decides how to continue after a failed run; no I/O."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from goldcreststair.components.online.const import (
    MAX_ATTEMPTS,
    MAX_RECONNECTS,
    MAX_SILENCE_ATTEMPTS,
    MAX_WAITING_RECONNECTS,
)
from goldcreststair.helpers.retry_budget import RetryBudget
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure

RECONNECTABLE = (UpstreamFailure.INCOMPLETE, UpstreamFailure.CROSSED)


class NextStep(StrEnum):
    """How a request continues after a failed run."""

    SAME = "same"
    """Reconnect to the same upstream, which identifies the request by its id."""
    ELSEWHERE = "elsewhere"
    """Continue at another upstream, after the tokens already received."""
    GIVE_UP = "give_up"


@dataclass(slots=True)
class RunProgress:
    """Progress of one request over all its runs."""

    repeatable: bool
    attempts: int = 0
    reconnects: int = 0
    """New connections to the current upstream since the last token."""
    last_index: int = -1
    """Index of the last token received."""
    unstarted: int = 0
    """Attempts in a row that certainly did not run."""
    may_have_run: bool = False
    """Whether an upstream may have run any part; the request is then no longer "not run"."""

    @property
    def has_begun(self) -> bool:
        """Whether an upstream was tried before; the request was then admitted already."""
        return self.attempts > 0 or self.may_have_run


def decide_next(
    progress: RunProgress,
    error: UpstreamError,
    budget: RetryBudget,
    remaining_ms: int,
    has_alternative: Callable[[], bool] = lambda: True,
) -> NextStep:
    """Return how to continue after `error`; `progress` already counts the failed run.

    `has_alternative` returns whether another upstream would accept the request now.
    """
    if remaining_ms <= 0:
        return NextStep.GIVE_UP
    if error.failure is UpstreamFailure.SILENT and progress.repeatable:
        return _decide_after_silence(progress, budget, has_alternative)
    if progress.attempts >= MAX_ATTEMPTS:
        return NextStep.GIVE_UP
    if error.failure in (UpstreamFailure.REJECTED, UpstreamFailure.TIMEOUT):
        return NextStep.GIVE_UP
    # A request that certainly did not run may move, whether it is repeatable or not.
    if error.not_run:
        return NextStep.ELSEWHERE
    # Only the response was lost and the call may have run: repeating it could book twice.
    if not progress.repeatable:
        return NextStep.GIVE_UP
    if error.failure in RECONNECTABLE and progress.reconnects < MAX_RECONNECTS:
        return NextStep.SAME
    return NextStep.ELSEWHERE if _may_run_again(progress, budget) else NextStep.GIVE_UP


def _decide_after_silence(
    progress: RunProgress, budget: RetryBudget, has_alternative: Callable[[], bool]
) -> NextStep:
    # A slow upstream is silent too, so a run that may not move keeps waiting: giving up would
    # cut healthy responses. It ends when its connection breaks or its deadline passes.
    if progress.attempts >= MAX_SILENCE_ATTEMPTS or progress.reconnects < _get_reconnect_limit(
        progress
    ):
        return NextStep.SAME
    may_move = has_alternative() and _may_run_again(progress, budget)
    return NextStep.ELSEWHERE if may_move else NextStep.SAME


def _may_run_again(progress: RunProgress, budget: RetryBudget) -> bool:
    # A stream that has sent tokens continues without the retry budget, as cutting it would do
    # more harm. This cannot cause a retry storm: the attempts of each stream are bounded.
    return progress.last_index >= 0 or budget.try_spend()


def _get_reconnect_limit(progress: RunProgress) -> int:
    # A request in a long queue is silent too. If it moved after a few seconds it would lose its
    # place and join another queue, which worsens an overload. A new connection by id keeps the
    # place and still detects whether the old connection was dead.
    return MAX_RECONNECTS if progress.last_index >= 0 else MAX_WAITING_RECONNECTS
