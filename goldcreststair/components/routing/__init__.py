"""Which upstream runs a request."""

from goldcreststair.components.routing.controller import AffinityRouter
from goldcreststair.components.routing.poller import UpstreamPoller
from goldcreststair.components.routing.protocols import ROUTER
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the router and what feeds it."""
    router = AffinityRouter(core)
    core.offer(ROUTER, router)
    return UpstreamPoller(core, router)
