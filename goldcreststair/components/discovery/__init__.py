"""Discovery of the upstreams that may get work."""

from goldcreststair.components.discovery.protocols import UPSTREAM_LIST
from goldcreststair.components.discovery.service import DiscoveryService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the discovery component."""
    service = DiscoveryService(core)
    core.offer(UPSTREAM_LIST, service)
    return service
