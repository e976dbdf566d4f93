"""Processing of one request over all its runs: placement, retries, resumption, final answer."""

import asyncio
import logging
from collections.abc import Iterable
from dataclasses import dataclass, replace
from typing import Final

from result import Err, Ok, Result

from goldcreststair.components.catalogue.models import CallKind
from goldcreststair.components.crash_marks.models import Turn
from goldcreststair.components.crash_marks.service import CRASH_TRACKER
from goldcreststair.components.discovery.models import UpstreamEntry
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.fleet.models import OWN_STATE
from goldcreststair.components.forwarding.const import (
    BODY_CHECK_MS,
    BODY_TIMEOUT_MS,
    CONNECT_CHECK_TIMEOUT_MS,
    MIN_REMAINING_MS,
    PLACEMENT_RETRY_MS,
)
from goldcreststair.components.forwarding.crash_reports import CrashReports
from goldcreststair.components.forwarding.models import RequestProgress
from goldcreststair.components.forwarding.outcome_report import OutcomeReport
from goldcreststair.components.forwarding.protocols import Responder
from goldcreststair.components.forwarding.recovery import (
    MAX_RESUMPTION_WAIT_MS,
    NextStep,
    choose_placement_delay,
    decide_next_step,
    make_final_refusal,
    make_resumption_refusal,
    may_abandon_run,
)
from goldcreststair.components.forwarding.refusals import (
    log_refusal,
    make_quarantine_refusal,
    make_turn_refusal,
)
from goldcreststair.components.forwarding.relay import StreamRelay
from goldcreststair.components.forwarding.resumption import find_stream_key
from goldcreststair.components.forwarding.silence_detector import (
    SilenceDetector,
    SilenceMonitor,
    UpstreamProbes,
)
from goldcreststair.components.placement.models import Placement, PlacementQuery
from goldcreststair.components.placement.queries import make_query
from goldcreststair.components.placement.service import PLACEMENT
from goldcreststair.components.quotas.service import QUOTAS
from goldcreststair.components.requests.models import AdmittedRequest
from goldcreststair.components.stream_origins.models import StreamOrigin
from goldcreststair.components.stream_origins.protocols import STREAM_ORIGINS
from goldcreststair.components.waiting.protocols import WAITING
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.features import Feature
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.abortable import AbortableWait
from goldcreststair.helpers.crash_evidence import RequestSuspects, hash_shared_parts
from goldcreststair.helpers.cuts import CutCause, read_cause
from goldcreststair.helpers.refusals import Refusal
from goldcreststair.helpers.retry_budget import RetryBudget
from goldcreststair.upstreams.answers import STATUS_OK, AnswerState, may_pass_on
from goldcreststair.upstreams.dialect import RunCall, RunHead
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.runner import RunEnd, async_run_checked

_LOGGER = logging.getLogger(__name__)

LOG_EVENTS: Final = {
    NextStep.ELSEWHERE: "Request runs elsewhere",
    NextStep.BACK: "Request goes back",
}


@dataclass(frozen=True, slots=True)
class ForwardingContext:
    """Objects shared by all requests of this daemon."""

    core: GatewayCore
    budget: RetryBudget
    silence_monitor: SilenceMonitor


class ForwardedRequest:
    """Processes one admitted request over all its runs."""

    def __init__(
        self, context: ForwardingContext, admitted: AdmittedRequest, responder: Responder
    ) -> None:
        """Prepare the request; `async_run` starts it."""
        core = context.core
        self._core = core
        self._silence_monitor = context.silence_monitor
        self._clock = core.clock
        self._placement = core.get(PLACEMENT)
        self._quotas = core.get(QUOTAS)
        self._admitted = admitted
        self._request = admitted.request
        self._route = admitted.route
        self._responder = responder
        self._budget = context.budget
        self._progress = RequestProgress(last_event=admitted.request.resume_after)
        self._upstream = ""
        """Name of the upstream of the current run."""
        self._failure: UpstreamError | None = None
        """Error of the last failed run."""
        self._origins = core.get(STREAM_ORIGINS)
        self._stream = find_stream_key(admitted)
        self._origin = admitted.origin
        """The software that began the stream; None before its first event, or if it is not known."""
        self._software: str | None = None
        """Software version of the upstream of the current run; None if it is not certain."""
        self._relay = StreamRelay(
            responder,
            core.clock,
            self._progress.last_event,
            self._on_head,
            self._on_data,
            self._on_begin,
        )
        self._relay.wants_chunks = admitted.route.kind is CallKind.STREAMING
        tracker = core.get(CRASH_TRACKER)
        own = admitted.suspects - hash_shared_parts(admitted.request.prompt_parts)
        suspects = RequestSuspects(admitted.suspects, late=own)
        self._guard = tracker.open_guard(suspects, self._on_refused)
        self._crash_reports = CrashReports(tracker, self._guard, core.clock, admitted, self._relay)
        self._wait = AbortableWait()

    async def async_run(self) -> None:
        """Run the request until the final answer is sent."""
        try:
            await self._async_run()
        except asyncio.CancelledError as error:
            cause = read_cause(error)
            self._report_cut(cause.value, is_expected=cause is CutCause.CALLER)
            raise
        finally:
            self._guard.leave()
            if self._stream is not None:
                self._origins.release(self._stream)

    async def _async_run(self) -> None:
        self._budget.record_request()
        next_step = NextStep.ELSEWHERE
        while True:
            placed = await self._async_place_guarded(next_step)
            if isinstance(placed, Err):
                self._finish_refused(placed.err_value)
                return
            end = await self._async_attempt(placed.ok_value)
            state = self._relay.classify(end.ok_value) if isinstance(end, Ok) else None
            if isinstance(end, Ok) and state is AnswerState.WHOLE:
                if end.ok_value.head.status == STATUS_OK:
                    self._crash_reports.record_whole()
                self._finish_answered(end.ok_value)
                return
            error = end.err_value if isinstance(end, Err) else _make_run_error(end.ok_value)
            self._guard.leave(not_run=error.not_run)
            self._record_failure(placed.ok_value, error)
            remaining_ms = self._remaining_ms()
            next_step = decide_next_step(
                self._progress, self._route, error, self._budget, remaining_ms
            )
            if next_step is NextStep.GIVE_UP:
                failed = state is AnswerState.FAILED and not self._relay.has_begun
                if isinstance(end, Ok) and failed and may_pass_on(end.ok_value.head):
                    self._finish_answered(end.ok_value)
                else:
                    self._finish_refused(make_final_refusal(self._progress, error))
                return
            self._log(LOG_EVENTS[next_step], error.message, failure=error.failure.value)
            self._core.meters.count_retry(error.failure.value)

    async def _async_place_guarded(self, next_step: NextStep) -> Result[Placement, Refusal]:
        """Return the placement of the next run, unless the request may crash its upstream."""
        turn = await self._guard.async_enter(self._admitted.ends_at)
        may_have_run = self._progress.may_have_run
        if turn is Turn.BUSY:
            return Err(make_turn_refusal(may_have_run=may_have_run))
        if turn.may_run:
            placed = await self._async_place(next_step)
            if not self._guard.is_refused:
                return placed
        return Err(make_quarantine_refusal(may_have_run=may_have_run))

    async def _async_place(self, next_step: NextStep) -> Result[Placement, Refusal]:
        """Return the placement of the next run, waiting for one where the stream has begun."""
        pause_ms = choose_placement_delay(self._progress)
        if pause_ms:
            await self._clock.async_sleep(pause_ms)
        if next_step is NextStep.BACK:
            placed = self._place_at_abandoned()
        else:
            placed = await self._async_place_or_wait()
        # Cutting a begun stream now would waste what the caller has received, although the upstreams
        # may be full or down for a moment only.
        while isinstance(placed, Err) and self._may_wait_for_place():
            self._progress.excluded = set(self._progress.attempted)
            await self._clock.async_sleep(PLACEMENT_RETRY_MS)
            placed = self._place()
        return placed

    def _may_wait_for_place(self) -> bool:
        if self._is_out_of_time() or not self._has_upstream_left():
            return False
        if self._relay.has_begun:
            return True
        waited_ms = self._clock.now() - self._request.arrived_at
        return self._admitted.origin is not None and waited_ms < MAX_RESUMPTION_WAIT_MS

    def _has_upstream_left(self) -> bool:
        """Return whether an upstream may take the request now or later."""
        return self._placement.controller.has_upstream(self._make_query(self._progress.attempted))

    def _place_at_abandoned(self) -> Result[Placement, Refusal]:
        software = self._origin.software_version if self._origin is not None else None
        while self._progress.abandoned:
            name = self._progress.abandoned.pop(0)
            placement = self._placement.controller.place_at(name, software)
            if placement is not None:
                return Ok(placement)
        error = UpstreamError("no upstream is left to retry", UpstreamFailure.CONNECT)
        return Err(make_final_refusal(self._progress, error))

    async def _async_place_or_wait(self) -> Result[Placement, Refusal]:
        placed = self._place()
        if isinstance(placed, Err) or self._progress.attempts or self._progress.excluded:
            return placed
        # The caller has a part of the answer, which is lost if the stream is sent away now.
        if self._admitted.origin is not None:
            return placed
        admission = self._core.get(WAITING).async_admit(self._admitted, placed.ok_value)
        admitted = await self._wait.async_run(admission)
        return admitted or Err(make_quarantine_refusal(may_have_run=False))

    def _place(self) -> Result[Placement, Refusal]:
        if self._is_out_of_time():
            error = UpstreamError("no time for another run", UpstreamFailure.TIMEOUT)
            return Err(make_final_refusal(self._progress, error))
        chosen = self._placement.controller.choose(self._make_query(self._progress.excluded))
        if isinstance(chosen, Err) and self._progress.abandoned:
            return self._place_at_abandoned()
        if isinstance(chosen, Err) and self._cannot_be_resumed():
            unavailable = chosen.err_value
            return Err(make_resumption_refusal(unavailable.message, unavailable.retry_after_ms))
        if isinstance(chosen, Err):
            error = UpstreamError(chosen.err_value.message, UpstreamFailure.CONNECT)
            return Err(make_final_refusal(self._progress, error, chosen.err_value.retry_after_ms))
        return Ok(chosen.ok_value)

    def _cannot_be_resumed(self) -> bool:
        """Return whether the caller takes up a stream whose software no upstream runs any more."""
        if self._admitted.origin is None or self._progress.may_have_run:
            return False
        return not self._has_upstream_left()

    def _is_out_of_time(self) -> bool:
        """Return whether a request that was already sent to an upstream has no time to be sent again."""
        return bool(self._progress.excluded) and self._remaining_ms() < MIN_REMAINING_MS

    def _make_query(self, excluded: Iterable[str]) -> PlacementQuery:
        query = make_query(self._admitted, excluded, self._progress.attempts, self._origin)
        return replace(query, prefers_idle=True) if self._guard.is_suspected else query

    async def _async_attempt(self, placement: Placement) -> Result[RunEnd, UpstreamError]:
        entry = placement.upstream
        call = self._make_call(entry.name)
        self._upstream = entry.name
        self._software = self._placement.controller.upstreams.find_software(entry.name)
        if self._relay.last_event:
            self._record_resumption(entry)
        self._core.meters.observe_expected(placement.expected_ms)
        self._log(
            "Request placed",
            "least expected wait",
            customer=call.customer,
            software=entry.software_version,
            begun_as=self._request.begun_as or None,
            runs_there=placement.runs_there,
            wait_ms=round(placement.wait_ms),
            expected_ms=round(placement.expected_ms),
        )
        self._relay.begin_run()
        self._placement.begin(entry.name)
        self._guard.begin_run(entry)
        began_at = self._clock.now()
        run = asyncio.ensure_future(
            async_run_checked(self._core.runner, entry.address, call, self._relay)
        )
        report = OutcomeReport(self._placement, self._clock, self._relay, placement)
        end: Result[RunEnd, UpstreamError] | None = None
        try:
            end = await self._wait.async_run(self._async_monitor(run, placement))
        finally:
            run.cancel()
            self._placement.end(entry.name)
            report.finish(end)
        if end is None:
            message = "its prompt, or its body, crashes upstreams"
            return Err(UpstreamError(message, UpstreamFailure.CANCELLED))
        if isinstance(end, Ok) and not placement.wait_ms and self._relay.first_event_at:
            first_ms = self._relay.first_event_at - began_at
            service = self._admitted.service
            # Times are recorded as at an upstream of usual pace: placement multiplies them again.
            run_ms = (self._clock.now() - began_at) / placement.factor
            self._placement.controller.record_run(service, first_ms / placement.factor, run_ms)
        if isinstance(end, Ok) and self._relay.run_first_at is not None:
            waited = placement.wait_ms > 0
            run_first_ms = None if waited else self._relay.run_first_at - began_at
            self._placement.record_events(entry, run_first_ms, self._relay.run_gap_ms)
        return end

    async def _async_monitor(
        self, run: "asyncio.Task[Result[RunEnd, UpstreamError]]", placement: Placement
    ) -> Result[RunEnd, UpstreamError]:
        if not self._route.repeatable:
            return await run
        if self._route.kind is not CallKind.STREAMING:
            return await self._async_limit_body(run)
        entry = placement.upstream
        controller = self._placement.controller
        probes = UpstreamProbes(
            lambda: controller.upstreams.read_progress(entry.name),
            lambda: controller.is_silence_conclusive(entry.name),
            lambda: self._core.runner.pool.async_warm(entry.address, CONNECT_CHECK_TIMEOUT_MS),
            self._may_abandon_run,
        )
        detector = SilenceDetector(self._clock, self._relay, placement.expected_ms, probes)
        ended = await self._silence_monitor.async_monitor(run, detector)
        if ended is None:
            message = f"upstream fell silent: {detector.describe()}"
            return Err(UpstreamError(message, UpstreamFailure.SILENT))
        return ended

    async def _async_limit_body(
        self, run: "asyncio.Task[Result[RunEnd, UpstreamError]]"
    ) -> Result[RunEnd, UpstreamError]:
        """Return the end of a run, unless its body takes so long that another upstream is tried instead."""
        while not run.done():
            await asyncio.wait({run}, timeout=BODY_CHECK_MS / MS_PER_SECOND)
            head_at = self._relay.head_at
            if run.done() or head_at is None:
                continue
            limit_ms = max(BODY_TIMEOUT_MS, (self._admitted.ends_at - head_at) // 2)
            if self._clock.now() - head_at > limit_ms and self._may_abandon_run():
                message = f"no whole body within {limit_ms} ms of its head"
                return Err(UpstreamError(message, UpstreamFailure.INCOMPLETE))
        return run.result()

    def _may_abandon_run(self) -> bool:
        progress = replace(self._progress, last_event=self._relay.last_event)
        if not may_abandon_run(progress, self._route, self._budget, self._remaining_ms()):
            return False
        elsewhere = self._make_query(progress.excluded | {self._upstream})
        elsewhere = replace(elsewhere, is_retry=True)
        return self._placement.controller.can_place(elsewhere)

    def _make_call(self, upstream: str) -> RunCall:
        request = self._request
        return RunCall(
            request_id=request.request_id,
            method=request.method,
            host=request.host,
            path=request.target,
            headers=request.headers,
            body=request.body,
            customer=self._admitted.customer.name if self._admitted.customer else "",
            upstream=upstream,
            deadline_ms=max(1, self._remaining_ms()),
            resume_after=self._relay.last_event,
            delivers_late=self._delivers_late(),
        )

    def _delivers_late(self) -> bool:
        features = self._core.get(FEATURES)
        # A pause for a slow reader must not make the deadline cut what has arrived completely.
        return features.is_active(
            Feature.FLEET_RETURN, self._admitted.service
        ) or features.is_active_anywhere(Feature.BUFFER_LIMITS)

    def _record_failure(self, placement: Placement, error: UpstreamError) -> None:
        progress = self._progress
        entry = placement.upstream
        self._failure = error
        progress.excluded.add(entry.name)
        progress.last_event = self._relay.last_event
        if error.failure is UpstreamFailure.SILENT and entry.name not in progress.attempted:
            progress.abandoned.append(entry.name)
        if error.not_run:
            progress.not_run_count += 1
        else:
            progress.attempted.add(entry.name)
        if error.failure in (UpstreamFailure.CONNECT, UpstreamFailure.SILENT):
            self._placement.mark_down(
                entry,
                error.message,
                self._request.request_id,
                refuses_connections=error.failure is UpstreamFailure.CONNECT,
            )
        elif error.failure is UpstreamFailure.REFUSED:
            self._placement.controller.upstreams.mark_full(entry.name)
        self._crash_reports.record_failure(entry, error)

    def _on_refused(self) -> None:
        """End a wait for a slot, or a run that has not returned anything."""
        if not self._relay.run_events:
            self._wait.abort()

    def _finish_answered(self, end: RunEnd) -> None:
        if end.head.status != STATUS_OK or self._route.kind is not CallKind.STREAMING:
            self._responder.answer(end.head, end.body)
        else:
            self._relay.begin()
            self._responder.finish()
        first_ms = self._read_first_event_ms()
        kind = self._route.kind.value
        if first_ms is not None:
            self._core.meters.observe_first_event(kind, first_ms)
        self._core.meters.count_request(kind, "answered")
        self._log("Request answered", f"status {end.head.status}", first_ms=first_ms)

    def _finish_refused(self, refusal: Refusal) -> None:
        if self._failure is not None:
            failure = self._failure.failure.value
            self._core.meters.count_given_up(failure)
            self._log("Request given up", self._failure.message, failure=failure)
        if self._relay.has_begun:
            # Part of the answer was sent: only closing the connection shows that it is incomplete.
            self._responder.abort()
        else:
            self._responder.refuse(refusal)
        if refusal.not_run and self._admitted.customer is not None:
            self._quotas.refund(self._admitted.customer)
        if self._relay.has_begun:
            failure = self._failure.failure.value if self._failure is not None else "no upstream"
            self._report_cut(failure)
        outcome = "cut" if self._relay.has_begun else refusal.code.value
        self._core.meters.count_request(self._route.kind.value, outcome)
        log_refusal(self._request, refusal, cut=self._relay.has_begun)

    def _report_cut(self, cause: str, *, is_expected: bool = False) -> None:
        """Count and log a request that ends before its upstream's answer is complete."""
        now, relay = self._clock.now(), self._relay
        leaving_since = self._core.blackboard.read(OWN_STATE).leaving_since
        self._core.meters.count_cut(cause, is_leaving=leaving_since is not None)
        self._log(
            "Request cut",
            cause,
            level=logging.INFO if is_expected else logging.WARNING,
            route=self._route.name,
            admitted_by=self._admitted.basis.value,
            begun=relay.has_begun,
            run_events=relay.run_events,
            silent_ms=now - relay.progress_at,
            leaving_ms=None if leaving_since is None else now - leaving_since,
            arrived_leaving_ms=(
                None if leaving_since is None else self._request.arrived_at - leaving_since
            ),
        )

    def _read_first_event_ms(self) -> int | None:
        first_at = self._relay.first_event_at
        return None if first_at is None else first_at - self._request.arrived_at

    def _remaining_ms(self) -> int:
        return self._admitted.ends_at - self._clock.now()

    def _on_head(self, head: RunHead) -> None:
        self._placement.record_head(self._upstream, head)

    def _on_data(self) -> None:
        self._placement.controller.upstreams.record_progress(self._upstream)
        self._crash_reports.record_data()

    def _on_begin(self) -> None:
        """Record where the stream began before its caller can take it up elsewhere."""
        if self._origin is None and self._software is not None:
            self._origin = StreamOrigin(self._admitted.service, self._software)
        self._progress.can_continue = self._origin is not None
        if self._origin is not None and self._stream is not None:
            self._origins.record(self._stream, self._origin)

    def _record_resumption(self, entry: UpstreamEntry) -> None:
        """Count and log a run that continues a stream."""
        resumed_by = "daemon" if self._relay.has_begun else "caller"
        began = self._origin.software_version if self._origin is not None else None
        software = "unknown"
        if began is not None:
            software = "same" if began == entry.software_version else "other"
        self._core.meters.count_resumption(resumed_by, software)
        self._log(
            "Stream resumed",
            f"its software is {software}",
            resumed_by=resumed_by,
            begun_at_software=began,
        )

    def _log(
        self, event: str, reason: str, *, level: int = logging.INFO, **details: object
    ) -> None:
        _LOGGER.log(
            level,
            event,
            extra={
                "request": self._request.request_id,
                "upstream": self._upstream,
                "reason": reason,
                "attempts": self._progress.attempts,
                "last_event": self._relay.last_event,
                "age_ms": self._clock.now() - self._request.arrived_at,
                "left_ms": self._remaining_ms(),
                **details,
            },
        )


def _make_run_error(end: RunEnd) -> UpstreamError:
    if end.head.status != STATUS_OK:
        message = f"upstream answered {end.head.status}"
        if not may_pass_on(end.head):
            message += " and does not say that it has not run"
        return UpstreamError(message, UpstreamFailure.LOST, end.head.status)
    return UpstreamError("the answer was broken off", UpstreamFailure.INCOMPLETE)
