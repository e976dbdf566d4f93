"""Prints how the worth of a replayed day was lost; `script/worth --help` lists the flags."""

import sys
from collections.abc import Iterator, Sequence
from pathlib import Path
from typing import Annotated

import cyclopts
from cyclopts import Parameter
from result import Err

from goldcreststair.cli.log_timeline import LogLine, read_lines
from goldcreststair.const import MS_PER_SECOND
from standins.worth.jobs import JobProgress, collect_jobs
from standins.worth.plot import draw_slots
from standins.worth.refusals import group_refusals
from standins.worth.report import Row, read_report
from standins.worth.runs import Run, SlotUse, collect_runs
from standins.worth.slots import SlotSecond, build_seconds, sum_uses

app = cyclopts.App(help="Analyse how the worth of a replayed day was lost.")
ONLINE = (SlotUse.ONLINE, SlotUse.ONLINE_AGAIN)
BATCH = (SlotUse.BATCH_DONE, SlotUse.BATCH_KEPT, SlotUse.OPEN)
WASTED = (SlotUse.BATCH_DONE_LATE, SlotUse.BATCH_ENDED, SlotUse.BATCH_FAILED, SlotUse.LOST)


@app.default
def main(
    logs: list[Path],
    report: Path | None = None,
    plot: Path | None = None,
    seconds: Annotated[bool, Parameter(help="Print every second.")] = False,
) -> int:
    """Print the tables of the daemons' logs and, if given, of the day's report.

    Returns 1 if a file can't be used.
    """
    lines = list(_read_all(logs))
    if not lines:
        print("logs: no line of a daemon's log in any of these files", file=sys.stderr)
        return 1
    if report is not None:
        found = read_report(report)
        if isinstance(found, Err):
            print(f"report: {found.err_value.message}", file=sys.stderr)
            return 1
        for name, rows in found.ok_value.items():
            _print_rows(name, rows)
    runs = collect_runs(lines)
    by_second = build_seconds(lines, runs)
    _print_uses(runs, by_second)
    if seconds:
        _print_seconds(by_second)
    _print_jobs(collect_jobs(lines))
    _print_refusals(lines)
    if plot is not None:
        draw_slots(by_second, plot)
    return 0


def _read_all(paths: Sequence[Path]) -> Iterator[LogLine]:
    for path in paths:
        with path.open(errors="replace") as file:
            yield from read_lines(file)


def _print_rows(name: str, rows: Sequence[Row]) -> None:
    print(f"{name:20s} asked in time  late refused failed  worth")
    for row in rows:
        print(
            f"{row.name:20s} {row.asked:5d} {row.in_time:7d} {row.late:5d} {row.refused:7d} "
            f"{row.failed:6d} {row.worth:6.3f}"
        )
    print()


def _print_uses(runs: Sequence[Run], by_second: Sequence[SlotSecond]) -> None:
    slots = sum(second.slots for second in by_second)
    total = sum_uses(runs)
    print(f"{'slot-seconds':30s} {slots:7.0f}")
    for use in SlotUse:
        held = total[use] / MS_PER_SECOND
        count = sum(run.use is use for run in runs)
        print(f"{use.value:30s} {held:7.1f} {held / max(1, slots):6.1%} {count:5d} runs")
    idle = sum(max(0.0, s.slots - s.mean_slots(*SlotUse)) for s in by_second if s.waiting)
    print(f"{'idle while items waited':30s} {idle:7.1f} {idle / max(1, slots):6.1%}\n")


def _print_seconds(by_second: Sequence[SlotSecond]) -> None:
    print("second slots online  batch wasted   idle waiting")
    for second in by_second:
        idle = max(0.0, second.slots - second.mean_slots(*SlotUse))
        print(
            f"{second.at_s:6d} {second.slots:5d} {second.mean_slots(*ONLINE):6.1f} "
            f"{second.mean_slots(*BATCH):6.1f} {second.mean_slots(*WASTED):6.1f} {idle:6.1f} "
            f"{second.waiting:7d}"
        )
    print()


def _print_jobs(jobs: Sequence[JobProgress]) -> None:
    print("job              items in time late not done starts owners first start after s")
    for job in jobs:
        waited = "never" if job.start_delay_s is None else f"{job.start_delay_s:.1f}"
        note = " ended by its caller" if job.ended else ""
        print(
            f"{job.job:16s} {job.items:5d} {job.in_time:7d} {job.late:4d} {job.not_done:8d} "
            f"{job.starts:6d} {job.owners:6d} {waited:>19s}{note}"
        )
    print()


def _print_refusals(lines: Sequence[LogLine]) -> None:
    print("refused as         count   cut  come back after ms (median)")
    for group in group_refusals(lines):
        print(f"{group.code:18s} {group.count:5d} {group.cut:5d} {group.retry_ms:8.0f}")


if __name__ == "__main__":
    sys.exit(app())
