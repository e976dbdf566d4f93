"""What became of each batch job, from the daemons' logs."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from goldcreststair.cli.log_timeline import LogLine
from goldcreststair.const import MS_PER_SECOND


@dataclass(slots=True)
class JobStory:
    """One job."""

    job: str
    accepted_ms: int
    items: int
    due_ms: int = 0
    first_start_ms: int | None = None
    starts: int = 0
    in_time: int = 0
    late: int = 0
    owners: int = 1
    """Daemons that ran it one after the other."""
    ended: bool = False
    """Whether its caller ended it."""
    _done: set[str] = field(default_factory=set)

    @property
    def waited_s(self) -> float | None:
        """Time from its acceptance to the start of its first item."""
        if self.first_start_ms is None:
            return None
        return (self.first_start_ms - self.accepted_ms) / MS_PER_SECOND

    @property
    def not_done(self) -> int:
        """Items without a result."""
        return max(0, self.items - self.in_time - self.late)

    def take(self, line: LogLine) -> None:
        """Take one of its lines."""
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
            # Done twice by two owners, it counts when it was first done.
            self._done.add(str(line.fields["item"]))
            self.in_time += line.at_ms <= self.due_ms
            self.late += line.at_ms > self.due_ms


def collect_jobs(lines: Iterable[LogLine]) -> list[JobStory]:
    """Return the jobs that were accepted, in order."""
    jobs: dict[str, JobStory] = {}
    for line in sorted(lines, key=lambda line: line.at_ms):
        job = str(line.fields.get("job", ""))
        if line.event == "Job accepted" and job not in jobs:
            jobs[job] = JobStory(job, line.at_ms, int(line.fields.get("items", 0)))
        elif job in jobs:
            jobs[job].take(line)
    return list(jobs.values())
