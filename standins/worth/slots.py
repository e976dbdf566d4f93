"""Counts the upstreams' slots and their use per second."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from typing import Final

from goldcreststair.cli.log_timeline import LogLine
from goldcreststair.const import MS_PER_SECOND
from standins.worth.runs import Run, SlotUse

DEFAULT_SLOTS: Final = 8
"""Slots of upstreams whose log lines state no number."""


@dataclass(frozen=True, slots=True)
class SlotSecond:
    """Figures of one second over all upstreams."""

    at_s: int
    """Seconds since the first run."""
    slots: int
    """Slots of the upstreams that accepted work at the start of the second."""
    held: Counter[SlotUse]
    """Slot-milliseconds by use."""
    waiting: int = 0
    """Items of accepted jobs that were neither done nor running at the start of the second."""

    def mean_slots(self, *uses: SlotUse) -> float:
        """Return the mean number of slots held for these uses."""
        return sum(self.held[use] for use in uses) / MS_PER_SECOND


def build_seconds(lines: Sequence[LogLine], runs: Sequence[Run]) -> list[SlotSecond]:
    """Return each second from the start of the first run to the end of the last."""
    if not runs:
        return []
    first, last = min(r.began_ms for r in runs), max(r.ended_ms for r in runs)
    seconds = []
    for begin in range(first, last, MS_PER_SECOND):
        held: Counter[SlotUse] = Counter()
        for run in runs:
            held[run.use] += run.overlap_ms(begin, begin + MS_PER_SECOND)
        number = (begin - first) // MS_PER_SECOND
        slots = _count_slots(lines, begin)
        seconds.append(SlotSecond(number, slots, held, _count_waiting(lines, runs, begin)))
    return seconds


def sum_uses(runs: Iterable[Run]) -> Counter[SlotUse]:
    """Return slot-milliseconds by use over the whole day."""
    total: Counter[SlotUse] = Counter()
    for run in runs:
        total[run.use] += run.ended_ms - run.began_ms
    return total


def _count_slots(lines: Sequence[LogLine], at_ms: int) -> int:
    slots: dict[str, int] = {}
    for line in lines:
        if line.at_ms <= at_ms and line.event == "Upstreams known":
            known: dict[str, int] = line.fields.get("slots_by_upstream") or {}
            # The list of a daemon that starts later must not override what was logged since.
            slots = {name: found or DEFAULT_SLOTS for name, found in known.items()} | slots
        name = str(line.fields.get("upstream", ""))
        if line.at_ms > at_ms or not name:
            continue
        if line.event == "Upstream gone" or (
            line.event == "Upstream changed" and line.fields.get("draining")
        ):
            slots[name] = 0
        elif line.event == "Upstream changed":
            slots[name] = int(line.fields.get("slots") or DEFAULT_SLOTS)
    return sum(slots.values())


def _count_waiting(lines: Sequence[LogLine], runs: Sequence[Run], at_ms: int) -> int:
    accepted = done = 0
    ended: set[str] = set()
    sizes: dict[str, int] = {}
    finished: Counter[str] = Counter()
    for line in lines:
        if line.at_ms > at_ms:
            continue
        job = str(line.fields.get("job", ""))
        if line.event == "Job accepted":
            sizes[job] = int(line.fields.get("items", 0))
        elif line.event == "Job ended":
            ended.add(job)
        elif line.event in ("Item done", "Item given up"):
            finished[job] += 1
    for job, size in sizes.items():
        if job not in ended:
            accepted, done = accepted + size, done + min(size, finished[job])
    online = (SlotUse.ONLINE, SlotUse.ONLINE_AGAIN)
    running = sum(r.began_ms <= at_ms < r.ended_ms and r.use not in online for r in runs)
    return max(0, accepted - done - running)
