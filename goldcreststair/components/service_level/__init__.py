"""Measures service levels of customers against their objectives, and error budget burn rates."""

from goldcreststair.components.service_level.protocols import SERVICE_LEVELS
from goldcreststair.components.service_level.service import ServiceLevels
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up recording on this VM, and the histories of customers whose partition it owns."""
    levels = ServiceLevels(core)
    core.offer(SERVICE_LEVELS, levels)
    return levels
