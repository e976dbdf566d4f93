"""An event loop whose time jumps from timer to timer, so that tests need no wall clock."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Never waits: a wait becomes a jump of the loop's time."""

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
    """A loop on virtual time; only for code that uses no socket."""

    def __init__(self) -> None:
        """Start at an arbitrary time."""
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now

    def stand_still(self, duration_s: float) -> None:
        """Let time pass in which nothing runs, as in a process that gets no processor."""
        self._jumping.now += duration_s


def run_virtual(coroutine: Coroutine[Any, Any, T], limit_s: float = 86_400.0) -> T:
    """Run a coroutine on virtual time; fails if it takes more than `limit_s` of it."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(asyncio.wait_for(coroutine, limit_s))


class ManualClock:
    """A clock for controllers that only ask the time."""

    def __init__(self, now: int = 1_000_000) -> None:
        """Start at `now` milliseconds."""
        self._now = now

    def now(self) -> Any:
        """Return the time in milliseconds."""
        return self._now

    def advance(self, delay_ms: int) -> None:
        """Move time on."""
        self._now += delay_ms

    def read_utc_s(self) -> int:
        """Return a date that moves with the time."""
        return 1_700_000_000 + self._now // 1000

    def call_later(self, delay_ms: int, callback: Any) -> Any:
        """Not for this clock."""
        raise NotImplementedError

    async def async_sleep(self, delay_ms: int) -> None:
        """Not for this clock."""
        raise NotImplementedError
