"""Rates and bursts that hold over all VMs together."""

from goldcreststair.components.limits.controller import LocalLimits
from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the limits."""
    limits = LocalLimits(core)
    core.offer(LIMITS, limits)
    return limits
