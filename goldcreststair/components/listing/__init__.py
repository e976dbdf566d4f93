"""Polls the platform's list of VMs on a few VMs at a time, and shares which VMs are leaving."""

from goldcreststair.components.listing.service import ListWatcher
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the listing component."""
    return ListWatcher(core)
