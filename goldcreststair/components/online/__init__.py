"""Online requests from admission to the whole answer."""

from goldcreststair.components.online.service import ONLINE, OnlineService
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the service."""
    service = OnlineService(core)
    core.offer(ONLINE, service)
    return service
