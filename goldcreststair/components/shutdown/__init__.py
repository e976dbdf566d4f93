"""Graceful shutdown: leave the fleet without cutting a request."""

from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the shutdown."""
    # Imported here, as other components import this package's models while they are imported.
    from goldcreststair.components.shutdown.models import SHUTDOWN_SERVICE
    from goldcreststair.components.shutdown.service import ShutdownService

    service = ShutdownService(core)
    core.offer(SHUTDOWN_SERVICE, service)
    return service
