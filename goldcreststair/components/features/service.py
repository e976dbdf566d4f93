"""Logs the features that the settings activate."""

import logging

from goldcreststair.components.features.controller import FeatureController
from goldcreststair.features import Feature

_LOGGER = logging.getLogger(__name__)


class FeatureService:
    """Logs the active features at the start."""

    def __init__(self, controller: FeatureController) -> None:
        """Store the controller."""
        self._controller = controller

    async def async_start(self) -> None:
        """Log the features that are active for all services."""
        names = [each.value for each in Feature if self._controller.is_active(each, "")]
        _LOGGER.info("Features active for all services", extra={"features": ",".join(names)})

    async def async_close(self) -> None:
        """Do nothing."""
