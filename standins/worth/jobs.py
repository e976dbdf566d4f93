"""Progress and results of each batch job, from the daemons' logs."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from goldcreststair.cli.log_timeline import LogLine
from goldcreststair.const import MS_PER_SECOND


@dataclass(slots=True)
class JobProgress:
    """What the logs report of one job."""

    job: str
    accepted_ms: int
    items: int
    due_ms: int = 0
    first_start_ms: int | None = None
    starts: int = 0
    in_time: int = 0
    late: int = 0
    owners: int = 1
    """Daemons that owned it, one after another."""
    ended: bool = False
    """Whether its caller cancelled it."""
    _done: set[str] = field(default_factory=set)

    @property
    def start_delay_s(self) -> float | None:
        """Seconds from its acceptance to the start of its first item; None before that start."""
        if self.first_start_ms is None:
            return None
        return (self.first_start_ms - self.accepted_ms) / MS_PER_SECOND

    @property
    def not_done(self) -> int:
        """Items without a result."""
        return max(0, self.items - self.in_time - self.late)

    def record_line(self, line: LogLine) -> None:
        """Apply one of its log lines, in order of time."""
        if "due_in_ms" in line.fields:
            self.due_ms = line.at_ms + int(line.fields["due_in_ms"])
        if line.event == "Job taken over":
            self.owners += 1
        elif line.event == "Job ended":
            self.ended = True
        elif line.event == "Item started":
            self.starts += 1
            self.first_start_ms = self.first_start_ms or line.at_ms
        elif line.event == "Item done" and line.fields["item"] not in self._done:
            # If two owners completed the item, the first completion counts.
            self._done.add(str(line.fields["item"]))
            self.in_time += line.at_ms <= self.due_ms
            self.late += line.at_ms > self.due_ms


def collect_jobs(lines: Iterable[LogLine]) -> list[JobProgress]:
    """Return the accepted jobs in the order of their acceptance."""
    jobs: dict[str, JobProgress] = {}
    for line in sorted(lines, key=lambda line: line.at_ms):
        job = str(line.fields.get("job", ""))
        if line.event == "Job accepted" and job not in jobs:
            jobs[job] = JobProgress(job, line.at_ms, int(line.fields.get("items", 0)))
        elif job in jobs:
            jobs[job].record_line(line)
    return list(jobs.values())
