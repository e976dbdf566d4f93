"""Rates and bursts that hold over all VMs together."""

from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.limits.controller import LocalLimits
from goldcreststair.components.limits.fleet import FleetLimits
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.components.membership.models import MEMBERS
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the limits; without peers, ledger and members they hold on this VM alone."""
    limits: FleetLimits | LocalLimits
    try:
        core.get(PEERS), core.get(LEDGER), core.blackboard.read(MEMBERS)
        limits = FleetLimits(core)
    except KeyError:
        limits = LocalLimits(core)
    core.offer(LIMITS, limits)
    return limits
