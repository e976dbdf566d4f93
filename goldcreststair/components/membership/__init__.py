"""Tracks which VMs are part of the fleet."""

from goldcreststair.components.membership.protocols import MEMBERSHIP, SHARED_SETS
from goldcreststair.components.membership.service import MembershipService
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up this VM's session, the watcher of other sessions and gossip."""
    service = MembershipService(core)
    core.offer(MEMBERSHIP, service)
    core.offer(SHARED_SETS, service.sets)
    return service
