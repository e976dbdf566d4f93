"""Evacuation of data centres: their upstreams get no new work until operators end it."""

from goldcreststair.components.evacuation.service import EvacuationService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the evacuation component."""
    return EvacuationService(core)
