"""Requests that wait for a slot, by rank and by fair shares of customers."""

from goldcreststair.components.waiting.protocols import WAITING
from goldcreststair.components.waiting.service import WaitingService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the waiting component."""
    service = WaitingService(core)
    core.offer(WAITING, service)
    return service
