"""Requests whose bodies are not read: from admission to the whole answer."""

from goldcreststair.components.forwarding.protocols import FORWARDING
from goldcreststair.components.forwarding.service import ForwardingService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up forwarding."""
    service = ForwardingService(core)
    core.offer(FORWARDING, service)
    return service
