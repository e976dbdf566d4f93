"""What is asked of upstreams; HTTP adapters and in-process fakes implement these."""

from dataclasses import dataclass
from typing import Protocol

from result import Result

from goldcreststair.upstreams.errors import UpstreamError
from goldcreststair.upstreams.models import (
    CacheEvent,
    GenerateCall,
    GenerateEnd,
    LoadReport,
    Order,
    ServiceCall,
    ServiceResponse,
    StreamChunk,
    Upstream,
)


class StreamSink(Protocol):
    """Takes the chunks of one streamed answer in order."""

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Take one chunk; returns when the next may come (backpressure)."""


class EngineClient(Protocol):
    """Calls to engines."""

    async def async_generate(
        self, upstream: Upstream, call: GenerateCall, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        """Run or resume one request; cancelling the coroutine closes the connection."""

    async def async_cancel(
        self, upstream: Upstream, request_id: str
    ) -> Result[None, UpstreamError]:
        """Stop a request; an unknown one is no error."""

    async def async_read_load(self, upstream: Upstream) -> Result[LoadReport, UpstreamError]:
        """Return the engine's last load report."""

    async def async_read_cache_events(
        self, upstream: Upstream, after_sequence: int
    ) -> Result[tuple[CacheEvent, ...], UpstreamError]:
        """Return prefix-cache events after a sequence number; late and with gaps."""

    async def async_send_order(
        self, upstream: Upstream, order: Order
    ) -> Result[None, UpstreamError]:
        """Give an order; `FENCED` if the engine has seen a newer fencing number."""

    async def async_export_kv(
        self, upstream: Upstream, request_id: str
    ) -> Result[bytes, UpstreamError]:
        """Return the KV state of a running request."""

    async def async_import_kv(
        self, upstream: Upstream, request_id: str, state: bytes
    ) -> Result[None, UpstreamError]:
        """Give an engine the KV state of a request, to be resumed there."""


class ServiceClient(Protocol):
    """Calls to plain services."""

    async def async_call(
        self, upstream: Upstream, call: ServiceCall
    ) -> Result[ServiceResponse, UpstreamError]:
        """Make one call and return the whole answer."""


@dataclass(frozen=True, slots=True)
class UpstreamClients:
    """Clients for both kinds of upstream."""

    engines: EngineClient
    services: ServiceClient
