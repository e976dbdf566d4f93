"""Refused requests by code, with the retry time that they were given."""

from collections.abc import Iterable
from dataclasses import dataclass
from statistics import median

from goldcreststair.cli.log_timeline import LogLine


@dataclass(frozen=True, slots=True)
class RefusalGroup:
    """Refusals of one code."""

    code: str
    count: int
    cut: int
    """How many of them were streams that were cut off."""
    retry_ms: float
    """Median of the logged `retry_after_ms`."""


def group_refusals(lines: Iterable[LogLine]) -> list[RefusalGroup]:
    """Return the refusals by code, the most frequent first."""
    by_code: dict[str, list[LogLine]] = {}
    for line in lines:
        if line.event == "Request refused":
            by_code.setdefault(str(line.fields.get("code", "")), []).append(line)
    groups = [
        RefusalGroup(
            code,
            len(found),
            sum(bool(line.fields.get("cut")) for line in found),
            median(int(line.fields.get("retry_after_ms", 0)) for line in found),
        )
        for code, found in by_code.items()
    ]
    return sorted(groups, key=lambda group: -group.count)
