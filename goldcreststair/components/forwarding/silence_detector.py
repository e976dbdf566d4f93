"""Notices an upstream that has fallen silent in the middle of a run."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from goldcreststair.clock import Clock, Millis, TimerHandle
from goldcreststair.components.forwarding.const import (
    FIRST_LONG_MS,
    FIRST_PATIENCE_MS,
    GAP_LONG_MS,
    GAP_PATIENCE_MS,
    LATE_TICK_MS,
    STAY_MS,
    WATCH_MS,
)
from goldcreststair.components.forwarding.relay import StreamRelay

T = TypeVar("T")


class SilenceVerdict(StrEnum):
    """What the silence of a run says of its upstream."""

    NONE = "none"
    DOUBTFUL = "doubtful"
    """The upstream may be gone, or only be slow to reach this run."""
    CERTAIN = "certain"


@dataclass(frozen=True, slots=True)
class Evidence:
    """How to learn more of the upstream of a run."""

    read_progress: Callable[[], int]
    """Returns when it last sent this daemon anything."""
    has_witness: Callable[[], bool]
    """Returns whether other runs of this daemon would have heard from it."""
    async_check: Callable[[], Awaitable[bool]]
    """Returns whether it still accepts connections."""
    may_leave: Callable[[], bool]
    """Returns whether the request could go on at another upstream."""


class SilenceDetector:
    """Decides by what a run and its upstream last sent; no I/O."""

    def __init__(
        self, clock: Clock, relay: StreamRelay, expected_ms: float, evidence: Evidence
    ) -> None:
        """Take when the first event is expected, and how to learn more."""
        self.evidence = evidence
        self._clock = clock
        self._relay = relay
        self._expected_ms = expected_ms
        self._looked_at = clock.now()
        self._counted_from = clock.now()
        self._accepted_at: Millis | None = None
        self._stays_until = Millis(0)
        self._quiet_ms = 0
        self._upstream_quiet_ms = 0

    def describe(self) -> str:
        """Return what the last judgement went by, for the log."""
        patience_ms, long_ms = self._read_patience()
        return (
            f"run {self._quiet_ms} of {long_ms:.0f} ms, "
            f"upstream {self._upstream_quiet_ms} of {patience_ms:.0f} ms, "
            f"{self._relay.run_events} events"
        )

    def note_check(self, *, accepted: bool) -> SilenceVerdict:
        """Take whether the upstream accepts connections; returns what follows."""
        if not accepted:
            return self._require_alternative(SilenceVerdict.CERTAIN)
        self._accepted_at = self._clock.now()
        return SilenceVerdict.NONE

    def judge(self) -> SilenceVerdict:
        """Return whether the upstream seems gone, and its run had better be left."""
        return self._require_alternative(self._judge_silence())

    def _require_alternative(self, silence: SilenceVerdict) -> SilenceVerdict:
        # Silence is a reason to move a request, not to end it: a caller whose last run is left gets
        # nothing, where a slow upstream would have gone on.
        if silence is SilenceVerdict.NONE or self._clock.now() < self._stays_until:
            return SilenceVerdict.NONE
        if not self.evidence.may_leave():
            self._stays_until = Millis(self._clock.now() + STAY_MS)
            return SilenceVerdict.NONE
        return silence

    def _judge_silence(self) -> SilenceVerdict:
        now = self._clock.now()
        late_ms = now - self._looked_at - WATCH_MS
        self._looked_at = now
        # A process that was kept from reading sees silence everywhere. Moved on for that, every
        # stream of this VM would be run again at the same moment.
        if late_ms > LATE_TICK_MS or self._relay.waits_for_caller:
            self._counted_from = now
        self._quiet_ms = now - max(self._counted_from, self._relay.progress_at)
        self._upstream_quiet_ms = now - max(self._counted_from, self.evidence.read_progress())
        patience_ms, long_ms = self._read_patience()
        if self._quiet_ms > long_ms:
            return SilenceVerdict.CERTAIN
        if min(self._quiet_ms, self._upstream_quiet_ms) <= patience_ms:
            return SilenceVerdict.NONE
        if self.evidence.has_witness():
            return SilenceVerdict.CERTAIN
        # Shows as upstreams that are only full, taken for dead by one VM of hundreds after the other,
        # and as requests run twice: a VM that has no other run there cannot tell a queue from a crash.
        if self._accepted_at is not None and self._accepted_at > self._relay.progress_at:
            return SilenceVerdict.NONE
        return SilenceVerdict.DOUBTFUL

    def _read_patience(self) -> tuple[float, float]:
        if self._relay.run_events:
            return GAP_PATIENCE_MS, GAP_LONG_MS
        return self._expected_ms + FIRST_PATIENCE_MS, self._expected_ms + FIRST_LONG_MS


class SilenceMonitor:
    """Looks at all runs of this daemon at once, with one timer while there are any."""

    def __init__(self, clock: Clock) -> None:
        """Watch nothing."""
        self._clock = clock
        self._watched: dict[asyncio.Future[bool], SilenceDetector] = {}
        self._timer: TimerHandle | None = None
        self._checks: dict[asyncio.Future[bool], asyncio.Task[None]] = {}

    async def async_follow(self, task: "asyncio.Task[T]", watch: SilenceDetector) -> T | None:
        """Return the task's result, or None after ending it for its silence."""
        ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        task.add_done_callback(lambda _: _settle(ended, silent=False))
        self._watched[ended] = watch
        self._arm()
        try:
            silent = await ended
        finally:
            del self._watched[ended]
            check = self._checks.pop(ended, None)
            if check is not None:
                check.cancel()
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
            silence = watch.judge()
            if silence is SilenceVerdict.CERTAIN:
                _settle(ended, silent=True)
            elif silence is SilenceVerdict.DOUBTFUL and ended not in self._checks:
                self._checks[ended] = asyncio.create_task(self._async_check(ended, watch))
        self._arm()

    async def _async_check(self, ended: "asyncio.Future[bool]", watch: SilenceDetector) -> None:
        accepted = await watch.evidence.async_check()
        if watch.note_check(accepted=accepted) is SilenceVerdict.CERTAIN:
            _settle(ended, silent=True)
        self._checks.pop(ended, None)


def _settle(ended: "asyncio.Future[bool]", *, silent: bool) -> None:
    if not ended.done():
        ended.set_result(silent)
