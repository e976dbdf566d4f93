"""Runs at upstreams, from the daemons' logs: when each held its slot, and what became of it."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

from goldcreststair.cli.log_timeline import LogLine


class Use(StrEnum):
    """What a run's slot was held for."""

    ONLINE = "online"
    ONLINE_AGAIN = "online, run again elsewhere"
    BATCH_DONE = "batch, done in time"
    BATCH_DONE_LATE = "batch, done late"
    BATCH_KEPT = "batch, gave way or moved"
    """Its item goes on after what the run had brought."""
    BATCH_ENDED = "batch, job ended by its caller"
    BATCH_FAILED = "batch, failed"
    LOST = "lost with its VM"
    OPEN = "not over at the end of the logs"


_STARTS: Final = ("Request placed", "Item started")
_ENDS: Final = {
    "Request answered": Use.ONLINE,
    "Request refused": Use.ONLINE,
    "Request given up": Use.ONLINE,
    "Request runs elsewhere": Use.ONLINE_AGAIN,
    "Request goes back": Use.ONLINE_AGAIN,
    "Item yielded": Use.BATCH_KEPT,
    "Item stopped": Use.BATCH_KEPT,
    "Item runs again": Use.BATCH_FAILED,
    "Item given up": Use.BATCH_FAILED,
    "Item done": Use.BATCH_DONE,
}
_VM_ENDS: Final = ("Started", "Stopped")
ENDED: Final = "ended"
"""Reason of a stopped item whose job its caller ended."""


@dataclass(frozen=True, slots=True)
class Run:
    """One run at an upstream."""

    began_ms: int
    ended_ms: int
    upstream: str
    use: Use

    def overlap_ms(self, begin_ms: int, end_ms: int) -> int:
        """Return for how much of a time it held its slot."""
        return max(0, min(self.ended_ms, end_ms) - max(self.began_ms, begin_ms))


def collect_runs(lines: Iterable[LogLine]) -> list[Run]:
    """Return all runs that the logs show, in the order of their ends."""
    ordered = sorted(lines, key=lambda line: line.at_ms)
    open_runs: dict[tuple[str, str], LogLine] = {}
    runs: list[Run] = []
    for line in ordered:
        subject = str(line.fields.get("item") or line.fields.get("request") or "")
        key = (line.vm, subject)
        if line.event in _VM_ENDS:
            # A process that starts has lost what the one before it ran.
            for lost in [key for key in open_runs if key[0] == line.vm]:
                runs.append(_close(open_runs.pop(lost), line.at_ms, Use.LOST))
        elif line.event in _ENDS and key in open_runs:
            runs.append(_close(open_runs.pop(key), line.at_ms, _judge(line)))
        if line.event in _STARTS:
            open_runs[key] = line
    end_ms = ordered[-1].at_ms if ordered else 0
    return runs + [_close(line, end_ms, Use.OPEN) for line in open_runs.values()]


def _judge(line: LogLine) -> Use:
    use = _ENDS[line.event]
    if use is Use.BATCH_DONE and line.fields.get("due_in_ms", 0) < 0:
        return Use.BATCH_DONE_LATE
    if use is Use.BATCH_KEPT and line.fields.get("reason") == ENDED:
        return Use.BATCH_ENDED
    return use


def _close(began: LogLine, ended_ms: int, use: Use) -> Run:
    # The end of a request may be missing, left out by sampling: it lasted no longer than its time.
    if "left_ms" in began.fields:
        ended_ms = min(ended_ms, began.at_ms + int(began.fields["left_ms"]))
    return Run(began.at_ms, ended_ms, str(began.fields.get("upstream", "")), use)
