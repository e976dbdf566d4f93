"""Interfaces of the upstream clients, implemented by the HTTP adapters and by in-process fakes."""

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
    """Receives the chunks of one streamed answer in order."""

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Process one chunk; returns when the next one may be sent (backpressure)."""


class EngineClient(Protocol):
    """Client for engines."""

    async def async_generate(
        self, upstream: Upstream, call: GenerateCall, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        """Run or resume one request; cancelling the coroutine closes the connection."""

    async def async_cancel(
        self, upstream: Upstream, request_id: str
    ) -> Result[None, UpstreamError]:
        """Stop a request; an unknown request is not an error."""

    async def async_read_load(self, upstream: Upstream) -> Result[LoadReport, UpstreamError]:
        """Return the engine's last load report."""

    async def async_read_cache_events(
        self, upstream: Upstream, after_sequence: int
    ) -> Result[tuple[CacheEvent, ...], UpstreamError]:
        """Return prefix-cache events after a sequence number; they may be late and have gaps."""

    async def async_send_order(
        self, upstream: Upstream, order: Order
    ) -> Result[None, UpstreamError]:
        """Send an order; returns `FENCED` if the engine has seen a newer fencing token."""

    async def async_export_kv(
        self, upstream: Upstream, request_id: str
    ) -> Result[bytes, UpstreamError]:
        """Return the KV state of a running request."""

    async def async_import_kv(
        self, upstream: Upstream, request_id: str, state: bytes
    ) -> Result[None, UpstreamError]:
        """Send the KV state of a request to an engine, to be resumed there."""


class ServiceClient(Protocol):
    """Client for plain services."""

    async def async_call(
        self, upstream: Upstream, call: ServiceCall
    ) -> Result[ServiceResponse, UpstreamError]:
        """Make one call and return the complete response."""


@dataclass(frozen=True, slots=True)
class UpstreamClients:
    """Clients for both kinds of upstream."""

    engines: EngineClient
    services: ServiceClient
