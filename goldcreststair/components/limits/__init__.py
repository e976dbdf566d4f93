"""Rate limits of customers, enforced over all VMs together."""

import logging

from goldcreststair.components.ledger.protocols import LEDGER
from goldcreststair.components.limits.controller import LocalLimits
from goldcreststair.components.limits.fleet import FleetLimits
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.components.membership.models import MEMBERS
from goldcreststair.components.peers.protocols import PEERS
from goldcreststair.core import Component, Core

_LOGGER = logging.getLogger(__name__)


async def async_setup(core: Core) -> Component:
    """Set up the limits; without peers, ledger and members each VM enforces them by itself."""
    limits: FleetLimits | LocalLimits
    if _has_fleet(core):
        limits = FleetLimits(core)
    else:
        _LOGGER.warning("Limits are enforced on this VM only: no peers, ledger or members")
        limits = LocalLimits(core)
    core.offer(LIMITS, limits)
    return limits


def _has_fleet(core: Core) -> bool:
    try:
        core.get(PEERS)
        core.get(LEDGER)
        core.blackboard.read(MEMBERS)
    except KeyError:
        return False
    return True
