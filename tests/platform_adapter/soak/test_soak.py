"""A short soak of real daemons under a seeded series of faults."""

import asyncio
from pathlib import Path

from tests.platform_adapter.soak.__main__ import async_soak
from tests.platform_adapter.soak.checker import find_violations

SEED = 35
SECONDS = 8.0
PAUSES_MS = (0, 10, 50)
"""Short enough that every stream begun while its daemon's address was in use ends within the leave."""


def test_promises_hold_under_overlapping_faults(tmp_path: Path) -> None:
    """Guards against lost answers, runs or accepted items when connection faults and signals overlap."""
    record, faults = asyncio.run(async_soak(SEED, SECONDS, tmp_path, PAUSES_MS))
    assert find_violations(record) == []
    assert faults and record.runs and record.accepted and record.stops and record.kills
