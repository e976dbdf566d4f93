"""Detects upstreams that stop sending in the middle of a run."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import TypeVar

from goldcreststair.clock import Clock, Millis, TimerHandle
from goldcreststair.components.forwarding.const import (
    BUSY_FIRST_EVENT_TIMEOUT_MS,
    BUSY_GAP_TIMEOUT_MS,
    FIRST_EVENT_TIMEOUT_MS,
    GAP_TIMEOUT_MS,
    LATE_CHECK_MS,
    NO_ALTERNATIVE_HOLD_MS,
    SILENCE_CHECK_MS,
)
from goldcreststair.components.forwarding.relay import StreamRelay

T = TypeVar("T")


class SilenceVerdict(StrEnum):
    """What the silence of a run shows about its upstream."""

    NONE = "none"
    SUSPECTED = "suspected"
    """The upstream may be down, or this run may only wait in its queue."""
    CONFIRMED = "confirmed"


@dataclass(frozen=True, slots=True)
class UpstreamProbes:
    """Callbacks that give more information about the upstream of a run."""

    read_last_activity: Callable[[], int]
    """Returns when the upstream last sent this daemon anything."""
    has_other_runs: Callable[[], bool]
    """Returns whether this daemon has other runs there that would have received something."""
    async_can_connect: Callable[[], Awaitable[bool]]
    """Returns whether the upstream still accepts connections."""
    may_abandon: Callable[[], bool]
    """Returns whether the request could continue at another upstream."""


class SilenceDetector:
    """Decides whether one run is silent, by when the run and its upstream last sent; no I/O."""

    def __init__(
        self, clock: Clock, relay: StreamRelay, expected_ms: float, probes: UpstreamProbes
    ) -> None:
        """Watch the run behind `relay`, whose first event is expected after `expected_ms`."""
        self.probes = probes
        self._clock = clock
        self._relay = relay
        self._expected_ms = expected_ms
        self._checked_at = clock.now()
        self._counted_since = clock.now()
        self._accepted_at: Millis | None = None
        self._hold_until = Millis(0)
        self._run_silence_ms = 0
        self._upstream_silence_ms = 0

    def describe(self) -> str:
        """Return the measurements behind the last verdict, for the log."""
        timeout_ms, busy_timeout_ms = self._read_timeouts()
        return (
            f"run {self._run_silence_ms} of {busy_timeout_ms:.0f} ms, "
            f"upstream {self._upstream_silence_ms} of {timeout_ms:.0f} ms, "
            f"{self._relay.run_events} events"
        )

    def record_connect_check(self, *, accepted: bool) -> SilenceVerdict:
        """Record whether the upstream accepts connections; returns the resulting verdict."""
        if not accepted:
            return self._require_alternative(SilenceVerdict.CONFIRMED)
        self._accepted_at = self._clock.now()
        return SilenceVerdict.NONE

    def evaluate(self) -> SilenceVerdict:
        """Return whether the upstream seems down and its run should be abandoned."""
        return self._require_alternative(self._evaluate_silence())

    def _require_alternative(self, verdict: SilenceVerdict) -> SilenceVerdict:
        # Silence is a reason to move a request, not to end it: a caller whose last possible run is
        # abandoned gets nothing, while a slow upstream would have continued.
        if verdict is SilenceVerdict.NONE or self._clock.now() < self._hold_until:
            return SilenceVerdict.NONE
        if not self.probes.may_abandon():
            self._hold_until = Millis(self._clock.now() + NO_ALTERNATIVE_HOLD_MS)
            return SilenceVerdict.NONE
        return verdict

    def _evaluate_silence(self) -> SilenceVerdict:
        now = self._clock.now()
        late_ms = now - self._checked_at - SILENCE_CHECK_MS
        self._checked_at = now
        # A process that was delayed in reading sees silence everywhere. If that counted, every stream
        # of this VM would be run again at the same moment.
        if late_ms > LATE_CHECK_MS or self._relay.waits_for_caller:
            self._counted_since = now
        self._run_silence_ms = now - max(self._counted_since, self._relay.progress_at)
        self._upstream_silence_ms = now - max(self._counted_since, self.probes.read_last_activity())
        timeout_ms, busy_timeout_ms = self._read_timeouts()
        if self._run_silence_ms > busy_timeout_ms:
            return SilenceVerdict.CONFIRMED
        if min(self._run_silence_ms, self._upstream_silence_ms) <= timeout_ms:
            return SilenceVerdict.NONE
        if self.probes.has_other_runs():
            return SilenceVerdict.CONFIRMED
        # A VM without another run there cannot tell a queue from a crash. Without this check, VMs of a
        # large fleet declared full upstreams dead one after the other, and requests ran twice.
        if self._accepted_at is not None and self._accepted_at > self._relay.progress_at:
            return SilenceVerdict.NONE
        return SilenceVerdict.SUSPECTED

    def _read_timeouts(self) -> tuple[float, float]:
        if self._relay.run_events:
            return GAP_TIMEOUT_MS, BUSY_GAP_TIMEOUT_MS
        return (
            self._expected_ms + FIRST_EVENT_TIMEOUT_MS,
            self._expected_ms + BUSY_FIRST_EVENT_TIMEOUT_MS,
        )


class SilenceMonitor:
    """Checks all active runs of this daemon with a single timer."""

    def __init__(self, clock: Clock) -> None:
        """Initialise without any active run."""
        self._clock = clock
        self._detectors: dict[asyncio.Future[bool], SilenceDetector] = {}
        self._timer: TimerHandle | None = None
        self._checks: dict[asyncio.Future[bool], asyncio.Task[None]] = {}

    async def async_monitor(self, task: "asyncio.Task[T]", detector: SilenceDetector) -> T | None:
        """Return the task's result, or None after cancelling it for its silence."""
        ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        task.add_done_callback(lambda _: _resolve(ended, silent=False))
        self._detectors[ended] = detector
        self._arm()
        try:
            silent = await ended
        finally:
            del self._detectors[ended]
            check = self._checks.pop(ended, None)
            if check is not None:
                check.cancel()
        if not silent:
            return task.result()
        task.cancel()
        await asyncio.wait({task})
        return None

    def _arm(self) -> None:
        if self._timer is None and self._detectors:
            self._timer = self._clock.call_later(SILENCE_CHECK_MS, self._check_all)

    def _check_all(self) -> None:
        self._timer = None
        for ended, detector in tuple(self._detectors.items()):
            verdict = detector.evaluate()
            if verdict is SilenceVerdict.CONFIRMED:
                _resolve(ended, silent=True)
            elif verdict is SilenceVerdict.SUSPECTED and ended not in self._checks:
                self._checks[ended] = asyncio.create_task(self._async_check(ended, detector))
        self._arm()

    async def _async_check(self, ended: "asyncio.Future[bool]", detector: SilenceDetector) -> None:
        accepted = await detector.probes.async_can_connect()
        if detector.record_connect_check(accepted=accepted) is SilenceVerdict.CONFIRMED:
            _resolve(ended, silent=True)
        self._checks.pop(ended, None)


def _resolve(ended: "asyncio.Future[bool]", *, silent: bool) -> None:
    if not ended.done():
        ended.set_result(silent)
