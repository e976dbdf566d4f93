"""Reads the list of tests that fail for real faults not mended yet."""

from pathlib import Path
from typing import Final

FILE: Final = "KNOWN-RED.txt"
MOST: Final = 3
"""More may never be listed: each is a promise that the system breaks."""


def read_known_red(root: Path) -> dict[str, str]:
    """Return test id to reason; raises `ValueError` if the list is too long or a line is bad."""
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
    if len(known) > MOST:
        raise ValueError(f"{FILE} lists {len(known)} tests, at most {MOST} may be")
    return known
