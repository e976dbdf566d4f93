"""Reads the list of tests that fail because of known faults."""

from pathlib import Path
from typing import Final

FILE: Final = "KNOWN-RED.txt"
MAX_ENTRIES: Final = 3
"""Upper limit of the list, as each entry is a guarantee that the system breaks."""
UNLIMITED: Final = "tests/client_limits/"
"""Tests of crowds of clients, whose entries do not count."""


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
    counted = sum(not test.startswith(UNLIMITED) for test in known)
    if counted > MAX_ENTRIES:
        raise ValueError(f"{FILE} lists {counted} tests, at most {MAX_ENTRIES} may be")
    return known
