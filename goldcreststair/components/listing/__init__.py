"""What the platform's list of VMs says, read by few and shared by all."""

from goldcreststair.components.listing.service import ListWatcher
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the watcher."""
    return ListWatcher(core)
