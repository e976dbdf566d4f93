"""Runs at upstreams, from the daemons' logs: when each held its slot, and how it ended."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from goldcreststair.cli.log_timeline import LogLine


class SlotUse(StrEnum):
    """What a run's slot was held for."""

    ONLINE = "online"
    ONLINE_AGAIN = "online, run again elsewhere"
    BATCH_DONE = "batch, done in time"
    BATCH_DONE_LATE = "batch, done late"
    BATCH_KEPT = "batch, gave way or moved"
    """Its item continues after the output that the run produced."""
    BATCH_ENDED = "batch, job ended by its caller"
    BATCH_FAILED = "batch, failed"
    LOST = "lost with its VM"
    OPEN = "not over at the end of the logs"


_STARTS: Final = ("Request placed", "Item started")
_ENDS: Final = {
    "Request answered": SlotUse.ONLINE,
    "Request refused": SlotUse.ONLINE,
    "Request given up": SlotUse.ONLINE,
    "Request runs elsewhere": SlotUse.ONLINE_AGAIN,
    "Request goes back": SlotUse.ONLINE_AGAIN,
    "Item yielded": SlotUse.BATCH_KEPT,
    "Item stopped": SlotUse.BATCH_KEPT,
    "Item runs again": SlotUse.BATCH_FAILED,
    "Item given up": SlotUse.BATCH_FAILED,
    "Item done": SlotUse.BATCH_DONE,
}
_VM_ENDS: Final = ("Started", "Stopped")
JOB_ENDED_REASON: Final = "ended"
"""Logged reason of a stopped item whose job was cancelled by its caller."""


@dataclass(frozen=True, slots=True)
class Run:
    """One run at an upstream."""

    began_ms: int
    ended_ms: int
    upstream: str
    use: SlotUse

    def overlap_ms(self, begin_ms: int, end_ms: int) -> int:
        """Return how many milliseconds of an interval it held its slot."""
        return max(0, min(self.ended_ms, end_ms) - max(self.began_ms, begin_ms))


def collect_runs(lines: Iterable[LogLine]) -> list[Run]:
    """Return all runs in the logs, in the order of their ends; open runs come last."""
    ordered = sorted(lines, key=lambda line: line.at_ms)
    open_runs: dict[tuple[str, str], LogLine] = {}
    runs: list[Run] = []
    for line in ordered:
        subject = str(line.fields.get("item") or line.fields.get("request") or "")
        key = (line.vm, subject)
        if line.event in _VM_ENDS:
            # The previous process of this VM has ended, and its open runs with it.
            for lost in [key for key in open_runs if key[0] == line.vm]:
                runs.append(_make_run(open_runs.pop(lost), line.at_ms, SlotUse.LOST))
        elif line.event in _ENDS and key in open_runs:
            runs.append(_make_run(open_runs.pop(key), line.at_ms, _classify(line)))
        if line.event in _STARTS:
            open_runs[key] = line
    end_ms = ordered[-1].at_ms if ordered else 0
    return runs + [_make_run(line, end_ms, SlotUse.OPEN) for line in open_runs.values()]


def _classify(line: LogLine) -> SlotUse:
    use = _ENDS[line.event]
    if use is SlotUse.BATCH_DONE and line.fields.get("due_in_ms", 0) < 0:
        return SlotUse.BATCH_DONE_LATE
    if use is SlotUse.BATCH_KEPT and line.fields.get("reason") == JOB_ENDED_REASON:
        return SlotUse.BATCH_ENDED
    return use


def _make_run(start: LogLine, ended_ms: int, use: SlotUse) -> Run:
    # Sampling may have dropped the line of a request's end: it lasted at most its time limit.
    if "left_ms" in start.fields:
        ended_ms = min(ended_ms, start.at_ms + int(start.fields["left_ms"]))
    return Run(start.at_ms, ended_ms, str(start.fields.get("upstream", "")), use)
