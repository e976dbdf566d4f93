"""Log records as JSON lines."""

import logging
import sys
from typing import Final

import orjson

_STANDARD: Final = frozenset(
    vars(logging.LogRecord("", 0, "", 0, "", None, None)).keys() | {"message", "asctime"}
)


class JsonLineFormatter(logging.Formatter):
    """Turn a record and its `extra` fields into one JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, without its newline."""
        line: dict[str, object] = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S"),
            "level": record.levelname.lower(),
            "logger": record.name,
            "event": record.getMessage(),
        }
        line.update({k: v for k, v in vars(record).items() if k not in _STANDARD})
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return orjson.dumps(line, default=str).decode()


def configure_logging(level: str) -> None:
    """Send every record of `level` and above to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonLineFormatter())
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("tornado.access").setLevel(logging.ERROR)
