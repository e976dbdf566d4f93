"""Checks the required invariants over one record; used by the fault matrix and chaos runs."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from standins.checking.record import Record

LEAVING_GRACE_MS: Final = 3000
ROUNDING: Final = 1e-6


class Invariant(StrEnum):
    """A property that holds under every fault."""

    ONE_TERMINAL_STATE = "one terminal state an item"
    RESULT_EQUAL = "results read back equal"
    AT_MOST_ONCE = "at most once where not repeatable"
    NOT_RUN_TRUE = "not_run is true"
    WHOLE_ANSWER = "whole answer to its own request"
    ADMITTED_WITHIN_LIMIT = "rate and burst over all VMs"
    KEY_HIDDEN = "no upstream sees a key"
    VERSION_MONOTONIC = "configuration never reverts"
    LEAVING_GETS_NO_WORK = "no new work at a leaving upstream"
    WITHDRAWN_KEY_STOPS = "a withdrawn key stops within seconds"
    PLANNED_STOP_CUTS_NONE = "a planned stop cuts no request"


@dataclass(frozen=True, slots=True)
class Violation:
    """One violated invariant."""

    invariant: Invariant
    detail: str


@dataclass(frozen=True, slots=True)
class Limit:
    """One customer's rate limit."""

    rate_per_s: float
    burst: int


def find_violations(record: Record, limits: dict[str, Limit] | None = None) -> list[Violation]:
    """Return all violations; the list is empty if the record passes."""
    return [
        *_check_items(record),
        *_check_results(record),
        *_check_at_most_once(record),
        *_check_refusals(record),
        *_check_answers(record),
        *_check_limits(record, limits or {}),
        *_check_keys(record),
        *_check_versions(record),
        *_check_leaving_upstreams(record),
    ]


def _check_items(record: Record) -> Iterator[Violation]:
    counted = Counter((item.job, item.item) for item in record.items)
    for accepted in record.accepted_items:
        if counted[accepted] != 1:
            detail = f"{accepted} has {counted[accepted]} terminal states"
            yield Violation(Invariant.ONE_TERMINAL_STATE, detail)
    for unknown in counted.keys() - set(record.accepted_items):
        yield Violation(Invariant.ONE_TERMINAL_STATE, f"{unknown} was never accepted")


def _check_results(record: Record) -> Iterator[Violation]:
    for item in record.items:
        if item.state == "done" and item.text != item.expected:
            yield Violation(Invariant.RESULT_EQUAL, f"{item.job}/{item.item}: {item.text!r}")


def _check_at_most_once(record: Record) -> Iterator[Violation]:
    counted = Counter(run.request for run in record.runs if not run.repeatable)
    for request, count in counted.items():
        if count > 1:
            yield Violation(Invariant.AT_MOST_ONCE, f"{request} ran {count} times")


def _check_refusals(record: Record) -> Iterator[Violation]:
    ran = {run.request for run in record.runs}
    for refused in record.refusals:
        if refused.not_run and refused.request in ran:
            yield Violation(Invariant.NOT_RUN_TRUE, f"{refused.request} ran")


def _check_answers(record: Record) -> Iterator[Violation]:
    for answer in record.answers:
        if answer.text != answer.expected:
            yield Violation(Invariant.WHOLE_ANSWER, f"{answer.request}: {answer.text!r}")


def _check_limits(record: Record, limits: dict[str, Limit]) -> Iterator[Violation]:
    for customer, limit in limits.items():
        excess = measure_excess(record.admitted_ms.get(customer, []), limit)
        if excess > ROUNDING:
            detail = f"{customer}: {excess:.2f} over in some interval"
            yield Violation(Invariant.ADMITTED_WITHIN_LIMIT, detail)


def measure_excess(admitted_ms: list[int], limit: Limit) -> float:
    """Return by how much the worst interval exceeds rate x time + burst; 0 or less passes.

    An interval's excess is the number admitted in it, ends included, minus rate x length - burst.
    One pass covers all intervals by keeping the maximum of (rate x time - count before).

    >>> measure_excess([0, 0, 0, 1000], Limit(1.0, 2))
    1.0
    """
    worst = float("-inf")
    best_start = float("-inf")
    for count, at_ms in enumerate(sorted(admitted_ms)):
        spent = limit.rate_per_s * at_ms / 1000
        best_start = max(best_start, spent - count)
        worst = max(worst, count + 1 - spent + best_start - limit.burst)
    return worst if admitted_ms else 0.0


def _check_keys(record: Record) -> Iterator[Violation]:
    for key in record.keys:
        if any(key.encode() in received for received in record.received):
            yield Violation(Invariant.KEY_HIDDEN, "an upstream received a key")


def _check_versions(record: Record) -> Iterator[Violation]:
    for vm, versions in record.versions.items():
        if versions != sorted(versions):
            yield Violation(Invariant.VERSION_MONOTONIC, f"{vm}: {versions}")


def _check_leaving_upstreams(record: Record) -> Iterator[Violation]:
    for run in record.runs:
        left_ms = record.leaving_ms.get(run.upstream)
        if left_ms is not None and run.at_ms > left_ms + LEAVING_GRACE_MS:
            yield Violation(Invariant.LEAVING_GETS_NO_WORK, f"{run.request} began at {run.at_ms}")
