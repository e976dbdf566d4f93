"""Which addresses callers get, whether this daemon takes requests, and how it leaves."""

from goldcreststair.components.entry.service import ENTRY, EntryService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the entry."""
    service = EntryService(core)
    core.offer(ENTRY, service)
    return service
