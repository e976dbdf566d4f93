"""Prints the report of a chaos run."""

from collections import Counter

from standins.chaos.caller import STATUS_OK
from standins.chaos.observations import Attempt, Kind, Observations
from standins.chaos.traffic import JOB_ITEMS
from standins.checking.checker import Violation

AFTER_MS = 10_000
"""Time after the end of a fault in which its effects are counted."""
WITHIN_RATE = ("designers", "fixtures")
"""Customers that stay far below their rate, so that each 429 to them is wrong."""


def print_report(observed: Observations, violations: list[Violation]) -> None:
    """Print counts, recovery and violations."""
    attempts = observed.attempts
    print(f"requests by kind: {dict(Counter(str(attempt.kind) for attempt in attempts))}")
    answered = sum(1 for attempt in attempts if attempt.status == STATUS_OK)
    print(f"answered: {answered} of {len(attempts)}")
    refused = Counter(a.code for a in attempts if a.status not in (0, STATUS_OK))
    print(f"refused by code: {dict(refused)}")
    print(f"without a whole answer: {dict(Counter(a.code for a in attempts if not a.status))}")
    print(f"resends: {_count_resends(observed)}")
    wrongful = [a for a in attempts if a.status == 429 and a.customer in WITHIN_RATE]
    offered = sum(1 for attempt in attempts if attempt.customer in WITHIN_RATE)
    print(f"refused although within the rate: {len(wrongful)} of {offered}")
    print(f"jobs accepted: {len(observed.jobs)} of {JOB_ITEMS} items each")
    for line in _describe_faults(observed):
        print(line)
    for violation in violations:
        print(f"VIOLATION {violation.invariant}: {violation.detail}")
    print(f"violations: {len(violations)}")


def _count_resends(observed: Observations) -> int:
    kinds = (Kind.BOOKING, Kind.SUBMIT, Kind.POISON)
    counted = Counter(a.subject for a in observed.attempts if a.kind in kinds)
    return sum(count - 1 for count in counted.values())


def _describe_faults(observed: Observations) -> list[str]:
    """Return one line per kind of fault: its count, longest gap and longest recovery."""
    ends = sorted(a.ended_ms for a in observed.attempts if a.status == STATUS_OK)
    unanswered = [a.ended_ms for a in observed.attempts if _is_unanswered_within_rate(a)]
    gaps: dict[str, list[int]] = {}
    recoveries: dict[str, list[int]] = {}
    for fault in observed.faults:
        until_ms = fault.ended_ms + AFTER_MS
        times = [fault.begun_ms, *(at for at in ends if fault.begun_ms <= at <= until_ms)]
        worst = max((later - at for at, later in zip(times, times[1:], strict=False)), default=-1)
        last = max((at for at in unanswered if fault.begun_ms <= at <= until_ms), default=0)
        gaps.setdefault(fault.name, []).append(worst)
        recoveries.setdefault(fault.name, []).append(max(0, last - fault.begun_ms))
    return [
        f"fault {name}: {len(worst)} times, longest without any answer {max(worst)} ms, "
        f"last harm to a customer within its rate {max(recoveries[name])} ms after it began"
        for name, worst in sorted(gaps.items())
    ]


def _is_unanswered_within_rate(attempt: Attempt) -> bool:
    """Return whether an online request of a customer within its rate got no answer."""
    online = attempt.kind in (Kind.ONLINE, Kind.STREAM)
    return attempt.customer in WITHIN_RATE and online and attempt.status != STATUS_OK
