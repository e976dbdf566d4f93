"""Decides what happens to an item after a run; no I/O."""

from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from result import Err, Ok, Result

from goldcreststair.components.jobs.const import RETRY_MAX_MS, RETRY_MIN_MS
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd

STATUS_OK: Final = 200
STATUS_UNPROCESSABLE: Final = 422
"""The upstream's answer for an item that can never succeed."""
STATUS_FAILED: Final = 500


class Verdict(StrEnum):
    """What happens to an item after a run."""

    DONE = "done"
    GIVEN_UP = "given_up"
    AGAIN = "again"


@dataclass(frozen=True, slots=True)
class ItemVerdict:
    """What happens to an item after a run, and how the run is counted."""

    verdict: Verdict
    failed: bool = False
    """Whether the upstream answered with a failure of the item itself."""
    lost: bool = False
    """Whether the run ended without a conclusive answer."""


def classify_run(
    end: Result[RunEnd, UpstreamError], failures: int, max_attempts: int
) -> ItemVerdict:
    """Classify a run of an item that has failed `failures` times before."""
    if isinstance(end, Err):
        return ItemVerdict(Verdict.AGAIN, lost=not end.err_value.not_run)
    status = end.ok_value.head.status
    if status == STATUS_OK:
        return ItemVerdict(Verdict.DONE)
    if status == STATUS_UNPROCESSABLE:
        return ItemVerdict(Verdict.GIVEN_UP, failed=True)
    if status != STATUS_FAILED:
        # A timeout at the upstream, or an answer that says nothing about the item itself.
        return ItemVerdict(Verdict.AGAIN, lost=True)
    if failures + 1 >= max_attempts:
        return ItemVerdict(Verdict.GIVEN_UP, failed=True)
    return ItemVerdict(Verdict.AGAIN, failed=True)


def count_silent_runs(end: Result[RunEnd, UpstreamError], before: int) -> int:
    """Return the number of consecutive silent runs; one that did not start leaves it unchanged."""
    if isinstance(end, Ok):
        return 0
    if end.err_value.not_run:
        return before
    return before + 1 if end.err_value.failure is UpstreamFailure.SILENT else 0


def choose_backoff_ms(failures: int) -> int:
    """Return the delay in ms before the next run, after so many consecutive failures.

    >>> choose_backoff_ms(0), choose_backoff_ms(1), choose_backoff_ms(3), choose_backoff_ms(30)
    (0, 100, 400, 2000)
    """
    if failures <= 0:
        return 0
    return min(RETRY_MAX_MS, RETRY_MIN_MS << min(failures - 1, 10))
