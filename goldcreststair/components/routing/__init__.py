"""Chooses the upstream that runs a request."""

from goldcreststair.components.routing.controller import AffinityRouter
from goldcreststair.components.routing.poller import UpstreamPoller
from goldcreststair.components.routing.protocols import ROUTER
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Create the router and the poller that keeps it up to date."""
    router = AffinityRouter(core)
    core.offer(ROUTER, router)
    return UpstreamPoller(core, router)
