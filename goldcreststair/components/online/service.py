"""Runs online requests, from admission to the complete response."""

import asyncio
from collections.abc import Awaitable
from typing import Final, TypeVar

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.claims.protocols import ClaimRequest, Outcome
from goldcreststair.components.keys.protocols import KEYS, Identity
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.components.online.calls import ServiceRunner
from goldcreststair.components.online.claiming import ClaimedRunner, make_request_fingerprint
from goldcreststair.components.online.gate import MIN_RETRY_MS, AdmissionGate
from goldcreststair.components.online.generation import GenerationRunner
from goldcreststair.components.online.levels import LevelObserver
from goldcreststair.components.online.models import GenerateRequest, ServiceRequest
from goldcreststair.components.online.pressure import PressureMeter
from goldcreststair.components.online.stream import StreamRecorder
from goldcreststair.components.routing.protocols import ROUTER
from goldcreststair.components.shutdown.models import SHUTDOWN, Shutdown
from goldcreststair.core import ComponentKey, Core
from goldcreststair.helpers.refusals import Refusal, RefusalCode, clear_not_run
from goldcreststair.journal import Subject
from goldcreststair.upstreams.models import GenerateEnd, StreamChunk
from goldcreststair.upstreams.protocols import StreamSink

T = TypeVar("T")

CONTENT_JSON: Final = "application/json"
CONTENT_EVENTS: Final = "text/event-stream"
DRAIN_POLL_MS: Final = 50
REFUSE_MS: Final = 500
"""Time before the end of a drain in which waiting callers are refused and can still be answered."""


class OnlineService:
    """Admits requests, runs them, under a claim where needed, and ends those of withdrawn keys."""

    def __init__(self, core: Core) -> None:
        """Look up the components that are set up earlier."""
        self._clock = core.clock
        self._blackboard = core.blackboard
        self._statistics = core.statistics
        self._journal = core.journal
        self._limits = core.get(LIMITS)
        self._keys = core.get(KEYS)
        self._gate = AdmissionGate(core)
        self._meter = PressureMeter(core.blackboard, core.clock, core.get(ROUTER))
        self._generations = GenerationRunner(core, self._gate, self._meter)
        self._calls = ServiceRunner(core, self._gate)
        self._claimed = ClaimedRunner(core)
        self._levels = LevelObserver(core)
        self._drainables = core.drainables
        self._in_flight = 0
        self._withdrawn_runs: set[str] = set()
        self._generation_runs: dict[str, asyncio.Task[object]] = {}

    async def async_start(self) -> None:
        """Register for graceful shutdowns."""
        self._drainables.append(self)

    async def async_drain(self, deadline_ms: int) -> None:
        """Wait until nothing is in flight, including runs whose caller has disconnected.

        A claimed run continues without its caller. A VM that stopped during it would leave a
        call with an unknown outcome. Shortly before the deadline, requests that wait for an upstream
        are refused as not run.
        """
        while self.count_in_flight():
            if self._clock.now() >= deadline_ms:
                return
            if self._clock.now() >= deadline_ms - REFUSE_MS:
                self._gate.close()
            await self._clock.async_sleep(DRAIN_POLL_MS)

    async def async_close(self) -> None:
        """Refuse queued requests and end running ones."""
        self._gate.close()
        self._meter.close()
        await self._claimed.async_close()
        await self._generations.async_close()

    def count_in_flight(self) -> int:
        """Return how many requests a stop must wait for, including those without a caller."""
        return self._in_flight + self._claimed.count_orphans()

    async def async_generate(
        self, request: GenerateRequest, sink: StreamSink
    ) -> Result[GenerateEnd, Refusal]:
        """Run one inference request; streamed chunks go to `sink`."""
        run = self._async_generate(request, sink)
        return await self._async_guard(request.identity, request.request_id, run)

    async def async_call(self, request: ServiceRequest) -> Result[Outcome, Refusal]:
        """Run one call of a plain service."""
        run = self._async_call(request)
        return await self._async_guard(request.identity, request.request_id, run)

    async def _async_guard(
        self, identity: Identity, request_id: str, run: Awaitable[Result[T, Refusal]]
    ) -> Result[T, Refusal]:
        """Run while the key is valid; withdrawing the key ends the request at once."""
        task = asyncio.ensure_future(run)

        def cancel() -> None:
            self._withdrawn_runs.add(request_id)
            claimed_run = self._generation_runs.get(request_id)
            if claimed_run is not None:
                claimed_run.cancel()
            task.cancel()

        unwatch = self._keys.watch(identity.key_hash, cancel)
        self._count(1)
        began = self._clock.now()
        try:
            outcome = await task
            self._record(request_id, outcome, self._clock.now() - began)
            return outcome
        except asyncio.CancelledError:
            if request_id not in self._withdrawn_runs:
                raise
            return Err(Refusal("the key was withdrawn", RefusalCode.KEY_WITHDRAWN, 401, False))
        finally:
            self._withdrawn_runs.discard(request_id)
            unwatch()
            self._count(-1)

    def _record(self, request_id: str, outcome: Result[T, Refusal], taken_ms: int) -> None:
        if isinstance(outcome, Err):
            error = outcome.err_value
            self._statistics.count(f"online.refused.{error.code}")
            choice, reason, not_run = "refused", f"{error.code}: {error.message}", error.not_run
        else:
            self._statistics.record_ms("online.answered_ms", taken_ms)
            choice, reason, not_run = "answered", "the answer is whole", False
        self._journal.record(
            Subject.REQUEST, request_id, choice, reason, taken_ms=taken_ms, not_run=not_run
        )

    def _count(self, change: int) -> None:
        self._in_flight += change
        self._meter.update(self._in_flight)

    async def _async_admit(
        self, identity: Identity, idempotency_key: str, deadline_at: Millis
    ) -> Result[None, Refusal]:
        shutdown = self._blackboard.find(SHUTDOWN) or Shutdown()
        if not shutdown.lets_finish(deadline_at, self._clock.now()):
            # Refused at once, while the caller still has time to try another VM.
            message = "this VM stops before the answer would be complete"
            refusal = Refusal(message, RefusalCode.NOT_READY, 503, True, MIN_RETRY_MS)
            return Err(clear_not_run(refusal) if idempotency_key else refusal)
        admitted = await self._limits.async_admit(identity.customer, deadline_at)
        if isinstance(admitted, Ok):
            return Ok(None)
        error = admitted.err_value
        code = RefusalCode.RATE_LIMITED
        refusal = Refusal(error.message, code, 429, True, error.retry_after_ms)
        return Err(clear_not_run(refusal) if idempotency_key else refusal)

    async def _async_generate(
        self, request: GenerateRequest, sink: StreamSink
    ) -> Result[GenerateEnd, Refusal]:
        begun_at = self._clock.now()
        deadline_at = Millis(begun_at + request.deadline_ms)
        admitted = await self._async_admit(request.identity, request.idempotency_key, deadline_at)
        if isinstance(admitted, Err):
            return admitted
        recorder = StreamRecorder(sink, self._clock)
        if request.idempotency_key:
            ended = await self._async_generate_claimed(request, recorder, sink, deadline_at)
        else:
            ended = await self._generations.async_run(request, recorder, deadline_at)
        customer = request.identity.customer.name
        self._levels.observe(customer, begun_at, recorder.first_token_at, ended)
        return ended

    async def _async_generate_claimed(
        self,
        request: GenerateRequest,
        recorder: StreamRecorder,
        sink: StreamSink,
        deadline_at: Millis,
    ) -> Result[GenerateEnd, Refusal]:
        async def async_run() -> Result[Outcome, Refusal]:
            task = asyncio.current_task()
            assert task is not None
            self._generation_runs[request.request_id] = task
            try:
                ended = await self._generations.async_run(request, recorder, deadline_at)
                return _make_outcome(request, recorder, ended)
            finally:
                del self._generation_runs[request.request_id]

        claim = ClaimRequest(
            customer=request.identity.customer.name,
            key=request.idempotency_key,
            fingerprint=make_request_fingerprint("POST", request.path, request.body),
            request_id=request.request_id,
            repeatable=True,
        )
        outcome = await self._claimed.async_run(claim, async_run, deadline_at)
        if isinstance(outcome, Err):
            return outcome
        return await _async_replay(request, recorder, sink, outcome.ok_value)

    async def _async_call(self, request: ServiceRequest) -> Result[Outcome, Refusal]:
        deadline_at = Millis(self._clock.now() + request.deadline_ms)
        admitted = await self._async_admit(request.identity, request.idempotency_key, deadline_at)
        if isinstance(admitted, Err):
            return admitted
        if request.repeatable and not request.idempotency_key:
            return await self._calls.async_run(request, deadline_at)
        claim = ClaimRequest(
            customer=request.identity.customer.name,
            key=request.idempotency_key or request.request_id,
            fingerprint=make_request_fingerprint(
                request.method, f"{request.service}{request.path}", request.body
            ),
            request_id=request.request_id,
            repeatable=request.repeatable,
        )
        return await self._claimed.async_run(
            claim, lambda: self._calls.async_run(request, deadline_at), deadline_at
        )


def _make_outcome(
    request: GenerateRequest, recorder: StreamRecorder, ended: Result[GenerateEnd, Refusal]
) -> Result[Outcome, Refusal]:
    if isinstance(ended, Err):
        return ended
    if request.stream:
        return Ok(Outcome(200, CONTENT_EVENTS, recorder.read_data()))
    return Ok(Outcome(200, CONTENT_JSON, ended.ok_value.body))


async def _async_replay(
    request: GenerateRequest, recorder: StreamRecorder, sink: StreamSink, outcome: Outcome
) -> Result[GenerateEnd, Refusal]:
    """Send the outcome to the caller, unless its own run has already streamed it."""
    if not request.stream:
        return Ok(GenerateEnd(outcome.body, 0, -1))
    if not recorder.first_token_seen:
        tokens = outcome.body.count(b"\n\n")
        await sink.async_accept(StreamChunk(outcome.body, tokens, tokens - 1))
    return Ok(GenerateEnd(b"", 0, recorder.last_index))


ONLINE: Final = ComponentKey[OnlineService]("online")
