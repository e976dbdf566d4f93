"""What is remembered of how long requests took."""

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
def test_the_longest_request_of_late_counts(
    took_ms: tuple[int, ...], later_ms: int, longest_ms: int | None
) -> None:
    """A leaving VM refused all late requests for one that had taken long minutes before."""

    async def async_run() -> None:
        clock = LoopClock()
        durations = RequestDurations(clock)
        for each in took_ms:
            durations.note("r", Millis(clock.now() - each))
        await clock.async_sleep(later_ms)
        assert durations.read_longest_ms("r") == longest_ms
        assert durations.read_longest_ms("other") is None

    run_virtual(async_run(), 60)
