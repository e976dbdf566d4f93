"""How long work takes at each upstream, as upstreams report it or as runs show it."""

from goldcreststair.components.upstream_pace.protocols import UPSTREAM_PACE
from goldcreststair.components.upstream_pace.service import PaceService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the component for the pace of upstreams."""
    service = PaceService(core)
    core.offer(UPSTREAM_PACE, service)
    return service
