"""Optional features, and the services for which they are active."""

from goldcreststair.components.features.controller import FeatureController
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.features.service import FeatureService
from goldcreststair.core import Component
from goldcreststair.gateway_core import GatewayCore


async def async_setup(core: GatewayCore) -> Component:
    """Set up the features component."""
    settings = core.settings
    controller = FeatureController(settings.feature_set, settings.shared_feature_set)
    core.offer(FEATURES, controller)
    return FeatureService(controller)
