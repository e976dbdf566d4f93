"""Writes log records as JSON lines, rate-limited by kind and without blocking."""

import logging
import sys
import time
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Final, TextIO

import orjson

from goldcreststair.line_writer import LineWriter

LINES_PER_S: Final = 25.0
"""Lines of one kind per second; beyond that only a sample is written, with the count of omitted lines.
The design load is some 40 requests per second and VM, and writing a line costs 40 us."""
BURST_LINES: Final = 100.0
"""Lines of one kind that may be written at once."""
IMPORTANT_LINES_PER_S: Final = 100.0
"""The same for warnings and errors, which report failures and changes of assumed states."""

_STANDARD: Final = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", None, None)).keys() | {"message", "asctime"}
)


class JsonLineFormatter(logging.Formatter):
    """Formats a record and its `extra` fields as one JSON object on one line."""

    def __init__(self, fields: Mapping[str, str] | None = None) -> None:
        """Add `fields` to every line, such as the VM's address."""
        super().__init__()
        self._fields = dict(fields or {})

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, without its newline."""
        at = datetime.fromtimestamp(record.created, UTC)
        line: dict[str, object] = {
            "time": at.isoformat(timespec="milliseconds").replace("+00:00", "Z"),
            "level": record.levelname.lower(),
            **self._fields,
            "logger": record.name,
            "event": record.getMessage(),
        }
        line.update({k: v for k, v in vars(record).items() if k not in _STANDARD})
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=str).decode()


class SampleFilter(logging.Filter):
    """Limits the lines of one kind per second; the next line says how many were omitted.

    A kind is a logger and a message. Without the limit, a failure that affects every request writes a
    line for each of them, and lines about its cause are lost among them.
    """

    def __init__(self) -> None:
        """Create a filter that has passed no lines yet."""
        super().__init__()
        self._buckets: dict[tuple[str, object], _TokenBucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record."""
        important = record.levelno >= logging.WARNING
        kind = (record.name, record.msg)
        bucket = self._buckets.get(kind)
        if bucket is None:
            rate = IMPORTANT_LINES_PER_S if important else LINES_PER_S
            bucket = self._buckets[kind] = _TokenBucket(rate)
        if not bucket.try_consume(time.monotonic()):
            return False
        if bucket.left_out:
            record.left_out = bucket.left_out
            bucket.left_out = 0
        return True


class _TokenBucket:
    """Rate limit of the lines of one kind; counts the lines that it refused."""

    def __init__(self, rate: float) -> None:
        self.left_out = 0
        self._rate = rate
        self._tokens = BURST_LINES
        self._updated_at = time.monotonic()

    def try_consume(self, now: float) -> bool:
        self._tokens = min(BURST_LINES, self._tokens + (now - self._updated_at) * self._rate)
        self._updated_at = now
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True


class LineHandler(logging.Handler):
    """Passes lines to a writer that drops lines instead of blocking."""

    def __init__(self, writer: LineWriter) -> None:
        """Write through `writer`."""
        super().__init__()
        self._writer = writer

    def emit(self, record: logging.LogRecord) -> None:
        """Queue one line."""
        try:
            line = self.format(record).encode() + b"\n"
        except Exception:
            self.handleError(record)
            return
        self._writer.put(line, important=record.levelno >= logging.WARNING)

    def flush(self) -> None:
        """Write what can be written without blocking."""
        self._writer.flush()


def configure_logging(
    level: str, fields: Mapping[str, str] | None = None, stream: TextIO | None = None
) -> LineWriter:
    """Log records of `level` and above as JSON lines to `stream`, by default standard output.

    `fields` are added to every line. Close the returned writer at the end of the process.
    """
    writer = LineWriter((stream or sys.stdout).fileno())
    handler = LineHandler(writer)
    handler.setFormatter(JsonLineFormatter(fields))
    handler.addFilter(SampleFilter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    return writer
