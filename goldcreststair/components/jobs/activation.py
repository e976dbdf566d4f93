"""Tells for which jobs and services the feature `outage-jobs` is active."""

from goldcreststair.components.catalogue.models import CATALOGUE
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.jobs.registry import OwnedJob
from goldcreststair.features import Feature
from goldcreststair.gateway_core import GatewayCore


class OutageActivation:
    """Reads the feature's state for the services of a job's route."""

    def __init__(self, core: GatewayCore) -> None:
        """Read features and routes from `core`."""
        self._blackboard = core.blackboard
        self._features = core.get(FEATURES)

    def is_active(self, service: str) -> bool:
        """Return whether the feature is active for a service."""
        return self._features.is_active(Feature.OUTAGE_JOBS, service)

    def is_active_for(self, job: OwnedJob) -> bool:
        """Return whether the feature is active for a service of a job's route."""
        if not self._features.is_active_anywhere(Feature.OUTAGE_JOBS):
            return False
        catalogue = self._blackboard.read(CATALOGUE)
        route = catalogue.find_route(job.record.route_host, job.record.route_prefix)
        return route is not None and any(self.is_active(each.service) for each in route.services)
