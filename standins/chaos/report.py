"""Prints what a run came to."""

from collections import Counter

from standins.chaos.caller import STATUS_OK
from standins.chaos.observations import Kind, Observations
from standins.chaos.traffic import JOB_ITEMS
from standins.checking.checker import Violation

AFTER_MS = 10_000
"""How long after a fault's end its effects are looked for."""
WITHIN_RATE = ("designers", "fixtures")
"""Customers that stay far below their rate, so that each 429 to them is wrongful."""


def print_report(seen: Observations, violations: list[Violation]) -> None:
    """Print counts, recovery and violations."""
    attempts = seen.attempts
    print(f"requests by kind: {dict(Counter(str(attempt.kind) for attempt in attempts))}")
    answered = sum(1 for attempt in attempts if attempt.status == STATUS_OK)
    print(f"answered: {answered} of {len(attempts)}")
    refused = Counter(a.code for a in attempts if a.status not in (0, STATUS_OK))
    print(f"refused by code: {dict(refused)}")
    print(f"without a whole answer: {dict(Counter(a.code for a in attempts if not a.status))}")
    print(f"resends: {_count_resends(seen)}")
    wrongful = [a for a in attempts if a.status == 429 and a.customer in WITHIN_RATE]
    offered = sum(1 for attempt in attempts if attempt.customer in WITHIN_RATE)
    print(f"refused although within the rate: {len(wrongful)} of {offered}")
    print(f"jobs accepted: {len(seen.jobs)} of {JOB_ITEMS} items each")
    for line in _describe_faults(seen):
        print(line)
    for violation in violations:
        print(f"VIOLATION {violation.invariant}: {violation.detail}")
    print(f"violations: {len(violations)}")


def _count_resends(seen: Observations) -> int:
    kinds = (Kind.BOOKING, Kind.SUBMIT, Kind.POISON)
    counted = Counter(a.subject for a in seen.attempts if a.kind in kinds)
    return sum(count - 1 for count in counted.values())


def _describe_faults(seen: Observations) -> list[str]:
    """Return for each kind of fault how often it came and the worst time without an answer."""
    ends = sorted(a.ended_ms for a in seen.attempts if a.status == STATUS_OK)
    gaps: dict[str, list[int]] = {}
    for fault in seen.faults:
        inside = [at for at in ends if fault.begun_ms <= at <= fault.ended_ms + AFTER_MS]
        times = [fault.begun_ms, *inside]
        worst = max((later - at for at, later in zip(times, times[1:], strict=False)), default=-1)
        gaps.setdefault(fault.name, []).append(worst)
    return [
        f"fault {name}: {len(worst)} times, longest without any answer {max(worst)} ms"
        for name, worst in sorted(gaps.items())
    ]
