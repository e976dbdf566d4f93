"""In-process upstreams whose silent connections time out as over HTTP."""

import asyncio

from result import Err, Result

from goldcreststair.const import MS_PER_SECOND
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.http_engine import IDLE_TIMEOUT_MS
from goldcreststair.upstreams.models import GenerateCall, GenerateEnd, StreamChunk, Upstream
from goldcreststair.upstreams.protocols import StreamSink
from standins.engine.client import FakeUpstreams


class _CountingSink:
    def __init__(self, sink: StreamSink) -> None:
        self.chunks = 0
        self._sink = sink

    async def async_accept(self, chunk: StreamChunk) -> None:
        self.chunks += 1
        await self._sink.async_accept(chunk)


class IdleUpstreams(FakeUpstreams):
    """Ends a connection that receives nothing for the idle time-out, as over HTTP."""

    async def async_generate(
        self, upstream: Upstream, call: GenerateCall, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        counting = _CountingSink(sink)
        running = asyncio.ensure_future(super().async_generate(upstream, call, counting))
        try:
            while not running.done():
                seen = counting.chunks
                await asyncio.wait({running}, timeout=IDLE_TIMEOUT_MS / MS_PER_SECOND)
                if not running.done() and counting.chunks == seen:
                    return Err(UpstreamError("no progress", UpstreamFailure.SILENT))
            return running.result()
        finally:
            running.cancel()
