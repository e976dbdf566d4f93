"""Forwarding of requests whose bodies are not parsed, from admission to the complete answer."""

from goldcreststair.components.forwarding.protocols import FORWARDING
from goldcreststair.components.forwarding.service import ForwardingService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the forwarding component."""
    service = ForwardingService(core)
    core.offer(FORWARDING, service)
    return service
