"""A shared feed of the rows that operators write to the store."""

from goldcreststair.components.operator_rows.service import OPERATOR_ROWS, OperatorRowsService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the shared feed."""
    service = OperatorRowsService(core)
    core.offer(OPERATOR_ROWS, service)
    return service
