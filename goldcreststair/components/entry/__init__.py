"""Address lookup for callers, readiness of this daemon, and its graceful shutdown."""

from goldcreststair.components.entry.service import ENTRY, EntryService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the entry component."""
    service = EntryService(core)
    core.offer(ENTRY, service)
    return service
