"""Event loop whose time jumps from timer to timer, so that tests take no real time."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualTimeSelector(selectors.SelectSelector):
    """Advances the loop's time in place of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: nothing is ready and no timer is set")
        self.now += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on virtual time, for code that uses no socket."""

    def __init__(self) -> None:
        """Create a loop at an arbitrary time."""
        self._selector_clock = _VirtualTimeSelector()
        super().__init__(self._selector_clock)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._selector_clock.now

    def pause(self, duration_s: float) -> None:
        """Advance the time without running anything, as in a process that gets no CPU time."""
        self._selector_clock.now += duration_s


def run_virtual(coroutine: Coroutine[Any, Any, T], limit_s: float = 86_400.0) -> T:
    """Run a coroutine on virtual time; raises `TimeoutError` after `limit_s` of it."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(asyncio.wait_for(coroutine, limit_s))


class ManualClock:
    """Clock for controllers that only read the time."""

    def __init__(self, now: int = 1_000_000) -> None:
        """Start at `now` milliseconds."""
        self._now = now

    def now(self) -> Any:
        """Return the time in milliseconds."""
        return self._now

    def advance(self, delay_ms: int) -> None:
        """Advance the time."""
        self._now += delay_ms

    def read_utc_s(self) -> int:
        """Return a UTC time in seconds that advances with the clock."""
        return 1_700_000_000 + self._now // 1000

    def call_later(self, delay_ms: int, callback: Any) -> Any:
        """Not for this clock."""
        raise NotImplementedError

    async def async_sleep(self, delay_ms: int) -> None:
        """Not for this clock."""
        raise NotImplementedError
