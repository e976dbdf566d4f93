"""Names of the optional features."""

from enum import StrEnum


class Feature(StrEnum):
    """An optional feature; inactive features leave every decision as it is without them."""

    UPSTREAM_PACE = "upstream-pace"
    """Placement by how long work takes at each upstream."""
    WAITING_QUEUE = "waiting-queue"
    """Requests wait for a slot in a queue ordered by priority and customer."""
    OUTLIER_EJECTION = "outlier-ejection"
    """Upstreams that fail more often than their peers get no requests for a while."""
    BUFFER_LIMITS = "buffer-limits"
    """Bytes held for slow readers are limited."""
    FLEET_RETURN = "fleet-return"
    """Requests are admitted gradually after a restart of the fleet."""
    OUTAGE_JOBS = "outage-jobs"
    """Jobs continue during an outage of the store, and their results are written in batches."""
