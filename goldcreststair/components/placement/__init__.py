"""Chooses the upstream for each request, and refuses requests under overload."""

from goldcreststair.components.placement.service import PLACEMENT, PlacementService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the placement component."""
    service = PlacementService(core)
    core.offer(PLACEMENT, service)
    return service
