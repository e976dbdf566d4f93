"""Graceful shutdown: leaves the fleet without interrupting a request."""

from goldcreststair.core import Component, Core


async def async_setup(core: Core) -> Component:
    """Set up the graceful shutdown."""
    # Imported here to avoid a cycle: other components import this package's models.
    from goldcreststair.components.shutdown.models import SHUTDOWN_SERVICE
    from goldcreststair.components.shutdown.service import ShutdownService

    service = ShutdownService(core)
    core.offer(SHUTDOWN_SERVICE, service)
    return service
