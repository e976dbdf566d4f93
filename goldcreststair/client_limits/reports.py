"""Reports of closed connections to statsd."""

from goldcreststair.client_limits.models import CloseCause
from goldcreststair.statistics import Statistics


class StatisticsReporter:
    """Implements `ClientReporter` by counters of statsd."""

    def __init__(self, statistics: Statistics) -> None:
        """Count with `statistics`."""
        self._statistics = statistics

    def count_closed_client(self, cause: CloseCause) -> None:
        """Count a connection that was closed to stay within the limits."""
        self._statistics.count(f"client_connections_closed.{cause.value}")
