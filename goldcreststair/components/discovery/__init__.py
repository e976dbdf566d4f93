"""Discovery of the upstreams that may get work."""

from goldcreststair.components.discovery.service import DiscoveryService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the discovery component."""
    return DiscoveryService(core)
