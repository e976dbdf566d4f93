"""Orders that bring engines to their configured models, versions, adapters and roles."""

from goldcreststair.components.orders.service import OrderService
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the service; needs the ledger, the configuration and membership."""
    return OrderService(core)
