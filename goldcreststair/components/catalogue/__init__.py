"""The catalogue of routes, services and customers."""

from goldcreststair.components.catalogue.protocols import CATALOGUE_FOLLOWER
from goldcreststair.components.catalogue.service import CatalogueService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the catalogue component."""
    service = CatalogueService(core)
    core.offer(CATALOGUE_FOLLOWER, service)
    return service
