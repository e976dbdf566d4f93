"""Reads the tables of a day's report: the worth earned and the worth possible, by row."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from goldcreststair.errors import GoldcreststairError

TABLES: Final = {"kinds": "classes", "data centres": "zones", "seconds": "windows"}
"""Printed table name -> key in the report."""


@dataclass(frozen=True, slots=True)
class ReportError(GoldcreststairError):
    """A report that cannot be read; the message names the file and the cause."""


@dataclass(frozen=True, slots=True)
class Row:
    """Figures of one kind of request, data centre or time window."""

    name: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    worth: float
    """Share of the worth possible, 0 to 1."""


def read_report(path: Path) -> Result[dict[str, list[Row]], ReportError]:
    """Return the tables of a report by printed name."""
    try:
        raw = orjson.loads(path.read_bytes())
        return Ok({name: [_read_row(row) for row in raw[key]] for name, key in TABLES.items()})
    except (OSError, orjson.JSONDecodeError, KeyError, TypeError) as error:
        return Err(ReportError(f"{path}: {error!r}"))


def _read_row(raw: dict[str, Any]) -> Row:
    return Row(
        str(raw["name"]),
        int(raw["n"]),
        int(raw["in_aim"]),
        int(raw["late"]),
        int(raw["refused"]),
        int(raw["failed"]),
        float(raw["worth"] or 0.0),
    )
