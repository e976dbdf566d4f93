"""Keeps a request from the upstreams that it would crash, through all its runs."""

from collections.abc import Callable
from typing import Protocol

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.crash_marks.const import MAX_TURN_WAIT_MS, TURN_POLL_MS
from goldcreststair.components.crash_marks.models import Turn
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.helpers.crash_evidence import (
    SOUND_MS,
    Extent,
    RequestSuspects,
    Suspects,
    Written,
)


class RunningSuspects(Protocol):
    """What guards need to know about all requests."""

    async def async_load(self, suspects: Suspects) -> None:
        """Wait for the stored verdicts, for a short time, if a request may need them."""

    def choose_turn(self, suspects: Suspects, *, can_wait: bool) -> Turn:
        """Return whether a request may run now."""

    def is_refused(self, suspects: Suspects) -> bool:
        """Return whether a verdict refuses a request."""

    def is_suspected(self, suspects: Suspects) -> bool:
        """Return whether several crashes have a suspect of this request in common."""

    def enter(self, guard: "RequestGuard") -> None:
        """Record that a request is about to run."""

    def leave(self, guard: "RequestGuard") -> None:
        """Record that a run of a request has ended."""

    def begin_trial(self, suspects: Suspects) -> None:
        """Record that a refused request is about to run as a trial."""

    def return_trial(self, suspects: Suspects) -> None:
        """Record that a trial has not run."""

    def report_answer(
        self, entry: UpstreamEntry, suspects: RequestSuspects, written: Written
    ) -> None:
        """Report an answer, which speaks for its suspects as far as it has got."""


class RequestGuard:
    """The guard of one request; `leave` after each run, also when the request ends."""

    def __init__(
        self,
        clock: Clock,
        running: RunningSuspects,
        suspects: RequestSuspects,
        on_refused: Callable[[], None],
        *,
        can_wait: bool = False,
    ) -> None:
        """Guard a request; `on_refused` is called if a verdict falls while it waits or runs.

        One that `can_wait` is a batch item, which is owed however often upstreams crash under it.
        """
        self.request = suspects
        self.suspects = suspects.every
        self.on_refused = on_refused
        self.upstream: UpstreamEntry | None = None
        """The upstream of the current run."""
        self.written: Written | None = None
        """The answer of the current run; None while it says nothing about its suspects."""
        self._reported_ms = 0
        """How long that answer had gone on when it was last reported."""
        self._clock = clock
        self._running = running
        self._can_wait = can_wait
        self._entered = False
        self._is_trial = False

    @property
    def is_refused(self) -> bool:
        """Whether the request must not run, or run on."""
        return not self._is_trial and self._running.is_refused(self.suspects)

    @property
    def is_suspected(self) -> bool:
        """Whether the request should run where its crash would end little other work."""
        return self._is_trial or self._running.is_suspected(self.suspects)

    def try_enter(self) -> Turn:
        """Take a turn if the request may run now."""
        turn = self._running.choose_turn(self.suspects, can_wait=self._can_wait)
        if turn.may_run:
            self._entered, self._is_trial = True, turn is Turn.TRIAL
            self._running.enter(self)
        if turn is Turn.TRIAL:
            self._running.begin_trial(self.suspects)
        return turn

    async def async_enter(self, ends_at: Millis) -> Turn:
        """Take a turn; waits for a short time, at most until `ends_at`, while the request may not run yet."""
        await self._running.async_load(self.suspects)
        ends_at = Millis(min(ends_at, self._clock.now() + MAX_TURN_WAIT_MS))
        while (turn := self.try_enter()) is Turn.BUSY and self._clock.now() < ends_at:
            await self._clock.async_sleep(TURN_POLL_MS)
        return turn

    def begin_run(self, entry: UpstreamEntry) -> None:
        """Record the upstream at which the run begins."""
        self.upstream, self.written, self._reported_ms = entry, None, 0

    def record_progress(self, at: Millis, extent: Extent) -> None:
        """Record how far the answer of the current run has got."""
        if not extent.is_late:
            return
        self.written = Written(at, extent)
        if extent.wrote_ms >= self._reported_ms + SOUND_MS:
            self._reported_ms = extent.wrote_ms
            self._report(self.written)

    def record_whole(self, at: Millis) -> None:
        """Record that the answer of the current run is whole."""
        self.written = Written(at)
        self._report(self.written)

    def _report(self, written: Written) -> None:
        if self.upstream is not None:
            self._running.report_answer(self.upstream, self.request, written)

    def leave(self, *, not_run: bool = False) -> None:
        """End the turn, after a run unless `not_run`; does nothing if none was taken."""
        if not self._entered:
            return
        if self._is_trial and (not_run or self.upstream is None):
            self._running.return_trial(self.suspects)
        self._entered = self._is_trial = False
        self.upstream = self.written = None
        self._running.leave(self)
