"""A short soak of real daemons under a seeded series of faults."""

import asyncio
from pathlib import Path

import pytest

from tests.platform_adapter.soak.__main__ import ENGINES, async_soak
from tests.platform_adapter.soak.checker import find_violations

PAUSES_MS = (0, 10, 50)
"""Short enough that every stream begun while its daemon's address was in use ends within the leave."""


@pytest.mark.parametrize(
    ("seed", "seconds"),
    [
        (35, 8.0),
        # Items went on at an upstream that had just restarted with other software.
        (1, 12.0),
    ],
)
def test_promises_hold_under_overlapping_faults(seed: int, seconds: float, tmp_path: Path) -> None:
    """Guards against lost answers, runs or accepted items when connection faults and signals overlap."""
    record, faults = asyncio.run(async_soak(seed, seconds, tmp_path, PAUSES_MS))
    assert find_violations(record) == []
    assert faults and record.runs and record.accepted and record.stops and record.kills
    assert len(record.lifetimes) > ENGINES
    assert record.crash.sent and record.crash.crashes
    assert record.broken_off and record.foreign_entries
