"""Bounded buffers for callers that read slowly."""

from goldcreststair.components.reader_buffers.protocols import READER_BUFFERS
from goldcreststair.components.reader_buffers.service import ReaderBufferService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the reader buffers component."""
    service = ReaderBufferService(core)
    core.offer(READER_BUFFERS, service)
    return service
