"""What a gateway daemon counts and times, for its metrics page and for statsd.

The number of series is bounded: labels are kinds, outcomes and codes, never customers or ids.
"""

from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.openmetrics.exposition import CONTENT_TYPE_LATEST, generate_latest

from goldcreststair.const import MS_PER_SECOND
from goldcreststair.statistics import NullStatistics, Statistics

PREFIX: Final = "goldcreststair"
SECONDS: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0)
"""Bounds of times that callers wait; 0.3 s is the objective of the first event in use today."""
SHORT_SECONDS: Final = (0.001, 0.002, 0.005, 0.01, 0.025, 0.1, 0.5, 2.0)
"""Bounds of calls of the store and of pauses of the loop."""
CONTENT_TYPE: Final = CONTENT_TYPE_LATEST


class Meters:
    """All counters, gauges and histograms of one daemon."""

    def __init__(self, statistics: Statistics | None = None) -> None:
        """Start at zero; counts go to `statistics` as well."""
        self._statistics = statistics or NullStatistics()
        registry = CollectorRegistry()
        self._registry = registry
        self._requests = Counter(
            f"{PREFIX}_requests",
            "Requests by route kind and outcome.",
            ["kind", "outcome"],
            registry=registry,
        )
        self._first = Histogram(
            f"{PREFIX}_first_event_seconds",
            "From a request's arrival to its first event.",
            ["kind"],
            buckets=SECONDS,
            registry=registry,
        )
        self._expected = Histogram(
            f"{PREFIX}_expected_first_event_seconds",
            "The same, as placement expected it.",
            buckets=SECONDS,
            registry=registry,
        )
        self._retries = Counter(
            f"{PREFIX}_retries",
            "Runs that another one followed, by failure.",
            ["failure"],
            registry=registry,
        )
        self._given_up = Counter(
            f"{PREFIX}_given_up",
            "Requests whose last run failed, by failure.",
            ["failure"],
            registry=registry,
        )
        self._items = Counter(
            f"{PREFIX}_batch_items",
            "Batch items by what became of a run.",
            ["outcome"],
            registry=registry,
        )
        self._jobs = Counter(
            f"{PREFIX}_batch_jobs",
            "Batch jobs by what became of them here.",
            ["outcome"],
            registry=registry,
        )
        self._store = Histogram(
            f"{PREFIX}_store_call_seconds",
            "Calls of the platform's store.",
            ["call", "outcome"],
            buckets=SHORT_SECONDS,
            registry=registry,
        )
        self._pauses = Histogram(
            f"{PREFIX}_loop_pause_seconds",
            "How late the loop's ticks came.",
            buckets=SHORT_SECONDS,
            registry=registry,
        )
        self._gauges = {
            name: Gauge(f"{PREFIX}_{name}", text, registry=registry)
            for name, text in GAUGES.items()
        }
        self._lines = Counter(
            f"{PREFIX}_log_lines_dropped",
            "Log lines dropped for a slow reader.",
            registry=registry,
        )

    def count_request(self, kind: str, outcome: str) -> None:
        """Count a request's final answer."""
        self._requests.labels(kind, outcome).inc()
        self._statistics.count(f"requests.{kind}.{outcome}")

    def observe_first_event(self, kind: str, value_ms: int) -> None:
        """Record a request's time to its first event, ms."""
        self._first.labels(kind).observe(value_ms / MS_PER_SECOND)
        self._statistics.record_ms(f"first_event.{kind}", value_ms)

    def observe_expected(self, value_ms: float) -> None:
        """Record the time to the first event that placement expected, ms."""
        self._expected.observe(value_ms / MS_PER_SECOND)

    def count_retry(self, failure: str) -> None:
        """Count a run that another one follows."""
        self._retries.labels(failure).inc()
        self._statistics.count(f"retries.{failure}")

    def count_given_up(self, failure: str) -> None:
        """Count a request that no run follows."""
        self._given_up.labels(failure).inc()
        self._statistics.count(f"given_up.{failure}")

    def count_item(self, outcome: str) -> None:
        """Count what became of a run of a batch item."""
        self._items.labels(outcome).inc()
        self._statistics.count(f"batch_items.{outcome}")

    def count_job(self, outcome: str) -> None:
        """Count what became of a batch job here."""
        self._jobs.labels(outcome).inc()
        self._statistics.count(f"batch_jobs.{outcome}")

    def observe_store(self, call: str, outcome: str, value_ms: float) -> None:
        """Record a call of the store, ms."""
        self._store.labels(call, outcome).observe(value_ms / MS_PER_SECOND)
        self._statistics.record_ms(f"store.{call}.{outcome}", value_ms)

    def observe_pause(self, value_ms: float) -> None:
        """Record how late a tick of the loop came, ms."""
        self._pauses.observe(value_ms / MS_PER_SECOND)

    def set_gauge(self, name: str, value: float) -> None:
        """Set one of `GAUGES`."""
        self._gauges[name].set(value)
        self._statistics.set_gauge(name, value)

    def count_dropped_lines(self, lines: int) -> None:
        """Count log lines that were dropped."""
        self._lines.inc(lines)

    def render(self) -> bytes:
        """Return the page in the OpenMetrics format."""
        page: bytes = generate_latest(self._registry)  # type: ignore[no-untyped-call]
        return page


GAUGES: Final = {
    "catalogue_version": "Version of the catalogue in force.",
    "daemons_known": "Daemons that are part of the fleet.",
    "daemons_heard": "Daemons heard of late, this one included.",
    "upstreams": "Upstreams that may get work.",
    "upstreams_down": "Upstreams that this daemon believes down.",
    "upstreams_cold": "Upstreams that bear few requests at present.",
    "data_centres_evacuated": "Data centres whose upstreams get no new work.",
    "runs_online": "Online runs of this daemon.",
    "runs_batch": "Batch runs of this daemon.",
    "jobs_owned": "Batch jobs that this daemon runs.",
    "items_waiting": "Items of these jobs that wait for a slot and can be in time.",
    "ready": "1 while callers may be sent here.",
    "isolated": "1 while neither store nor other daemons are heard.",
}
