"""Tests of timelines built from log lines."""

import orjson
import pytest

from goldcreststair.cli.log_timeline import build_timeline, describe_excluded, read_lines


def make_line(ms: int, vm: str, event: str, **seen: object) -> str:
    """Return a log line as a collector may store it, after the name of its VM."""
    at = f"2026-03-01T10:00:{ms // 1000:02d}.{ms % 1000:03d}Z"
    line = {"time": at, "level": "info", "vm": vm, "logger": "x", "event": event, **seen}
    return f"  12.3 front-1 {orjson.dumps(line).decode()}"


LINES = [
    "a line of another program",
    make_line(5_300, "10.0.0.1", "Request refused", request="r1", code="no_upstream", reason="no"),
    make_line(5_000, "10.0.0.1", "Request placed", request="r1", upstream="e1", reason="least"),
    make_line(4_000, "10.0.0.2", "Upstream down", upstream="e1", reason="cannot connect"),
    make_line(4_500, "10.0.0.1", "Store lost", table="vms"),
    make_line(4_600, "10.0.0.3", "Store lost", table="vms"),
    make_line(1_000, "10.0.0.1", "Leaving"),
    make_line(5_200, "10.0.0.1", "Request placed", request="r2", upstream="e1", reason="least"),
]


def test_timeline_is_in_order_and_has_context() -> None:
    timeline = build_timeline(read_lines(LINES), "request", "r1")
    assert [line.event for line in timeline.lines] == ["Request placed", "Request refused"]
    assert [(line.vm, line.event) for line in timeline.context] == [
        ("10.0.0.2", "Upstream down"),
        ("10.0.0.1", "Store lost"),
    ]
    cause = timeline.describe_cause()
    assert cause.startswith("no upstream accepted it; it has not run")
    assert "upstream down (10.0.0.2)" in cause


@pytest.mark.parametrize(
    ("last", "words"),
    [
        ({"event": "Request refused", "code": "rate_limited"}, "rate and burst over all VMs"),
        ({"event": "Request refused", "code": "x", "cut": True, "reason": "reset"}, "cut: reset"),
        ({"event": "Request answered", "reason": "status 200"}, "request answered"),
        ({"event": "Item given up", "reason": "upstream answered 422"}, "answered 422"),
        ({"event": "Job not accepted", "reason": "store"}, "store"),
    ],
)
def test_cause_is_described(last: dict[str, object], words: str) -> None:
    event = str(last.pop("event"))
    lines = [make_line(1, "a", event, request="r1", **last)]
    assert words in build_timeline(read_lines(lines), "request", "r1").describe_cause()


def test_runs_that_moved_are_counted() -> None:
    lines = [
        make_line(1, "a", "Request runs elsewhere", request="r1", reason="silent"),
        make_line(1, "a", "Request goes back", request="r1", reason="not run"),
        make_line(2, "a", "Request answered", request="r1"),
    ]
    assert (
        "after 2 runs that failed"
        in build_timeline(read_lines(lines), "request", "r1").describe_cause()
    )


def test_unknown_subject_is_reported() -> None:
    assert "nothing known" in build_timeline(read_lines(LINES), "request", "r9").describe_cause()


def test_ejected_and_half_open_upstreams_are_named() -> None:
    """Guards against naming an upstream that was restored, restarted or is gone."""
    lines = [
        make_line(1, "v1", "Upstream ejected", upstream="e1"),
        make_line(2, "v2", "Upstream ejected", upstream="e1"),
        make_line(3, "v2", "Upstream half open", upstream="e1"),
        make_line(4, "v1", "Upstream ejected", upstream="e2"),
        make_line(5, "v1", "Upstream restored", upstream="e2"),
        make_line(6, "v1", "Upstream ejected", upstream="e3"),
        make_line(7, "v1", "Upstream gone", upstream="e3"),
    ]
    assert describe_excluded(read_lines(lines)) == ["e1 ejected at v1", "e1 half open at v2"]
