"""Limits each customer's request rate and burst across all gateway daemons."""

from goldcreststair.components.quotas.service import QUOTAS, QuotaService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the quota component."""
    service = QuotaService(core)
    core.offer(QUOTAS, service)
    return service
