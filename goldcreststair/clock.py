"""The only source of time: monotonic, in integer milliseconds."""

import asyncio
import time
from collections.abc import Callable
from typing import NewType, Protocol

from goldcreststair.const import MS_PER_SECOND, NS_PER_MS

Millis = NewType("Millis", int)
"""A point on a `Clock`, in milliseconds since an arbitrary start."""


class TimerHandle(Protocol):
    """A scheduled call that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the call; has no effect after it ran."""


class Clock(Protocol):
    """Monotonic time in milliseconds."""

    def now(self) -> Millis:
        """Return the current time."""

    def call_later(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Run `callback` once after `delay_ms`."""

    def read_utc_s(self) -> int:
        """Return the seconds since 1970, for reports only: they must not be compared between VMs."""

    async def async_sleep(self, delay_ms: int) -> None:
        """Wait `delay_ms`."""


class LoopClock:
    """The time of the running event loop, real or virtual."""

    def __init__(self, utc_start_s: float | None = None) -> None:
        """Set the UTC time, s since 1970, of the loop's time 0; by default from the machine's clock."""
        start = time.time() - time.monotonic() if utc_start_s is None else utc_start_s
        self._utc_start_s = start

    def read_utc_s(self) -> int:
        """Return the seconds since 1970 by the loop's time."""
        return int(self._utc_start_s + asyncio.get_running_loop().time())

    def now(self) -> Millis:
        """Return the loop's time."""
        return Millis(int(asyncio.get_running_loop().time() * MS_PER_SECOND))

    def call_later(self, delay_ms: int, callback: Callable[[], None]) -> TimerHandle:
        """Run `callback` once after `delay_ms` of the loop's time."""
        return asyncio.get_running_loop().call_later(delay_ms / MS_PER_SECOND, callback)

    async def async_sleep(self, delay_ms: int) -> None:
        """Wait `delay_ms` of the loop's time."""
        await asyncio.sleep(delay_ms / MS_PER_SECOND)


class BootClock(LoopClock):
    """Time since the machine's boot, which goes on while a VM is suspended.

    The loop's clock does not advance during a suspension: a lease or an estimate that expired meanwhile
    would seem recent when the VM resumes. Waits still use the loop's clock, so they end late after a
    suspension; code that runs after a wait checks ages again.
    """

    def now(self) -> Millis:
        """Return the time since boot."""
        return Millis(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // NS_PER_MS)

    def read_utc_s(self) -> int:
        """Return the seconds since 1970 by the machine's clock."""
        return int(time.time())
