"""Ejects upstreams that fail more often than the others of their service."""

from goldcreststair.components.outliers.protocols import OUTLIERS
from goldcreststair.components.outliers.service import OutlierService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the outliers component."""
    service = OutlierService(core)
    core.offer(OUTLIERS, service)
    return service
