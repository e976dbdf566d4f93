"""Tracks which gateway daemons are alive and carries the messages between them."""

from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.components.fleet.service import FleetService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the links between daemons."""
    service = FleetService(core)
    core.offer(FLEET_LINKS, service)
    return service
