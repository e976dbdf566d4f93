"""Keeps a request from the upstreams that it would crash, through all its runs."""

from collections.abc import Callable
from typing import Protocol

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.crash_marks.const import MAX_TURN_WAIT_MS, TURN_POLL_MS
from goldcreststair.components.crash_marks.models import Turn
from goldcreststair.helpers.crash_evidence import Suspects


class RunningSuspects(Protocol):
    """What guards need to know about all requests."""

    async def async_load(self, suspects: Suspects) -> None:
        """Wait for the stored verdicts, for a short time, if a request may need them."""

    def is_refused(self, suspects: Suspects) -> bool:
        """Return whether a request must not run."""

    def is_busy(self, suspects: Suspects) -> bool:
        """Return whether a request has to wait for another one with the same suspect."""

    def is_suspected(self, suspects: Suspects) -> bool:
        """Return whether several crashes have a suspect of this request in common."""

    def enter(self, guard: "RequestGuard") -> None:
        """Record that a request is about to run."""

    def leave(self, guard: "RequestGuard") -> None:
        """Record that a run of a request has ended."""


class RequestGuard:
    """The guard of one request; `leave` after each run, also when the request ends."""

    def __init__(
        self,
        clock: Clock,
        running: RunningSuspects,
        suspects: Suspects,
        on_refused: Callable[[], None],
    ) -> None:
        """Guard a request; `on_refused` is called if a verdict falls while it waits or runs."""
        self.suspects = suspects
        self.on_refused = on_refused
        self._clock = clock
        self._running = running
        self._entered = False

    @property
    def is_refused(self) -> bool:
        """Whether the request must not run, or run on."""
        return self._running.is_refused(self.suspects)

    @property
    def is_suspected(self) -> bool:
        """Whether the request should run where its crash would end little other work."""
        return self._running.is_suspected(self.suspects)

    def try_enter(self) -> Turn:
        """Take a turn if the request may run now."""
        if self.is_refused:
            return Turn.REFUSED
        if self._running.is_busy(self.suspects):
            return Turn.BUSY
        self._entered = True
        self._running.enter(self)
        return Turn.READY

    async def async_enter(self, ends_at: Millis) -> Turn:
        """Take a turn; waits for a short time, at most until `ends_at`, while the request may not run yet."""
        await self._running.async_load(self.suspects)
        ends_at = Millis(min(ends_at, self._clock.now() + MAX_TURN_WAIT_MS))
        while (turn := self.try_enter()) is Turn.BUSY and self._clock.now() < ends_at:
            await self._clock.async_sleep(TURN_POLL_MS)
        return turn

    def leave(self) -> None:
        """End the turn; does nothing if none was taken."""
        if self._entered:
            self._entered = False
            self._running.leave(self)
