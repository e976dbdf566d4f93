"""Tests of the tracker of recent request durations."""

import pytest

from goldcreststair.clock import LoopClock, Millis
from goldcreststair.components.forwarding.const import DURATION_WINDOW_MS
from goldcreststair.components.forwarding.durations import RequestDurations
from standins.virtual_time import run_virtual


@pytest.mark.parametrize(
    ("took_ms", "later_ms", "longest_ms"),
    [
        ((), 0, None),
        ((300, 900, 200), 0, 900),
        ((900,), DURATION_WINDOW_MS // 2, 900),
        ((900,), 2 * DURATION_WINDOW_MS, None),
    ],
)
def test_longest_recent_request_counts(
    took_ms: tuple[int, ...], later_ms: int, longest_ms: int | None
) -> None:
    """Guards against a VM that refuses all requests while it shuts down, for one long request minutes ago."""

    async def async_run() -> None:
        clock = LoopClock()
        durations = RequestDurations(clock)
        for each in took_ms:
            durations.record("r", Millis(clock.now() - each))
        await clock.async_sleep(later_ms)
        assert durations.read_longest_ms("r") == longest_ms
        assert durations.read_longest_ms("other") is None

    run_virtual(async_run(), 60)
