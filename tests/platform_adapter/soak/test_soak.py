"""A short soak of real daemons under a seeded series of faults."""

import asyncio
from pathlib import Path

import pytest

from tests.platform_adapter.leave_rule import LATE_SEND_S
from tests.platform_adapter.soak.__main__ import ENGINES, async_soak
from tests.platform_adapter.soak.checker import find_violations
from tests.platform_adapter.soak.leaves import SHORT_PAUSES_MS, StepKind, plan_leaves
from tests.platform_adapter.soak.record import GRACE_S

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
    assert record.removed_items and record.customer_returned_at
    assert record.broken_off and record.failed and record.foreign_entries


def test_nothing_that_is_begun_late_in_a_leave_is_cut(tmp_path: Path) -> None:
    """Guards against streams begun 3 s after SIGTERM or later, and cut as their upstreams became slower."""
    seed, seconds = 3097, 3.0
    plan = plan_leaves(seed, seconds)
    record, _ = asyncio.run(async_soak(seed, seconds, tmp_path, SHORT_PAUSES_MS, leaves=plan))
    assert find_violations(record) == []
    assert plan.is_calm and any(step.kind is StepKind.SLOW for step in plan.steps)
    assert any(
        seen.daemon == stop.daemon and LATE_SEND_S < seen.sent_at - stop.at < GRACE_S
        for seen in record.exchanges
        for stop in record.stops
    )
