"""The analysis of lost worth, from short logs."""

from pathlib import Path
from typing import Any

import orjson
import pytest

from goldcreststair.cli.log_timeline import LogLine
from standins.worth.__main__ import main
from standins.worth.jobs import collect_jobs
from standins.worth.refusals import group_refusals
from standins.worth.runs import SlotUse, collect_runs
from standins.worth.slots import DEFAULT_SLOTS, build_seconds


def make_line(at_ms: int, event: str, vm: str = "v1", **seen: Any) -> LogLine:
    """Return one line of a daemon's log."""
    return LogLine(at_ms, vm, event, seen)


def start(at_ms: int, item: str = "i1", vm: str = "v1") -> LogLine:
    """Return the start of an item."""
    return make_line(at_ms, "Item started", vm, job="j", item=item, upstream="e", due_in_ms=5_000)


@pytest.mark.parametrize(
    ("ending", "use"),
    [
        (make_line(900, "Item done", job="j", item="i1", due_in_ms=10), SlotUse.BATCH_DONE),
        (make_line(900, "Item done", job="j", item="i1", due_in_ms=-1), SlotUse.BATCH_DONE_LATE),
        (make_line(900, "Item yielded", job="j", item="i1"), SlotUse.BATCH_KEPT),
        (make_line(900, "Item stopped", job="j", item="i1", reason="ended"), SlotUse.BATCH_ENDED),
        (make_line(900, "Item stopped", job="j", item="i1", reason="moved"), SlotUse.BATCH_KEPT),
        (make_line(900, "Item runs again", job="j", item="i1"), SlotUse.BATCH_FAILED),
        # The process ended without logging it, and the next one starts on the same VM.
        (make_line(900, "Started"), SlotUse.LOST),
        # Another VM's line about the same item does not end this run.
        (make_line(900, "Item done", "v2", job="j", item="i1", due_in_ms=10), SlotUse.OPEN),
    ],
)
def test_run_use_follows_ending_line_of_its_vm(ending: LogLine, use: SlotUse) -> None:
    (run,) = collect_runs([ending, start(100)])
    assert (run.began_ms, run.ended_ms, run.use) == (100, 900, use)


def test_slots_are_counted_by_second() -> None:
    lines = [
        make_line(0, "Upstream changed", upstream="e", slots=4, draining=False),
        make_line(0, "Upstream changed", "v2", upstream="e", slots=4, draining=False),
        make_line(0, "Job accepted", job="j", items=3),
        make_line(0, "Request placed", request="r", upstream="e"),
        start(500),
        make_line(1_500, "Request answered", request="r"),
        make_line(1_500, "Upstream changed", upstream="e", slots=4, draining=True),
        make_line(2_500, "Item done", job="j", item="i1", due_in_ms=10),
    ]
    seconds = build_seconds(lines, collect_runs(lines))
    assert [second.slots for second in seconds] == [4, 4, 0]
    assert [second.mean_slots(SlotUse.ONLINE) for second in seconds] == [1.0, 0.5, 0.0]
    assert [second.mean_slots(SlotUse.BATCH_DONE) for second in seconds] == [0.5, 1.0, 0.5]
    assert [second.waiting for second in seconds] == [3, 2, 2]


def test_returned_request_ends_first_run() -> None:
    lines = [
        make_line(0, "Request placed", request="r", upstream="e"),
        make_line(500, "Request goes back", request="r"),
        make_line(500, "Request placed", request="r", upstream="f"),
        make_line(1_500, "Request answered", request="r"),
    ]
    uses = [(run.upstream, run.use) for run in collect_runs(lines)]
    assert uses == [("e", SlotUse.ONLINE_AGAIN), ("f", SlotUse.ONLINE)]


def test_slots_listed_by_several_daemons_are_counted_once() -> None:
    """Each daemon lists all upstreams at its start; a late list may name upstreams that left."""
    lines = [
        make_line(0, "Upstreams known", slots_by_upstream={"e": 4, "f": 0}),
        make_line(0, "Upstreams known", "v2", slots_by_upstream={"e": 4, "f": 0}),
        make_line(500, "Upstream changed", upstream="e", slots=4, draining=True),
        make_line(900, "Upstreams known", "v3", slots_by_upstream={"e": 4}),
        start(100),
        make_line(1_900, "Item done", job="j", item="i1", due_in_ms=10),
    ]
    seconds = build_seconds(lines, collect_runs(lines))
    assert [second.slots for second in seconds] == [4 + DEFAULT_SLOTS, DEFAULT_SLOTS]


def test_job_counts_each_item_once() -> None:
    lines = [
        make_line(0, "Job accepted", job="j", items=3),
        start(1_000),
        make_line(2_000, "Job taken over", "v2", job="j"),
        start(2_100, vm="v2"),
        make_line(3_000, "Item done", "v2", job="j", item="i1", due_in_ms=3_000),
        make_line(3_100, "Item done", job="j", item="i1", due_in_ms=2_900),
        make_line(6_100, "Item done", "v2", job="j", item="i2", due_in_ms=-100),
    ]
    (job,) = collect_jobs(lines)
    assert (job.in_time, job.late, job.not_done) == (1, 1, 1)
    assert (job.starts, job.owners, job.start_delay_s) == (2, 2, 1.0)


def test_refusals_are_grouped_by_code() -> None:
    lines = [
        make_line(n, "Request refused", code="overloaded", retry_after_ms=n * 100, cut=n == 1)
        for n in range(1, 4)
    ]
    lines.append(make_line(9, "Request refused", code="rate_limited", retry_after_ms=50))
    first, second = group_refusals(lines)
    assert (first.code, first.count, first.cut, first.retry_ms) == ("overloaded", 3, 1, 200)
    assert (second.code, second.count) == ("rate_limited", 1)


def write_log(path: Path) -> Path:
    """Write a short log in the format that a process prints."""
    line = {"time": "2026-01-01T00:00:00.000Z", "vm": "v1", "event": "Request placed"}
    last = {"time": "2026-01-01T00:00:00.500Z", "vm": "v1", "event": "Request answered"}
    raw = [orjson.dumps({**each, "request": "r"}).decode() for each in (line, last)]
    path.write_text(f"  0.1 vm-a {raw[0]}\nnot a line\n{raw[1]}\n")
    return path


def test_tables_are_printed_and_chart_is_drawn(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    row = {"name": "k", "n": 2, "in_aim": 1, "late": 1, "refused": 0, "failed": 0, "worth": 0.5}
    report = tmp_path / "report.json"
    report.write_bytes(orjson.dumps({"classes": [row], "zones": [], "windows": []}))
    picture = tmp_path / "slots.svg"
    log = write_log(tmp_path / "log")
    assert main([log], report=report, plot=picture, seconds=True) == 0
    printed = capsys.readouterr().out
    assert "0.500" in printed and "slot-seconds" in printed
    assert b"<svg" in picture.read_bytes()


@pytest.mark.parametrize(
    ("log", "report", "message"),
    [("nothing", None, "logs: no line"), ("", '{"classes": 3}', "report: ")],
)
def test_unreadable_files_are_named(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    log: str,
    report: str | None,
    message: str,
) -> None:
    logs, reports = tmp_path / "log", tmp_path / "report.json"
    if log:
        logs.write_text(log)
    else:
        write_log(logs)
    if report:
        reports.write_text(report)
    assert main([logs], report=reports if report else None) == 1
    assert message in capsys.readouterr().err
