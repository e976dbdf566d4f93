"""Log records as JSON lines, bounded in volume, and never waited for."""

import logging
import sys
import time
from collections.abc import Mapping
from datetime import UTC, datetime
from typing import Final, TextIO

import orjson

from goldcreststair.line_writer import LineWriter

LINES_PER_S: Final = 25.0
"""Lines of one kind and second; beyond them a sample is written, with the count of what was left out.
A VM serves some 40 requests a second at the size that is designed for, and a line costs 40 us."""
BURST_LINES: Final = 100.0
"""Lines of one kind that may come at once."""
IMPORTANT_LINES_PER_S: Final = 100.0
"""The same for warnings and errors, which tell of failures and of changes of belief."""

_STANDARD: Final = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", None, None)).keys() | {"message", "asctime"}
)


class JsonLineFormatter(logging.Formatter):
    """Turn a record and its `extra` fields into one JSON object on one line."""

    def __init__(self, fields: Mapping[str, str] | None = None) -> None:
        """Put `fields` on every line, as the VM's address."""
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
    """Lets so many lines of one kind pass in a second; the next one says how many were left out.

    Without it a failure that touches every request writes as many lines as there are requests, and the
    lines that tell of its cause drown in them.
    """

    def __init__(self) -> None:
        """Start with full budgets."""
        super().__init__()
        self._budgets: dict[tuple[str, object], _Budget] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether to write a record."""
        important = record.levelno >= logging.WARNING
        kind = (record.name, record.msg)
        budget = self._budgets.get(kind)
        if budget is None:
            rate = IMPORTANT_LINES_PER_S if important else LINES_PER_S
            budget = self._budgets[kind] = _Budget(rate)
        if not budget.take(time.monotonic()):
            return False
        if budget.left_out:
            record.left_out = budget.left_out
            budget.left_out = 0
        return True


class _Budget:
    """The lines of one kind."""

    def __init__(self, rate: float) -> None:
        self.left_out = 0
        self._rate = rate
        self._level = BURST_LINES
        self._at = time.monotonic()

    def take(self, now: float) -> bool:
        self._level = min(BURST_LINES, self._level + (now - self._at) * self._rate)
        self._at = now
        if self._level < 1:
            self.left_out += 1
            return False
        self._level -= 1
        return True


class LineHandler(logging.Handler):
    """Hands lines to a writer that drops rather than waits."""

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
        """Write what can be written now."""
        self._writer.flush()


def configure_logging(
    level: str, fields: Mapping[str, str] | None = None, stream: TextIO | None = None
) -> LineWriter:
    """Send every record of `level` and above to standard output as JSON lines."""
    writer = LineWriter((stream or sys.stdout).fileno())
    handler = LineHandler(writer)
    handler.setFormatter(JsonLineFormatter(fields))
    handler.addFilter(SampleFilter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("tornado.access").setLevel(logging.CRITICAL)
    return writer
