"""Which upstream runs a request, and which request is sent away."""

from goldcreststair.components.placement.service import PLACEMENT, PlacementService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up placement."""
    service = PlacementService(core)
    core.offer(PLACEMENT, service)
    return service
