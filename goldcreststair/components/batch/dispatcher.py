"""Runs batch items at one upstream within its allowance and preempts them for online work."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Coroutine
from typing import Any, Final, Protocol

from result import Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.batch.allowance import AllowanceController
from goldcreststair.components.batch.const import ASSIGNMENT_ITEMS
from goldcreststair.components.batch.online_load import OnlineLoad
from goldcreststair.components.batch.onset import OnsetDetector
from goldcreststair.components.batch.outbox import Outbox
from goldcreststair.components.batch.streams import ItemStream
from goldcreststair.components.quarantine.parts import find_suspects
from goldcreststair.components.quarantine.protocols import QUARANTINE, UNKNOWN_PARTS, Parts
from goldcreststair.core import Core
from goldcreststair.helpers.crash_evidence import Suspects
from goldcreststair.helpers.refusals import PROMISE_STATUSES
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.models import GenerateEnd, Upstream
from goldcreststair.wire.generated.batch.ttypes import ItemResult, LotItem, LotRequest, Verdict

_LOGGER = logging.getLogger(__name__)

DRAIN_POLL_MS: Final = 50
BACKOFF_MS: Final = 1000
"""Pause after an upstream refused an item or crashed."""
CRASH_WINDOW_MS: Final = 1000
"""Streams lost within this time after a suspect's crash are attributed to that crash."""

_FAILURES: Final = {
    UpstreamFailure.CONNECT: Verdict.NOT_RUN,
    UpstreamFailure.REFUSED: Verdict.NOT_RUN,
    UpstreamFailure.REJECTED: Verdict.REJECTED,
    UpstreamFailure.LOST: Verdict.CRASHED,
}


def _classify_error(error: UpstreamError) -> Verdict:
    """Return what a failed run says about its item; an upstream that answers has not crashed."""
    if error.failure is not UpstreamFailure.LOST or not error.status:
        return _FAILURES.get(error.failure, Verdict.FAILED)
    # The upstream is overloaded, which says nothing about the item: it runs again later.
    return Verdict.NOT_RUN if error.status in PROMISE_STATUSES else Verdict.FAILED


class ItemSource(Protocol):
    """Source of items for a dispatcher."""

    async def async_request(self, request: LotRequest) -> list[LotItem]:
        """Return items of a model; empty if no owner has any."""


def _find_parts(core: Core) -> Parts:
    try:
        return core.get(QUARANTINE).parts
    except KeyError:
        return UNKNOWN_PARTS


class UpstreamDispatcher:
    """Starts, pauses and ends all batch streams of one upstream."""

    def __init__(
        self,
        core: Core,
        upstream: Upstream,
        allowance: AllowanceController,
        source: ItemSource,
        outbox: Outbox,
    ) -> None:
        """Create without any streams."""
        self._core = core
        self.upstream = upstream
        self.allowance = allowance
        self._source = source
        self._outbox = outbox
        self.running: list[ItemStream] = []
        """In order of start."""
        self.paused: list[ItemStream] = []
        self._online = OnlineLoad(core.clock)
        self._onset_detector = OnsetDetector(core.clock)
        self.draining = False
        self._requesting = False
        self._may_request = False
        self._suspect_turn = False
        self._blocked_until = Millis(0)
        self._suspect_lost_at: Millis | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._parts = _find_parts(core)
        self._parts.on_verdict(self._stop_refused)

    async def async_close(self) -> None:
        """Cancel all streams and return their items."""
        for stream in tuple(self.running):
            self._pause(stream)
        self._return_paused()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def async_drain(self, deadline_at: int) -> None:
        """Start nothing more; return the items of streams that have not ended by the deadline."""
        self.draining = True
        self._return_paused()
        while self.running and self._core.clock.now() < deadline_at:
            await self._core.clock.async_sleep(DRAIN_POLL_MS)
        for stream in tuple(self.running):
            self._pause(stream)
        self._return_paused()

    def _return_paused(self) -> None:
        for stream in self.paused:
            self._report(stream.item, Verdict.NOT_RUN)
        self.paused.clear()

    def apply_online(self, session: str, in_flight: int) -> None:
        """Apply a VM's report of its online requests at the upstream and preempt if needed."""
        online = self._online.apply_report(session, in_flight)
        self.allowance.observe_online(online)
        if self._onset_detector.observe(online):
            self.allowance.begin_burst()
        self._enforce()

    def preempt(self) -> None:
        """Preempt at once: online requests wait at the upstream."""
        self.allowance.cut(len(self.running))
        self._enforce()

    def tick(self, *, may_request: bool) -> None:
        """Adjust the running streams to the allowance; request items if allowed."""
        self.allowance.tick(len(self.running))
        self._enforce()
        if self._core.clock.now() < self._blocked_until:
            return
        # Nothing starts beside a suspect: if a new item crashed the engine, the crash would be
        # counted against the suspect (14 of 200 good items were quarantined beside 4 poison items).
        if self._is_suspect_running():
            return
        self._may_request = may_request
        self._fill()

    def _fill(self) -> None:
        """Start paused streams, then request more items."""
        while self.paused and len(self.running) < self._limit and not self._is_suspect_running():
            self._start(self.paused.pop(0))
        self._request_items()

    def _request_items(self) -> None:
        """Request items if the allowance has room and new items may start."""
        if not self._may_request or self._core.clock.now() < self._blocked_until:
            return
        if self.draining or self.paused or self._is_suspect_running() or self._requesting:
            return
        if self._limit > len(self.running):
            self._requesting = True
            self._spawn(self._async_request_items(self._limit - len(self.running)))

    def stop_chunk(self, chunk: str) -> None:
        """Cancel the streams of a chunk whose job was cancelled."""
        for stream in [s for s in self.running if s.item.chunk == chunk]:
            self._pause(stream)
        self.paused = [stream for stream in self.paused if stream.item.chunk != chunk]

    def list_items_by_chunk(self) -> dict[str, list[int]]:
        """Return the items this dispatcher works on, by chunk."""
        held: defaultdict[str, list[int]] = defaultdict(list)
        for stream in (*self.running, *self.paused):
            held[stream.item.chunk].append(stream.item.index)
        return held

    @property
    def _limit(self) -> int:
        return self.allowance.limit

    def _is_suspect_running(self) -> bool:
        return any(stream.item.suspect for stream in self.running)

    def _enforce(self) -> None:
        # The newest stream first: it loses the least prefill and text.
        while len(self.running) > self.allowance.bound:
            self._pause(self.running[-1])

    def _pause(self, stream: ItemStream) -> None:
        self.running.remove(stream)
        if stream.task is not None:
            stream.task.cancel()
        if self.draining:
            self._report(stream.item, Verdict.NOT_RUN)
        else:
            self.paused.append(stream)
        self._spawn(self._async_cancel(stream.item.request_id))

    async def _async_cancel(self, request_id: str) -> None:
        await self._core.upstreams.engines.async_cancel(self.upstream, request_id)

    async def _async_request_items(self, free: int) -> None:
        found = False
        try:
            # Only every other request, so that suspects never delay the other items.
            self._suspect_turn = not self._suspect_turn
            started = all(stream.last_index >= 0 for stream in self.running)
            suspect_wanted = self._suspect_turn and started
            for model in self.upstream.served_names:
                limit = min(free, ASSIGNMENT_ITEMS)
                request = LotRequest(model, limit, suspect_wanted)
                items = await self._source.async_request(request)
                for item in items:
                    if self.draining:
                        # Requested before the drain began.
                        self._report(item, Verdict.NOT_RUN)
                        continue
                    self._start(ItemStream(item, self._core.clock, self._core.clock.now()))
                found = found or bool(items)
                free -= len(items)
                if free <= 0 or self._is_suspect_running():
                    return
        finally:
            self._requesting = False
            # Streams of one assignment end together. The first end requests one item only, and
            # without another request the other slots would be idle until the next tick.
            if found:
                self._request_items()

    def _start(self, stream: ItemStream) -> None:
        if self._parts.is_refused(self._find_suspects(stream)):
            # Its owner has ended it, or will as soon as it knows the verdict.
            self._report(stream.item, Verdict.NOT_RUN)
            return
        self.running.append(stream)
        stream.on_first_token = self._observe_first_token
        stream.task = asyncio.ensure_future(self._async_run(stream))

    async def _async_run(self, stream: ItemStream) -> None:
        outcome = await self._async_generate(stream)
        if stream not in self.running:
            return
        verdict = self._classify(stream, outcome)
        self.running.remove(stream)
        if isinstance(outcome, Ok):
            self._report(stream.item, verdict, 200, stream.make_answer())
        else:
            error = outcome.err_value
            self._report(stream.item, verdict, error.status, error.body)
        if self._core.clock.now() >= self._blocked_until and not self._is_suspect_running():
            self._fill()

    async def _async_generate(self, stream: ItemStream) -> Result[GenerateEnd, UpstreamError]:
        """Return how a run ended; after a silent connection, reconnect to the same run."""
        stream.begin()
        while True:
            call = stream.make_call()
            outcome = await self._core.upstreams.engines.async_generate(self.upstream, call, stream)
            failure = None if isinstance(outcome, Ok) else outcome.err_value.failure
            if failure is UpstreamFailure.OTHER_SOFTWARE:
                # The run that was just begun continues text of the other version, so it must not be joined.
                await self._async_cancel(stream.item.request_id)
                stream.start_over()
            elif failure is not UpstreamFailure.SILENT:
                return outcome
            # A slow engine, or one busy with online work, is silent too. Each run given up for that
            # counts as a try, and good items would end as failed.
            if not stream.left_ms:
                return outcome

    def _stop_refused(self) -> None:
        """Stop the items that a new verdict refuses, before they crash this upstream."""
        for stream in [s for s in self.running if self._parts.is_refused(self._find_suspects(s))]:
            self._pause(stream)
        refused = [s for s in self.paused if self._parts.is_refused(self._find_suspects(s))]
        for stream in refused:
            self.paused.remove(stream)
            self._report(stream.item, Verdict.NOT_RUN)

    def _find_suspects(self, stream: ItemStream) -> Suspects:
        # The fingerprint needs the customer, which only the owner of the item knows.
        return find_suspects("", stream.item.body)

    def _observe_first_token(self, wait_ms: int) -> None:
        self.allowance.observe_first_token(wait_ms, len(self.running))
        self._enforce()

    def _classify(self, stream: ItemStream, outcome: Result[GenerateEnd, UpstreamError]) -> Verdict:
        if isinstance(outcome, Ok):
            self._parts.report_answer(self._find_suspects(stream))
            return Verdict.DONE
        error, now = outcome.err_value, self._core.clock.now()
        if error.failure is UpstreamFailure.LOST and not error.status:
            suspects = self._find_suspects(stream)
            self._parts.report_lost(self.upstream.name, suspects, wrote_ms=stream.wrote_ms)
        verdict = _classify_error(error)
        if verdict == Verdict.NOT_RUN or error.failure is UpstreamFailure.LOST:
            self._blocked_until = Millis(now + BACKOFF_MS)
        if verdict != Verdict.CRASHED:
            return verdict
        if stream.item.suspect:
            self._suspect_lost_at = now
            return Verdict.CRASHED
        # A crash beside a known suspect is attributed to the suspect; the other items run again
        # unmarked, or one poison item would make all items beside it suspects at each crash.
        recent = self._suspect_lost_at is not None and now - self._suspect_lost_at < CRASH_WINDOW_MS
        return Verdict.BYSTANDER if recent or self._is_suspect_running() else Verdict.CRASHED

    def _report(self, item: LotItem, verdict: Verdict, status: int = 0, body: bytes = b"") -> None:
        self._outbox.put(item.chunk, ItemResult(item.index, verdict, status, body))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
