"""Desired state of an engine by the configuration, and its reported state."""

from goldcreststair.components.configuration.models import Configuration
from goldcreststair.components.orders.const import EPOCH_BITS
from goldcreststair.components.orders.models import EngineState
from goldcreststair.upstreams.models import LoadReport, Upstream


def make_fencing(partitions: int, epoch: int) -> int:
    """Return the fencing number of a partition's owner.

    When the number of partitions grows, an upstream may move to a partition with a lower epoch,
    and engines would refuse all orders of its new owner. The number of partitions never shrinks,
    so in the bits above the epoch it makes the numbers of later owners greater.

    >>> make_fencing(64, 900) < make_fencing(128, 1)
    True
    """
    return (partitions << EPOCH_BITS) + epoch


def make_desired_state(configuration: Configuration, upstream: Upstream) -> EngineState:
    """Return what an engine should serve."""
    versions = configuration.models
    return EngineState(
        models=frozenset(upstream.models),
        adapters=frozenset(upstream.adapters),
        versions={model: versions[model] for model in upstream.models if model in versions},
        role=upstream.role,
    )


def read_reported_state(report: LoadReport) -> EngineState:
    """Return what an engine serves by its own load report, which lags."""
    return EngineState(
        models=frozenset(report.models),
        adapters=frozenset(report.adapters),
        versions=report.versions,
        role=report.role,
    )
