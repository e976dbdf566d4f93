"""The metrics endpoint, with gauges read from the blackboard."""

from goldcreststair.components.metrics.service import MetricsService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Create the metrics service."""
    return MetricsService(core)
