"""Moves running streams from departing upstreams to others, transparently to callers."""

import asyncio
import logging
from collections.abc import Coroutine
from dataclasses import dataclass, field
from typing import Any

import orjson
from result import Err, Result

from goldcreststair.clock import Millis, TimerHandle
from goldcreststair.components.online.const import (
    BYTES_PER_TOKEN,
    KV_MOVE_TIMEOUT_MS,
    MOVE_TICK_MS,
)
from goldcreststair.components.online.departures import (
    MoveMethod,
    StreamState,
    choose_move_method,
    choose_streams_to_move,
)
from goldcreststair.components.online.models import GenerateRequest
from goldcreststair.components.online.stream import StreamRecorder
from goldcreststair.components.routing.protocols import ROUTER, RouteQuery
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import Core
from goldcreststair.journal import Subject
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.models import GenerateEnd, Upstream

_LOGGER = logging.getLogger(__name__)

Attempt = Coroutine[Any, Any, Result[GenerateEnd, UpstreamError]]


@dataclass(eq=False, slots=True)
class MovableStream:
    """A streamed run at one upstream that can be moved to another."""

    upstream: Upstream
    request: GenerateRequest
    recorder: StreamRecorder
    accept_lock: asyncio.Lock
    """Held while a chunk is forwarded to the caller."""
    handover: "asyncio.Future[str]" = field(
        default_factory=lambda: asyncio.get_running_loop().create_future()
    )
    """Resolved when the run has to end here: name of the upstream with its KV state, or empty."""
    moving: bool = False
    _max_tokens: int | None = None

    @property
    def context_tokens(self) -> int:
        """Tokens of prompt and response; those of the prompt are estimated from the body size."""
        return len(self.request.body) // BYTES_PER_TOKEN + self.recorder.last_index + 1

    def read_max_tokens(self) -> int:
        """Return the token limit that the caller set for the response, or 0."""
        if self._max_tokens is None:
            fields = orjson.loads(self.request.body)
            limit = fields.get("max_tokens") or fields.get("max_completion_tokens")
            self._max_tokens = limit if isinstance(limit, int) else 0
        return self._max_tokens


class StreamMover:
    """Tracks streamed runs and ends them early when their upstream departs."""

    def __init__(self, core: Core) -> None:
        """Look up the components that are set up earlier."""
        self._clock = core.clock
        self._journal = core.journal
        self._statistics = core.statistics
        self._engines = core.upstreams.engines
        self._router = core.get(ROUTER)
        self._streams: dict[str, dict[str, MovableStream]] = {}
        """By upstream and request id."""
        self._moves: set[asyncio.Task[None]] = set()
        self._timer: TimerHandle | None = None

    async def async_close(self) -> None:
        """Cancel the timer and all moves in progress."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for task in tuple(self._moves):
            task.cancel()
        await asyncio.gather(*self._moves, return_exceptions=True)

    async def async_run(
        self, stream: MovableStream, attempt: Attempt
    ) -> Result[GenerateEnd, UpstreamError]:
        """Run one attempt and return its result; `MOVED` if it has to continue elsewhere."""
        task = asyncio.ensure_future(attempt)
        at_upstream = self._streams.setdefault(stream.upstream.name, {})
        at_upstream[stream.request.request_id] = stream
        self._arm()
        try:
            awaited: set[asyncio.Future[Any]] = {task, stream.handover}
            await asyncio.wait(awaited, return_when=asyncio.FIRST_COMPLETED)
            if not task.done():
                await self._async_stop(stream, task)
            if not task.cancelled():
                return task.result()
            message = f"{stream.upstream.name} departs"
            return Err(UpstreamError(message, UpstreamFailure.MOVED))
        finally:
            del at_upstream[stream.request.request_id]
            task.cancel()
            stream.handover.cancel()

    async def _async_stop(
        self, stream: MovableStream, task: "asyncio.Task[Result[GenerateEnd, UpstreamError]]"
    ) -> None:
        # A chunk counted as forwarded must reach the caller, or its words would be missing. While
        # the lock is held no chunk is being forwarded; one that waits for it is not counted yet.
        async with stream.accept_lock:
            task.cancel()
        await asyncio.wait({task})

    def _arm(self) -> None:
        if self._timer is None:
            self._timer = self._clock.call_later(MOVE_TICK_MS, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._streams = {name: streams for name, streams in self._streams.items() if streams}
        departing = self._find_departing()
        by_id = {stream.request.request_id: stream for stream, _ in departing}
        states = [self._describe(stream, at) for stream, at in departing]
        for chosen in choose_streams_to_move(states, len(self._moves), self._clock.now()):
            stream = by_id[chosen.request_id]
            stream.moving = True
            task = asyncio.ensure_future(self._async_move(stream))
            self._moves.add(task)
            task.add_done_callback(self._moves.discard)
        if self._streams:
            self._arm()

    def _find_departing(self) -> list[tuple[MovableStream, Millis]]:
        found = []
        for streams in self._streams.values():
            upstream = next(iter(streams.values())).upstream
            departure_at = self._router.find_departure(upstream)
            if departure_at is not None:
                found += [(s, departure_at) for s in streams.values() if not s.moving]
        return found

    def _describe(self, stream: MovableStream, departure_at: Millis) -> StreamState:
        first_at = stream.recorder.first_token_at
        return StreamState(
            request_id=stream.request.request_id,
            departure_at=departure_at,
            produced=stream.recorder.last_index + 1,
            max_tokens=stream.read_max_tokens(),
            streaming_ms=0 if first_at is None else self._clock.now() - first_at,
        )

    async def _async_move(self, stream: MovableStream) -> None:
        try:
            await self._async_prepare(stream)
        finally:
            stream.moving = False

    async def _async_prepare(self, stream: MovableStream) -> None:
        """Prepare another upstream while the run continues, then end the run here."""
        query = RouteQuery(
            model=stream.request.model,
            prefix=stream.request.prefix,
            excluded=frozenset({stream.upstream.name}),
            admitted=True,
            software_version=stream.recorder.software_version,
        )
        target = self._router.choose(query)
        if isinstance(target, Err) or stream.handover.done():
            return
        method = choose_move_method(stream.context_tokens)
        holder = ""
        if method is MoveMethod.KV and await self._async_transfer(stream, target.ok_value):
            holder = target.ok_value.name
        self._statistics.count(f"online.moves.{'kv' if holder else 'prefill'}")
        self._journal.record(
            Subject.REQUEST,
            stream.request.request_id,
            "move",
            f"{stream.upstream.name} departs",
            method=method,
            holder=holder,
            context_tokens=stream.context_tokens,
        )
        if not stream.handover.done():
            stream.handover.set_result(holder)

    async def _async_transfer(self, stream: MovableStream, target: Upstream) -> bool:
        """Transfer the KV state within `KV_MOVE_TIMEOUT_MS`; returns whether it arrived."""
        request_id = stream.request.request_id
        try:
            # A departing engine may stop or become too slow at any moment. Without its state the
            # stream can still continue elsewhere from the text so far.
            async with asyncio.timeout(KV_MOVE_TIMEOUT_MS / MS_PER_SECOND):
                exported = await self._engines.async_export_kv(stream.upstream, request_id)
                if isinstance(exported, Err):
                    return False
                state = exported.ok_value
                imported = await self._engines.async_import_kv(target, request_id, state)
                return not isinstance(imported, Err)
        except TimeoutError:
            return False
