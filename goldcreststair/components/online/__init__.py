"""Runs online requests, from admission to the complete response."""

from goldcreststair.components.online.service import ONLINE, OnlineService
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Create the online service and offer it to other components."""
    service = OnlineService(core)
    core.offer(ONLINE, service)
    return service
