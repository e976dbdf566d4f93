"""Logging: limited in volume, never blocking, with warnings and errors kept first."""

import asyncio
import fcntl
import logging
import os
import time

import orjson
import pytest

from goldcreststair.line_writer import LineWriter
from goldcreststair.log import BURST_LINES, JsonLineFormatter, SampleFilter


def make_pipe() -> tuple[int, int]:
    """Return the reading and the writing end of a small pipe."""
    reading, writing = os.pipe()
    fcntl.fcntl(writing, fcntl.F_SETPIPE_SZ, 4096)
    os.set_blocking(reading, False)
    return reading, writing


def read_all(reading: int) -> bytes:
    """Return all bytes that can be read without waiting."""
    found = b""
    try:
        while chunk := os.read(reading, 65536):
            found += chunk
    except BlockingIOError:
        pass
    return found


def test_a_log_without_a_reader_never_blocks_the_process() -> None:
    """Guards against a VM whose requests all hang because the reader of its log has stopped.

    A write to the full pipe would block the only thread. Lines are dropped instead, those that are not
    important first, and their number is logged once there is room.
    """

    async def scenario() -> None:
        reading, writing = make_pipe()
        writer = LineWriter(writing, max_bytes=20_000)
        began = time.monotonic()
        for number in range(2_000):
            writer.put(b"ordinary %05d %s\n" % (number, b"x" * 80), important=False)
        for number in range(50):
            writer.put(b"important %05d %s\n" % (number, b"x" * 80), important=True)
        await asyncio.sleep(0)
        assert time.monotonic() - began < 1
        lines = b""
        for _ in range(100):
            lines += read_all(reading)
            await asyncio.sleep(0.005)
        assert lines.count(b"important ") == 50
        assert 0 < lines.count(b"ordinary ") < 2_000
        assert b"Lines dropped" in lines
        assert all(line.count(b"ordinary") <= 1 for line in lines.splitlines())
        writer.close()
        os.close(writing)
        os.close(reading)

    asyncio.run(scenario())


def test_lines_of_one_loop_iteration_are_written_together_and_in_order() -> None:
    async def scenario() -> None:
        reading, writing = make_pipe()
        writer = LineWriter(writing)
        for number in range(10):
            writer.put(b"%d\n" % number, important=number % 2 == 0)
        assert read_all(reading) == b""
        await asyncio.sleep(0)
        assert read_all(reading) == b"0\n1\n2\n3\n4\n5\n6\n7\n8\n9\n"
        os.close(writing)
        os.close(reading)

    asyncio.run(scenario())


def test_without_a_loop_lines_are_written_at_once() -> None:
    reading, writing = make_pipe()
    LineWriter(writing).put(b"start\n", important=False)
    assert read_all(reading) == b"start\n"


def test_a_closed_reader_is_no_error() -> None:
    reading, writing = make_pipe()
    os.close(reading)
    LineWriter(writing).put(b"lost\n", important=True)
    os.close(writing)


def make_record(level: int, message: str) -> logging.LogRecord:
    """Return a log record without arguments."""
    return logging.LogRecord("x", level, "", 0, message, None, None)


@pytest.mark.parametrize("level", [logging.INFO, logging.WARNING])
def test_each_kind_of_line_has_its_own_limit(level: int) -> None:
    """Guards against losing the line about an engine's failure among thousands about failed requests."""
    sample = SampleFilter()
    passed = [sample.filter(make_record(level, "flood")) for _ in range(1_000)]
    assert BURST_LINES <= sum(passed) < BURST_LINES + 50
    assert sample.filter(make_record(logging.INFO, "rare"))


def test_the_next_line_says_how_many_were_omitted() -> None:
    sample = SampleFilter()
    passed = sum(sample.filter(make_record(logging.INFO, "flood")) for _ in range(1_000))
    time.sleep(0.1)
    record = make_record(logging.INFO, "flood")
    assert sample.filter(record)
    assert record.left_out == 1_000 - passed  # type: ignore[attr-defined]


def test_a_line_is_json_with_the_vms_address() -> None:
    record = make_record(logging.INFO, "Request placed")
    record.request = "r1"
    line = orjson.loads(JsonLineFormatter({"vm": "10.0.0.1"}).format(record))
    assert (line["vm"], line["event"], line["request"]) == ("10.0.0.1", "Request placed", "r1")
    assert line["time"].endswith("Z") and "." in line["time"]
