"""Sends counters, timings and gauges to statsd."""

from typing import Protocol

from statsd import StatsClient

PREFIX = "goldcreststair"


class Statistics(Protocol):
    """Receives measurements; never raises and never blocks."""

    def count(self, name: str, value: int = 1) -> None:
        """Add `value` to a counter."""

    def record_ms(self, name: str, value_ms: float) -> None:
        """Record one duration in milliseconds."""

    def set_gauge(self, name: str, value: float) -> None:
        """Set a gauge."""


class NullStatistics:
    """Discards every measurement."""

    def count(self, name: str, value: int = 1) -> None:
        """Discard a count."""

    def record_ms(self, name: str, value_ms: float) -> None:
        """Discard a duration."""

    def set_gauge(self, name: str, value: float) -> None:
        """Discard a gauge."""


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
    """Return a client for `HOST:PORT`, or one that discards everything if the address is empty."""
    if not address:
        return NullStatistics()
    host, _, port = address.rpartition(":")
    return StatsdStatistics(host, int(port))
