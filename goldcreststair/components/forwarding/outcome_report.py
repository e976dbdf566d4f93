"""Reports what one run shows about its upstream, at its end or when its first event is late."""

from typing import Protocol

from result import Ok, Result

from goldcreststair.clock import Clock, Millis, TimerHandle
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.forwarding.const import LATE_CHECK_MS
from goldcreststair.components.forwarding.relay import StreamRelay
from goldcreststair.components.placement.models import Placement, RunOutcome
from goldcreststair.components.placement.outcomes import classify_run_end
from goldcreststair.upstreams.answers import AnswerState
from goldcreststair.upstreams.dialect import UpstreamLoad
from goldcreststair.upstreams.errors import UpstreamError
from goldcreststair.upstreams.runner import RunEnd


class OutcomeRecorder(Protocol):
    """Receives the outcomes of runs; part of `PlacementService`."""

    def record_outcome(
        self,
        entry: UpstreamEntry,
        outcome: RunOutcome,
        first_ms: int | None,
        began_at: Millis | None = None,
    ) -> None:
        """Record the end of a run."""

    def read_slow_ms(self, service: str) -> int | None:
        """Return the time after which a first event counts as a failure, or None."""

    def read_reported_factor(self, entry: UpstreamEntry, load: UpstreamLoad | None) -> float:
        """Return how much longer than usual an upstream reports work to take there; at least 1."""


class OutcomeReport:
    """Reports one run, and a late first event as soon as it is late.

    A run at an upstream that hangs may end seconds later, at the caller's timeout. Until then other
    requests would be sent there.
    """

    def __init__(
        self, recorder: OutcomeRecorder, clock: Clock, relay: StreamRelay, placement: Placement
    ) -> None:
        """Begin with the run behind `relay`, which starts now."""
        self._recorder = recorder
        self._clock = clock
        self._relay = relay
        self._entry = placement.upstream
        self._finds_slot = not placement.wait_ms
        self._began_at = clock.now()
        self._due_at = Millis(0)
        self._factor = recorder.read_reported_factor(self._entry, None)
        """How much longer than usual work takes, as reported. An upstream that is as slow as it reports
        is no outlier: placement takes its pace into account."""
        self._timer: TimerHandle | None = None
        self._reported = False
        # The first event of a run that waits for a slot, or of an answer that is not streamed, says
        # nothing about the upstream.
        if self._finds_slot and relay.wants_chunks:
            self._arm()

    def finish(self, end: Result[RunEnd, UpstreamError] | None) -> None:
        """Report the end of the run; None if this daemon or the caller ended it."""
        if self._timer is not None:
            self._timer.cancel()
        outcome = RunOutcome.ABORTED
        if end is not None and not self._reported:
            broken_off = (
                isinstance(end, Ok) and self._relay.classify(end.ok_value) is AnswerState.BROKEN_OFF
            )
            outcome = classify_run_end(
                end, complete=not broken_off, has_answered=self._has_answered
            )
        first_at, first_ms = self._relay.first_event_at, None
        if first_at is not None and first_at >= self._began_at and self._finds_slot:
            reported = self._recorder.read_reported_factor(self._entry, self._relay.run_load)
            first_ms = int((first_at - self._began_at) / max(self._factor, reported))
        self._recorder.record_outcome(self._entry, outcome, first_ms, self._began_at)

    @property
    def _has_answered(self) -> bool:
        return self._relay.progress_at > self._began_at

    def _arm(self) -> None:
        slow_ms = self._recorder.read_slow_ms(self._entry.service)
        if slow_ms is not None:
            delay_ms = int(slow_ms * self._factor) + 1
            self._due_at = Millis(self._clock.now() + delay_ms)
            self._timer = self._clock.call_later(delay_ms, self._check)

    def _check(self) -> None:
        self._timer = None
        if self._has_answered:
            return
        # A process that was delayed in reading sees no first event anywhere.
        if self._clock.now() - self._due_at > LATE_CHECK_MS:
            self._arm()
            return
        # Other answers may have reported since that work takes longer.
        factor = self._recorder.read_reported_factor(self._entry, None)
        if factor > self._factor:
            self._factor = factor
            self._arm()
            return
        self._reported = True
        self._recorder.record_outcome(self._entry, RunOutcome.FAILED, None, self._began_at)
