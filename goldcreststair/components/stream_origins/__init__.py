"""Which software began each stream, so that only upstreams of the same version continue it."""

from goldcreststair.components.stream_origins.protocols import STREAM_ORIGINS
from goldcreststair.components.stream_origins.service import StreamOriginsService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the component for the origins of streams."""
    service = StreamOriginsService(core)
    core.offer(STREAM_ORIGINS, service)
    return service
