"""Reads the list of tests that fail because of known faults."""

from pathlib import Path
from typing import Final

FILE: Final = "KNOWN-RED.txt"
MAX_ENTRIES: Final = 3
"""Upper limit of the list, as each entry is a guarantee that the system breaks."""


def read_known_red(root: Path) -> dict[str, str]:
    """Return test id -> reason; raises `ValueError` on an invalid line or too many entries."""
    file = root / FILE
    lines = file.read_text().splitlines() if file.exists() else []
    known: dict[str, str] = {}
    for line in lines:
        if not line.strip():
            continue
        test, separator, reason = line.partition(" | ")
        if not separator or not reason.strip():
            raise ValueError(f"{FILE}: no reason in {line!r}")
        known[test.strip()] = reason.strip()
    if len(known) > MAX_ENTRIES:
        raise ValueError(f"{FILE} lists {len(known)} tests, at most {MAX_ENTRIES} may be")
    return known
