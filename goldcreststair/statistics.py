"""Counters and timings on their way to statsd."""

from typing import Protocol

from statsd import StatsClient

PREFIX = "goldcreststair"


class Statistics(Protocol):
    """Where measurements go; never raises and never waits."""

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""

    def record_ms(self, name: str, value_ms: float) -> None:
        """Record one duration in milliseconds."""

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NullStatistics:
    """Drops every measurement."""

    def count(self, name: str, value: int = 1) -> None:
        """Drop a count."""

    def record_ms(self, name: str, value_ms: float) -> None:
        """Drop a duration."""

    def set_gauge(self, name: str, value: float) -> None:
        """Drop a gauge."""


class StatsdStatistics:
    """Sends every measurement to statsd over UDP."""

    def __init__(self, host: str, port: int) -> None:
        """Open the socket; nothing is sent yet."""
        self._client = StatsClient(host, port, prefix=PREFIX)

    def count(self, name: str, value: int = 1) -> None:
        """Send a count."""
        self._client.incr(name, value)

    def record_ms(self, name: str, value_ms: float) -> None:
        """Send a duration."""
        self._client.timing(name, value_ms)

    def set_gauge(self, name: str, value: float) -> None:
        """Send a gauge."""
        self._client.gauge(name, value)


def create_statistics(address: str) -> Statistics:
    """Return a client for `HOST:PORT`, or one that drops all for an empty address."""
    if not address:
        return NullStatistics()
    host, _, port = address.rpartition(":")
    return StatsdStatistics(host, int(port))
