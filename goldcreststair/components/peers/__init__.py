"""Links to the other daemons."""

from goldcreststair.components.peers.protocols import PEER_REACH, PEERS
from goldcreststair.components.peers.service import PeerService
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the links and bind the peer port."""
    service = PeerService(core)
    core.offer(PEERS, service)
    core.offer(PEER_REACH, service)
    await service.async_listen()
    return service
