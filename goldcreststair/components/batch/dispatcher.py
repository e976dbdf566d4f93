"""Runs batch items at one upstream within its allowance, and yields."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Coroutine
from typing import Any, Final, Protocol

from result import Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.batch.allowance import AllowanceController
from goldcreststair.components.batch.const import LOT_ITEMS
from goldcreststair.components.batch.online_load import OnlineLoad
from goldcreststair.components.batch.onset import OnsetDetector
from goldcreststair.components.batch.outbox import Outbox
from goldcreststair.components.batch.streams import ItemStream
from goldcreststair.core import Core
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.models import GenerateEnd, Upstream
from goldcreststair.wire.generated.batch.ttypes import ItemResult, LotItem, LotRequest, Verdict

_LOGGER = logging.getLogger(__name__)

DRAIN_POLL_MS: Final = 50
BACK_OFF_MS: Final = 1000
"""Pause of an upstream that did not take an item, or crashed."""
CRASH_WINDOW_MS: Final = 1000
"""Streams lost so soon after a suspect's crash were bystanders of it."""

_FAILURES: Final = {
    UpstreamFailure.CONNECT: Verdict.NOT_RUN,
    UpstreamFailure.REFUSED: Verdict.NOT_RUN,
    UpstreamFailure.REJECTED: Verdict.REJECTED,
    UpstreamFailure.LOST: Verdict.CRASHED,
}


class LotSource(Protocol):
    """Where a dispatcher asks for items."""

    async def async_request(self, request: LotRequest) -> list[LotItem]:
        """Return items of a model, none if nobody has any."""


class UpstreamDispatcher:
    """All batch streams of one upstream."""

    def __init__(
        self,
        core: Core,
        upstream: Upstream,
        allowance: AllowanceController,
        source: LotSource,
        outbox: Outbox,
    ) -> None:
        """Start with nothing running."""
        self._core = core
        self.upstream = upstream
        self.allowance = allowance
        self._source = source
        self._outbox = outbox
        self.running: list[ItemStream] = []
        """In the order of their starts."""
        self.paused: list[ItemStream] = []
        self._online = OnlineLoad(core.clock)
        self._onset = OnsetDetector(core.clock)
        self.draining = False
        self._pulling = False
        self._may_pull = False
        self._suspect_turn = False
        self._blocked_until = Millis(0)
        self._suspect_lost_at: Millis | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_close(self) -> None:
        """Cancel all streams and give their items back."""
        for stream in tuple(self.running):
            self._pause(stream)
        self._give_back()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def async_drain(self, deadline_at: int) -> None:
        """Take nothing more; let streams end, and give back what has not by the deadline."""
        self.draining = True
        self._give_back()
        while self.running and self._core.clock.now() < deadline_at:
            await self._core.clock.async_sleep(DRAIN_POLL_MS)
        for stream in tuple(self.running):
            self._pause(stream)
        self._give_back()

    def _give_back(self) -> None:
        for stream in self.paused:
            self._report(stream.item, Verdict.NOT_RUN)
        self.paused.clear()

    def take_online(self, session: str, in_flight: int) -> None:
        """Make room for what a VM says that it has at the upstream."""
        told = self._online.apply_report(session, in_flight)
        self.allowance.observe_online(told)
        if self._onset.observe(told):
            self.allowance.begin_burst()
        self._enforce()

    def take_queue(self) -> None:
        """Yield at once: online work waits."""
        self.allowance.cut(len(self.running))
        self._enforce()

    def tick(self, *, pull: bool) -> None:
        """Follow the allowance up or down."""
        self.allowance.tick(len(self.running))
        self._enforce()
        if self._core.clock.now() < self._blocked_until:
            return
        # Nothing starts beside a suspect: a poison item among the new ones would crash the engine
        # in its place, and an innocent would be quarantined (14 of 200 beside four poison items).
        if self._is_proving():
            return
        self._may_pull = pull
        self._fill()

    def _fill(self) -> None:
        """Start what waits here, then ask for more."""
        while self.paused and len(self.running) < self._limit and not self._is_proving():
            self._start(self.paused.pop(0))
        self._pull()

    def _pull(self) -> None:
        """Ask for items if there is room and nothing forbids new ones."""
        if not self._may_pull or self._core.clock.now() < self._blocked_until:
            return
        if self.draining or self.paused or self._is_proving() or self._pulling:
            return
        if self._limit > len(self.running):
            self._pulling = True
            self._spawn(self._async_pull(self._limit - len(self.running)))

    def stop_chunk(self, chunk: str) -> None:
        """Cancel the streams of a chunk whose job was cancelled."""
        for stream in [s for s in self.running if s.item.chunk == chunk]:
            self._pause(stream)
        self.paused = [stream for stream in self.paused if stream.item.chunk != chunk]

    def list_held(self) -> dict[str, list[int]]:
        """Return the items this dispatcher works on, by chunk."""
        held: defaultdict[str, list[int]] = defaultdict(list)
        for stream in (*self.running, *self.paused):
            held[stream.item.chunk].append(stream.item.index)
        return held

    @property
    def _limit(self) -> int:
        return self.allowance.limit

    def _is_proving(self) -> bool:
        return any(stream.item.suspect for stream in self.running)

    def _enforce(self) -> None:
        # Youngest first: it has the least prefill and text to lose.
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

    async def _async_pull(self, free: int) -> None:
        found = False
        try:
            # Every other pull, so that suspects never hold the rest up.
            self._suspect_turn = not self._suspect_turn
            started = all(stream.last_index >= 0 for stream in self.running)
            suspect_wanted = self._suspect_turn and started
            for model in self.upstream.served_names:
                limit = min(free, LOT_ITEMS)
                request = LotRequest(model, limit, suspect_wanted)
                items = await self._source.async_request(request)
                for item in items:
                    if self.draining:
                        # Asked for before the VM began to leave.
                        self._report(item, Verdict.NOT_RUN)
                        continue
                    self._start(ItemStream(item, self._core.clock, self._core.clock.now()))
                found = found or bool(items)
                free -= len(items)
                if free <= 0 or self._is_proving():
                    return
        finally:
            self._pulling = False
            # Streams of one lot end together: the first end asks for one item only, and the
            # slots of the others would stand idle until the next tick.
            if found:
                self._pull()

    def _start(self, stream: ItemStream) -> None:
        self.running.append(stream)
        stream.on_first_token = self._observe_first_token
        stream.task = asyncio.ensure_future(self._async_run(stream))

    async def _async_run(self, stream: ItemStream) -> None:
        outcome = await self._async_follow(stream)
        if stream not in self.running:
            return
        verdict = self._judge(stream, outcome)
        self.running.remove(stream)
        if isinstance(outcome, Ok):
            self._report(stream.item, verdict, 200, stream.make_answer())
        else:
            error = outcome.err_value
            self._report(stream.item, verdict, error.status, error.body)
        if self._core.clock.now() >= self._blocked_until and not self._is_proving():
            self._fill()

    async def _async_follow(self, stream: ItemStream) -> Result[GenerateEnd, UpstreamError]:
        """Return how a run ended; a silent connection is opened anew and joins it."""
        stream.begin()
        while True:
            call = stream.make_call()
            outcome = await self._core.upstreams.engines.async_generate(self.upstream, call, stream)
            if isinstance(outcome, Ok) or outcome.err_value.failure is not UpstreamFailure.SILENT:
                return outcome
            # Shows as items failed that nothing is wrong with: an engine that is slow, or kept by
            # online work, is silent too, and each run given up for that counts as a try.
            if not stream.left_ms:
                return outcome

    def _observe_first_token(self, wait_ms: int) -> None:
        self.allowance.observe_first_token(wait_ms, len(self.running))
        self._enforce()

    def _judge(self, stream: ItemStream, outcome: Result[GenerateEnd, UpstreamError]) -> Verdict:
        if isinstance(outcome, Ok):
            return Verdict.DONE
        verdict = _FAILURES.get(outcome.err_value.failure, Verdict.FAILED)
        now = self._core.clock.now()
        if verdict in (Verdict.NOT_RUN, Verdict.CRASHED):
            self._blocked_until = Millis(now + BACK_OFF_MS)
        if verdict != Verdict.CRASHED:
            return verdict
        if stream.item.suspect:
            self._suspect_lost_at = now
            return Verdict.CRASHED
        # A crash beside a known suspect is held to be the suspect's: the others run again
        # without a mark, or one poison item would put every neighbour under suspicion each time.
        recent = self._suspect_lost_at is not None and now - self._suspect_lost_at < CRASH_WINDOW_MS
        return Verdict.BYSTANDER if recent or self._is_proving() else Verdict.CRASHED

    def _report(self, item: LotItem, verdict: Verdict, status: int = 0, body: bytes = b"") -> None:
        self._outbox.put(item.chunk, ItemResult(item.index, verdict, status, body))

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
