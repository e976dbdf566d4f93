"""Which upstream runs a request."""

from goldcreststair.components.routing.controller import LeastInFlightRouter
from goldcreststair.components.routing.protocols import ROUTER
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the router."""
    router = LeastInFlightRouter(core)
    core.offer(ROUTER, router)
    return router
