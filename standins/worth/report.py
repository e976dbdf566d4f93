"""The tables of a day's report: who earned how much of what was owed."""

from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import orjson
from result import Err, Ok, Result

from goldcreststair.errors import GoldcreststairError

TABLES: Final = {"kinds": "classes", "data centres": "zones", "seconds": "windows"}
"""The report's names of its tables."""


@dataclass(frozen=True, slots=True)
class ReportUnreadable(GoldcreststairError):
    """A report that does not read as one; the message names the field."""


@dataclass(frozen=True, slots=True)
class Row:
    """One kind of request, data centre or stretch of time."""

    name: str
    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    worth: float
    """Share of what was owed."""


def read_report(path: Path) -> Result[dict[str, list[Row]], ReportUnreadable]:
    """Return the tables of a report by name."""
    try:
        raw = orjson.loads(path.read_bytes())
        return Ok({name: [_read_row(row) for row in raw[key]] for name, key in TABLES.items()})
    except (OSError, orjson.JSONDecodeError, KeyError, TypeError) as error:
        return Err(ReportUnreadable(f"{path}: {error!r}"))


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
