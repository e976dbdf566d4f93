"""How customers fared against their objectives, and how fast error budgets burn."""

from goldcreststair.components.service_level.protocols import SERVICE_LEVELS
from goldcreststair.components.service_level.service import ServiceLevels
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up recording here and keeping of the customers whose partition this VM owns."""
    levels = ServiceLevels(core)
    core.offer(SERVICE_LEVELS, levels)
    return levels
