"""Rates and bursts of customers over all gateway daemons together."""

from goldcreststair.components.quotas.service import QUOTAS, QuotaService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the quotas."""
    service = QuotaService(core)
    core.offer(QUOTAS, service)
    return service
