"""Notices an upstream that has fallen silent in the middle of a run."""

import asyncio
from collections.abc import Callable
from typing import TypeVar

from goldcreststair.clock import Clock, TimerHandle
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


class SilenceWatcher:
    """Looks at all runs of this daemon at once, with one timer while there are any."""

    def __init__(self, clock: Clock) -> None:
        """Watch nothing."""
        self._clock = clock
        self._watched: dict[asyncio.Future[bool], SilenceWatch] = {}
        self._timer: TimerHandle | None = None

    async def async_follow(self, task: "asyncio.Task[T]", watch: SilenceWatch) -> T | None:
        """Return the task's result, or None after ending it for its silence."""
        ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        task.add_done_callback(lambda _: _settle(ended, silent=False))
        self._watched[ended] = watch
        self._arm()
        try:
            silent = await ended
        finally:
            del self._watched[ended]
        if not silent:
            return task.result()
        task.cancel()
        await asyncio.wait({task})
        return None

    def _arm(self) -> None:
        if self._timer is None and self._watched:
            self._timer = self._clock.call_later(WATCH_MS, self._look)

    def _look(self) -> None:
        self._timer = None
        for ended, watch in tuple(self._watched.items()):
            if watch.is_silent():
                _settle(ended, silent=True)
        self._arm()


def _settle(ended: "asyncio.Future[bool]", *, silent: bool) -> None:
    if not ended.done():
        ended.set_result(silent)
