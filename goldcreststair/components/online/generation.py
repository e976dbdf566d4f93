"""Runs one generation, over several connections and upstreams if needed."""

import asyncio
import dataclasses
from collections.abc import Callable

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.online.const import (
    MAX_ATTEMPTS,
    RETRY_PAUSE_MS,
    SETTLE_POLL_MS,
)
from goldcreststair.components.online.fair_queue import Ticket
from goldcreststair.components.online.gate import AdmissionGate
from goldcreststair.components.online.models import GenerateRequest
from goldcreststair.components.online.mover import MovableStream, StreamMover
from goldcreststair.components.online.pressure import PressureMeter
from goldcreststair.components.online.recovery import NextStep, RunProgress, decide_next
from goldcreststair.components.online.stream import StreamRecorder
from goldcreststair.components.quarantine.parts import find_suspects
from goldcreststair.components.quarantine.protocols import QUARANTINE, make_fingerprint
from goldcreststair.components.routing.protocols import ROUTER, RouteQuery
from goldcreststair.core import Core
from goldcreststair.helpers.refusals import Refusal, RefusalCode
from goldcreststair.helpers.retry_budget import RetryBudget
from goldcreststair.journal import Subject
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.models import GenerateCall, GenerateEnd, StreamChunk, Upstream


class _FirstTokenSink:
    """Passes chunks to the recorder and reports the first chunk of a run."""

    def __init__(self, recorder: StreamRecorder, on_first: Callable[[], None]) -> None:
        self.accept_lock = asyncio.Lock()
        self._recorder = recorder
        self._on_first: Callable[[], None] | None = on_first

    async def async_accept(self, chunk: StreamChunk) -> None:
        if self._on_first is not None:
            self._on_first()
            self._on_first = None
        async with self.accept_lock:
            await self._recorder.async_accept(chunk)


class GenerationRunner:
    """Places generations on upstreams, runs, resumes and moves them."""

    def __init__(self, core: Core, gate: AdmissionGate, meter: PressureMeter) -> None:
        """Look up the components that are set up earlier."""
        self._clock = core.clock
        self._journal = core.journal
        self._engines = core.upstreams.engines
        self._router = core.get(ROUTER)
        self._quarantine = core.get(QUARANTINE)
        self._gate = gate
        self._meter = meter
        self._budget = RetryBudget()
        self._cancels: set[asyncio.Task[object]] = set()
        self._mover = StreamMover(core)

    async def async_close(self) -> None:
        """Wait for the cancel calls of abandoned runs to reach their upstreams."""
        await self._mover.async_close()
        await asyncio.gather(*self._cancels, return_exceptions=True)

    async def async_run(
        self, request: GenerateRequest, recorder: StreamRecorder, deadline_at: Millis
    ) -> Result[GenerateEnd, Refusal]:
        """Run one request until its response is complete or refused."""
        self._budget.record_request()
        run = _GenerationRun(request, recorder, deadline_at)
        while True:
            while self._must_settle(run):
                await self._clock.async_sleep(SETTLE_POLL_MS)
            if self._is_refused(run):
                return Err(_make_quarantine_refusal(run))
            placed = await self._async_place(run)
            if isinstance(placed, Err):
                return Err(_correct_not_run(placed.err_value, run.progress))
            if self._is_refused(run):
                self._gate.leave(placed.ok_value.name, request.request_id, ok=False)
                return Err(_make_quarantine_refusal(run))
            done = await self._async_run_placed(run, placed.ok_value)
            if done is not None:
                return done

    def _must_settle(self, run: "_GenerationRun") -> bool:
        """Return whether the verdict on a prompt is about to fall."""
        left_ms = run.deadline_at - self._clock.now()
        return left_ms > SETTLE_POLL_MS and self._quarantine.parts.is_pending(run.suspects)

    def _is_refused(self, run: "_GenerationRun") -> bool:
        parts = self._quarantine.parts
        return self._quarantine.is_quarantined(run.fingerprint) or parts.is_refused(run.suspects)

    async def _async_place(self, run: "_GenerationRun") -> Result[Upstream, Refusal]:
        parts = self._quarantine.parts
        run.alone = self._quarantine.is_suspect(run.fingerprint) or parts.is_suspect(run.suspects)
        ticket = run.make_ticket()
        # While all upstreams refuse or are unreachable, further attempts are spaced out.
        if run.progress.unstarted >= MAX_ATTEMPTS and not await self._async_pause(run):
            return Err(Refusal("no upstream accepted it", RefusalCode.NO_UPSTREAM, 503, True, 1000))
        while True:
            placed = await self._gate.async_enter(ticket, run.make_query())
            waiting = isinstance(placed, Err) and placed.err_value.code is RefusalCode.NO_UPSTREAM
            if not waiting or not run.progress.has_begun or not await self._async_pause(run):
                return placed

    async def _async_pause(self, run: "_GenerationRun") -> bool:
        """Wait for upstreams to recover; returns False if no time is left."""
        if self._clock.now() + RETRY_PAUSE_MS >= run.deadline_at or run.pauses_left <= 0:
            return False
        # Every other upstream is isolated for a suspect request or has just failed. The next
        # attempt may use any upstream: those excluded so far may serve again by then.
        run.pauses_left -= 1
        run.excluded = frozenset()
        await self._clock.async_sleep(RETRY_PAUSE_MS)
        return True

    async def _async_run_placed(
        self, run: "_GenerationRun", upstream: Upstream
    ) -> Result[GenerateEnd, Refusal] | None:
        """Run at one upstream; returns the result, or None if the request must be placed again."""
        request_id = run.request.request_id
        self._quarantine.begin(upstream.name, request_id, run.fingerprint)
        self._journal.record(
            Subject.REQUEST,
            request_id,
            "run",
            "routing chose it",
            upstream=upstream.name,
            attempts=run.progress.attempts,
            last_index=run.recorder.last_index,
        )
        ok, left_running = False, True
        try:
            while True:
                outcome = await self._async_attempt(run, upstream)
                if isinstance(outcome, Ok):
                    ok, left_running = True, False
                    self._quarantine.parts.report_answer(run.suspects)
                    return outcome
                step = self._decide(run, upstream, outcome.err_value)
                left_running = not outcome.err_value.not_run
                if step is NextStep.GIVE_UP:
                    return Err(_make_failure_refusal(outcome.err_value, run.progress))
                if self._is_refused(run):
                    return Err(_make_quarantine_refusal(run))
                if step is NextStep.ELSEWHERE:
                    # A refusal is temporary, and the router tracks how long it lasts.
                    if outcome.err_value.failure is not UpstreamFailure.REFUSED:
                        run.excluded |= {upstream.name}
                    return None
        finally:
            self._quarantine.end(upstream.name, request_id, ok=ok)
            self._gate.leave(upstream.name, request_id, ok=ok)
            if left_running:
                self._cancel(upstream, request_id)

    async def _async_attempt(
        self, run: "_GenerationRun", upstream: Upstream
    ) -> Result[GenerateEnd, UpstreamError]:
        run.recorder.begin_run()
        run.progress.attempts += 1
        began, run.first_token_at = self._clock.now(), None

        def on_first() -> None:
            run.first_token_at = self._clock.now()
            self._meter.record_first_token(upstream.name, self._clock.now() - began)

        sink = _FirstTokenSink(run.recorder, on_first)
        attempt = self._engines.async_generate(upstream, run.make_call(began), sink)
        if run.request.stream:
            stream = MovableStream(upstream, run.request, run.recorder, sink.accept_lock)
            outcome = await self._mover.async_run(stream, attempt)
            run.set_kv_holder(stream)
        else:
            outcome = await attempt
        # A stream end without its last tokens would present a partial response as complete.
        short = isinstance(outcome, Ok) and run.lacks_tokens(outcome.ok_value)
        if isinstance(outcome, Ok) and (run.recorder.gap or short):
            return Err(UpstreamError("tokens are missing", UpstreamFailure.INCOMPLETE))
        return outcome

    def _decide(self, run: "_GenerationRun", upstream: Upstream, error: UpstreamError) -> NextStep:
        progress = run.progress
        has_begun = run.recorder.last_index > progress.last_index
        if has_begun:
            progress.reconnects = 0
        progress.last_index = run.recorder.last_index
        progress.may_have_run = progress.may_have_run or not error.not_run
        progress.unstarted = progress.unstarted + 1 if error.not_run else 0
        if error.not_run and progress.may_have_run:
            # Not counted: a stream that has begun must not be cut because upstreams restart.
            progress.attempts -= 1
        if error.failure in (UpstreamFailure.MOVED, UpstreamFailure.OTHER_SOFTWARE):
            # Not counted: a stream that moves often must not run out of attempts.
            progress.attempts -= 1
            return NextStep.ELSEWHERE
        if error.failure is UpstreamFailure.REFUSED:
            self._router.mark_refused(upstream.name, run.request.model)
        if error.failure is UpstreamFailure.LOST and not error.status:
            self._quarantine.report_crash(upstream.name, run.request.request_id)
            wrote_ms = None
            if has_begun and run.first_token_at is not None:
                wrote_ms = self._clock.now() - run.first_token_at
            self._quarantine.parts.report_lost(upstream.name, run.suspects, wrote_ms=wrote_ms)
        remaining = run.deadline_at - self._clock.now()
        step = decide_next(
            progress, error, self._budget, remaining, lambda: self._has_alternative(run, upstream)
        )
        self._journal.record(
            Subject.REQUEST,
            run.request.request_id,
            step,
            f"{error.failure}: {error.message}",
            upstream=upstream.name,
            last_index=progress.last_index,
            attempts=progress.attempts,
        )
        progress.reconnects = progress.reconnects + 1 if step is NextStep.SAME else 0
        if step is NextStep.SAME and error.failure is UpstreamFailure.SILENT:
            # The new connection joins the same run, which is already counted.
            progress.attempts -= 1
        return step

    def _has_alternative(self, run: "_GenerationRun", upstream: Upstream) -> bool:
        excluded = run.excluded | {upstream.name}
        query = dataclasses.replace(run.make_query(), prefix="", excluded=excluded)
        return isinstance(self._router.choose(query), Ok)

    def _cancel(self, upstream: Upstream, request_id: str) -> None:
        """Cancel an abandoned run at its upstream."""
        task = asyncio.ensure_future(self._engines.async_cancel(upstream, request_id))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)


class _GenerationRun:
    """State of one request over all its runs."""

    def __init__(
        self, request: GenerateRequest, recorder: StreamRecorder, deadline_at: Millis
    ) -> None:
        self.request = request
        self.recorder = recorder
        self.deadline_at = deadline_at
        self.progress = RunProgress(repeatable=True)
        self.excluded: frozenset[str] = frozenset()
        self.alone = False
        self.kv_holder = ""
        """Name of the upstream that holds the KV state, or empty."""
        self.pauses_left = 100
        self.first_token_at: Millis | None = None
        """When the current run returned its first token."""
        self.fingerprint = make_fingerprint(request.identity.customer.name, request.body)
        self.suspects = find_suspects(self.fingerprint, request.body)

    def make_ticket(self) -> Ticket:
        customer = self.request.identity.customer
        return Ticket(self.request.request_id, customer.name, customer.weight, self.deadline_at)

    def set_kv_holder(self, stream: MovableStream) -> None:
        """Record which upstream a moving stream continues at."""
        moved = stream.handover.done() and not stream.handover.cancelled()
        self.kv_holder = stream.handover.result() if moved else ""

    def make_query(self) -> RouteQuery:
        return RouteQuery(
            model=self.request.model,
            prefix=self.request.prefix,
            excluded=self.excluded,
            alone=self.alone,
            admitted=self.progress.has_begun,
            preferred=self.kv_holder,
            software_version=self.recorder.software_version,
        )

    def lacks_tokens(self, end: GenerateEnd) -> bool:
        """Return whether a stream ended before the last token index that its end reports."""
        return self.request.stream and self.recorder.last_index < end.last_index

    def make_call(self, now: Millis) -> GenerateCall:
        resumed = self.recorder.last_index >= 0
        return GenerateCall(
            request_id=self.request.request_id,
            path=self.request.path,
            body=self.request.body,
            stream=self.request.stream,
            timeout_ms=max(1, self.deadline_at - now),
            resume_after=self.recorder.last_index,
            prior=self.recorder.read_text() if resumed else "",
            software_version=self.recorder.software_version,
        )


def _correct_not_run(refusal: Refusal, progress: RunProgress) -> Refusal:
    """Return the refusal, marked as not run only if no earlier run may have happened."""
    if not progress.may_have_run or not refusal.not_run:
        return refusal
    return Refusal(refusal.message, refusal.code, 502, False, refusal.retry_after_ms)


def _make_quarantine_refusal(run: _GenerationRun) -> Refusal:
    message = "this request crashed upstreams and is quarantined"
    ran = run.progress.may_have_run
    return Refusal(message, RefusalCode.QUARANTINED, 422, not_run=not ran)


def _make_failure_refusal(error: UpstreamError, progress: RunProgress) -> Refusal:
    not_run = not progress.may_have_run
    if error.failure is UpstreamFailure.REJECTED:
        code, status = RefusalCode.INVALID_REQUEST, error.status
        return Refusal(error.message, code, status, False, upstream_body=error.body)
    if error.failure is UpstreamFailure.TIMEOUT:
        return Refusal(error.message, RefusalCode.DEADLINE, 504, False, 1000)
    if not_run:
        return Refusal("no upstream accepted it", RefusalCode.NO_UPSTREAM, 503, True, 1000)
    return Refusal(error.message, RefusalCode.UPSTREAM_FAILED, 502, False, 1000)
