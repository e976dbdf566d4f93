"""Data centres whose upstreams get no new work until operators allow it again."""

from goldcreststair.components.evacuation.service import EvacuationService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the follower."""
    return EvacuationService(core)
