"""The metrics page, and the gauges that follow the blackboard."""

from goldcreststair.components.metrics.service import MetricsService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the page."""
    return MetricsService(core)
