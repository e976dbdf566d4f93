"""Links to the other daemons."""

from goldcreststair.components.peers.protocols import ENDPOINT_LINKS, PEERS
from goldcreststair.components.peers.service import PeerService
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the links and bind the peer port."""
    service = PeerService(core)
    core.offer(PEERS, service)
    core.offer(ENDPOINT_LINKS, service)
    await service.async_listen()
    return service
