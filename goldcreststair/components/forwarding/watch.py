"""Notices an upstream that has fallen silent in the middle of a run."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from goldcreststair.clock import Clock
from goldcreststair.components.forwarding.const import (
    FIRST_LONG_MS,
    FIRST_PATIENCE_MS,
    GAP_LONG_MS,
    GAP_PATIENCE_MS,
    LATE_TICK_MS,
    WATCH_MS,
)
from goldcreststair.components.forwarding.relay import StreamRelay

T = TypeVar("T")


class SilenceWatch:
    """Decides by what a run and its upstream last sent; no I/O."""

    def __init__(
        self, clock: Clock, relay: StreamRelay, expected_ms: float, read_progress: Callable[[], int]
    ) -> None:
        """Take when the first event is expected, and how to read the upstream's last sign."""
        self._clock = clock
        self._relay = relay
        self._expected_ms = expected_ms
        self._read_progress = read_progress
        self._looked_at = clock.now()
        self._counted_from = clock.now()

    def is_silent(self) -> bool:
        """Return whether to give the run up."""
        now = self._clock.now()
        late_ms = now - self._looked_at - WATCH_MS
        self._looked_at = now
        # A process that was kept from reading sees silence everywhere. Moved on for that, every
        # stream of this VM would be run again at the same moment.
        if late_ms > LATE_TICK_MS:
            self._counted_from = now
        quiet_ms = now - max(self._counted_from, self._relay.progress_at)
        upstream_quiet_ms = now - max(self._counted_from, self._read_progress())
        patience_ms, long_ms = self._read_patience()
        return quiet_ms > long_ms or min(quiet_ms, upstream_quiet_ms) > patience_ms

    def _read_patience(self) -> tuple[float, float]:
        if self._relay.run_events:
            return GAP_PATIENCE_MS, GAP_LONG_MS
        return self._expected_ms + FIRST_PATIENCE_MS, self._expected_ms + FIRST_LONG_MS


async def async_watch(task: "asyncio.Task[T]", watch: SilenceWatch, clock: Clock) -> T | None:
    """Return the task's result, or None after ending it for its silence."""
    while True:
        done, _ = await asyncio.wait({task}, timeout=WATCH_MS / 1000)
        if done:
            return task.result()
        if watch.is_silent():
            task.cancel()
            await asyncio.wait({task})
            return None
