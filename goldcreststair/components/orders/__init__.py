"""Orders to engines: models, versions, adapters and roles as the configuration wants them."""

from goldcreststair.components.orders.service import OrderService
from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the service."""
    return OrderService(core)
