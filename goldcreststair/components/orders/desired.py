"""What the configuration wants of an engine, and what the engine says of itself."""

from goldcreststair.components.configuration.models import Configuration
from goldcreststair.components.orders.const import EPOCH_BITS
from goldcreststair.components.orders.models import EngineState
from goldcreststair.upstreams.models import LoadReport, Upstream


def make_fencing(partitions: int, epoch: int) -> int:
    """Return the fencing number of a partition's owner.

    With more partitions an upstream may come into another one, whose epoch is lower: engines would
    refuse each order of the new steward for good. The number of partitions only grows, so above
    the epoch it makes every later owner's number the greater one.

    >>> make_fencing(64, 900) < make_fencing(128, 1)
    True
    """
    return (partitions << EPOCH_BITS) + epoch


def make_desired_state(configuration: Configuration, upstream: Upstream) -> EngineState:
    """Return what an engine shall serve."""
    versions = configuration.models
    return EngineState(
        models=frozenset(upstream.models),
        adapters=frozenset(upstream.adapters),
        versions={model: versions[model] for model in upstream.models if model in versions},
        role=upstream.role,
    )


def read_reported_state(report: LoadReport) -> EngineState:
    """Return what an engine serves by its own, lagged report."""
    return EngineState(
        models=frozenset(report.models),
        adapters=frozenset(report.adapters),
        versions=report.versions,
        role=report.role,
    )
