"""Counters, gauges and histograms of a gateway daemon, for its metrics page and for statsd.

The number of series is bounded: labels are kinds, outcomes and codes, never customers or ids.
"""

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Final

from goldcreststair.client_limits.models import CloseCause
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.statistics import NullStatistics, Statistics

if TYPE_CHECKING:
    from prometheus_client import Metric

PREFIX: Final = "goldcreststair"
SECONDS: Final = (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.5, 5.0)
"""Bucket bounds for callers' waiting times, s; 0.3 s is the current objective for the first event."""
SHORT_SECONDS: Final = (0.001, 0.002, 0.005, 0.01, 0.025, 0.1, 0.5, 2.0)
"""Bucket bounds for store calls and for pauses of the event loop, s."""
CONTENT_TYPE: Final = "application/openmetrics-text; version=1.0.0; charset=utf-8"

Labels = tuple[str, ...]


@dataclass(slots=True)
class _Counter:
    """One counter, with its values by labels."""

    help_text: str
    labels: Labels = ()
    values: dict[Labels, float] = field(default_factory=lambda: defaultdict(float))


@dataclass(slots=True)
class _Histogram:
    """One histogram of times in seconds, with its buckets by labels."""

    help_text: str
    bounds: tuple[float, ...]
    labels: Labels = ()
    sums: dict[Labels, float] = field(default_factory=lambda: defaultdict(float))
    counts: dict[Labels, list[int]] = field(default_factory=dict)
    """By labels: how many values are at most each bound and above the one before; the last count is for
    values above all bounds."""

    def observe(self, labels: Labels, value_s: float) -> None:
        """Record one time."""
        counts = self.counts.setdefault(labels, [0] * (len(self.bounds) + 1))
        counts[bisect_left(self.bounds, value_s)] += 1
        self.sums[labels] += value_s

    def list_buckets(self, labels: Labels) -> list[tuple[str, int]]:
        """Return the cumulative buckets: each bound with how many values are at most that."""
        total, buckets = 0, []
        for bound, count in zip((*self.bounds, "+Inf"), self.counts[labels], strict=True):
            total += count
            buckets.append((str(bound), total))
        return buckets


class Meters:
    """All counters, gauges and histograms of one daemon."""

    def __init__(self, statistics: Statistics | None = None) -> None:
        """Create all metrics at zero; measurements also go to `statistics`."""
        self._statistics = statistics or NullStatistics()
        self._counters = {
            "requests": _Counter("Requests by route kind and outcome.", ("kind", "outcome")),
            "retries": _Counter("Runs that another one followed, by failure.", ("failure",)),
            "resumptions": _Counter(
                "Runs that continue a stream, by who resumed it and by the software of its upstream.",
                ("resumed_by", "software"),
            ),
            "given_up": _Counter("Requests whose last run failed, by failure.", ("failure",)),
            "cuts": _Counter(
                "Requests ended before their upstream's answer was complete.", ("cause", "leaving")
            ),
            "upstream_crashes": _Counter(
                "Upstreams that crashed while they ran requests of this VM."
            ),
            "crash_verdicts": _Counter(
                "Verdicts on requests that crash upstreams, here or taken over."
            ),
            "ejections": _Counter("Ejections of upstreams by this daemon.", ("reason",)),
            "batch_items": _Counter("Batch items by what became of a run.", ("outcome",)),
            "batch_jobs": _Counter("Batch jobs by what became of them here.", ("outcome",)),
            "queue_refusals": _Counter("Requests refused for lack of slots.", ("reason",)),
            "returned_requests": _Counter(
                "Requests that arrived before admission was open, by outcome.", ("outcome",)
            ),
            "batch_tokens_repeated": _Counter("Output tokens of batch items computed twice."),
            "log_lines_dropped": _Counter("Log lines dropped for a slow reader."),
            "upstream_load_invalid": _Counter("Invalid or impossible loads of upstreams."),
            "readers_shed": _Counter("Streams closed because their callers read too slowly."),
            "client_connections_closed": _Counter(
                "Connections of clients closed to stay within the limits.", ("cause",)
            ),
            "datagrams_rejected": _Counter(
                "Long datagrams from addresses that are not those of daemons."
            ),
            "quota_buckets_created": _Counter("Token buckets created, one for each customer."),
            "quota_baselines": _Counter(
                "First reports of daemons or relays, which charge nothing."
            ),
            "quota_debt_dropped": _Counter(
                "Requests of others that are not charged, as the debt of a bucket is limited."
            ),
        }
        self._histograms = {
            "first_event_seconds": _Histogram(
                "From a request's arrival to its first event.", SECONDS, ("kind",)
            ),
            "expected_first_event_seconds": _Histogram(
                "The same, as placement expected it.", SECONDS
            ),
            "queue_wait_seconds": _Histogram("How long requests waited for a slot.", SECONDS),
            "store_call_seconds": _Histogram(
                "Calls of the platform's store.", SHORT_SECONDS, ("call", "outcome")
            ),
            "quota_counter_age_seconds": _Histogram(
                "Age of the other daemons' counters when a request was admitted or refused.",
                SECONDS,
            ),
            "loop_pause_seconds": _Histogram("How late the loop's ticks came.", SHORT_SECONDS),
        }
        self._gauges = dict.fromkeys(GAUGES, 0.0)
        # Series without labels are exported from the start, as monitoring expects.
        self._counters["log_lines_dropped"].values[()] = 0.0
        self._counters["upstream_load_invalid"].values[()] = 0.0
        self._counters["upstream_crashes"].values[()] = 0.0
        self._counters["crash_verdicts"].values[()] = 0.0
        self._counters["batch_tokens_repeated"].values[()] = 0.0
        self._counters["readers_shed"].values[()] = 0.0
        for name in ("quota_buckets_created", "quota_baselines", "quota_debt_dropped"):
            self._counters[name].values[()] = 0.0

    def count_request(self, kind: str, outcome: str) -> None:
        """Count a request's final answer."""
        self._counters["requests"].values[kind, outcome] += 1
        self._statistics.count(f"requests.{kind}.{outcome}")

    def observe_first_event(self, kind: str, value_ms: int) -> None:
        """Record a request's time to its first event, ms."""
        self._histograms["first_event_seconds"].observe((kind,), value_ms / MS_PER_SECOND)
        self._statistics.record_ms(f"first_event.{kind}", value_ms)

    def observe_expected(self, value_ms: float) -> None:
        """Record the time to the first event that placement expected, ms."""
        self._histograms["expected_first_event_seconds"].observe((), value_ms / MS_PER_SECOND)

    def observe_queue_wait(self, value_ms: int) -> None:
        """Record how long a request waited for a slot, served or not, ms."""
        self._histograms["queue_wait_seconds"].observe((), value_ms / MS_PER_SECOND)

    def count_queue_refusal(self, reason: str) -> None:
        """Count a request that was refused for lack of slots."""
        self._counters["queue_refusals"].values[(reason,)] += 1
        self._statistics.count(f"queue_refusals.{reason}")

    def count_retry(self, failure: str) -> None:
        """Count a failed run that is followed by another one."""
        self._counters["retries"].values[(failure,)] += 1
        self._statistics.count(f"retries.{failure}")

    def count_resumption(self, resumed_by: str, software: str) -> None:
        """Count a run that continues a stream: by this daemon or by its caller, at which software."""
        self._counters["resumptions"].values[resumed_by, software] += 1
        self._statistics.count(f"resumptions.{resumed_by}.{software}")

    def count_given_up(self, failure: str) -> None:
        """Count a request whose last run failed."""
        self._counters["given_up"].values[(failure,)] += 1
        self._statistics.count(f"given_up.{failure}")

    def count_cut(self, cause: str, *, is_leaving: bool) -> None:
        """Count a request that ended early, during a leave of this VM or not."""
        leaving = "yes" if is_leaving else "no"
        self._counters["cuts"].values[cause, leaving] += 1
        self._statistics.count(f"cuts.{cause}.{leaving}")

    def count_upstream_crash(self) -> None:
        """Count a crash of an upstream that ran requests of this VM."""
        self._counters["upstream_crashes"].values[()] += 1
        self._statistics.count("upstream_crashes")

    def count_crash_verdict(self) -> None:
        """Count a verdict on requests that crash upstreams."""
        self._counters["crash_verdicts"].values[()] += 1
        self._statistics.count("crash_verdicts")

    def count_ejection(self, reason: str) -> None:
        """Count an ejection of an upstream."""
        self._counters["ejections"].values[(reason,)] += 1
        self._statistics.count(f"ejections.{reason}")

    def count_item(self, outcome: str) -> None:
        """Count a run of a batch item by its outcome."""
        self._counters["batch_items"].values[(outcome,)] += 1
        self._statistics.count(f"batch_items.{outcome}")

    def count_job(self, outcome: str) -> None:
        """Count a batch job by its outcome at this VM."""
        self._counters["batch_jobs"].values[(outcome,)] += 1
        self._statistics.count(f"batch_jobs.{outcome}")

    def count_returned(self, outcome: str) -> None:
        """Count a request that arrived before admission was open."""
        self._counters["returned_requests"].values[(outcome,)] += 1
        self._statistics.count(f"returned_requests.{outcome}")

    def count_repeated(self, tokens: int) -> None:
        """Count output tokens of batch items that are computed twice."""
        if tokens:
            self._counters["batch_tokens_repeated"].values[()] += tokens
            self._statistics.count("batch_tokens_repeated", tokens)

    def observe_store(self, call: str, outcome: str, value_ms: float) -> None:
        """Record the time of a store call, ms."""
        self._histograms["store_call_seconds"].observe((call, outcome), value_ms / MS_PER_SECOND)
        self._statistics.record_ms(f"store.{call}.{outcome}", value_ms)

    def observe_pause(self, value_ms: float) -> None:
        """Record by how much a tick of the event loop was late, ms."""
        self._histograms["loop_pause_seconds"].observe((), value_ms / MS_PER_SECOND)

    def set_gauge(self, name: str, value: float) -> None:
        """Set one of `GAUGES`; raises `KeyError` for another name."""
        if name not in self._gauges:
            raise KeyError(name)
        self._gauges[name] = value
        self._statistics.set_gauge(name, value)

    def count_dropped_lines(self, lines: int) -> None:
        """Count log lines that were dropped."""
        self._counters["log_lines_dropped"].values[()] += lines

    def count_invalid_load(self) -> None:
        """Count a load of an upstream that is malformed or out of bounds."""
        self._counters["upstream_load_invalid"].values[()] += 1
        self._statistics.count("upstream_load_invalid")

    def count_shed_reader(self) -> None:
        """Count a stream that was closed because its caller reads too slowly."""
        self._counters["readers_shed"].values[()] += 1
        self._statistics.count("readers_shed")

    def count_closed_client(self, cause: CloseCause) -> None:
        """Count a connection that was closed to stay within the limits on all clients."""
        self._counters["client_connections_closed"].values[(cause.value,)] += 1
        self._statistics.count(f"client_connections_closed.{cause.value}")

    def count_rejected_datagram(self) -> None:
        """Count a datagram that was dropped for its length and its sender."""
        self._counters["datagrams_rejected"].values[()] += 1
        self._statistics.count("datagrams_rejected")

    def observe_counter_age(self, value_ms: int) -> None:
        """Record the age of the other daemons' counters at a decision about a quota, ms."""
        self._histograms["quota_counter_age_seconds"].observe((), value_ms / MS_PER_SECOND)

    def count_quota_bucket(self) -> None:
        """Count a token bucket that was created."""
        self._counters["quota_buckets_created"].values[()] += 1

    def count_quota_baseline(self) -> None:
        """Count a first report of a daemon or relay, of which nothing is charged."""
        self._counters["quota_baselines"].values[()] += 1
        self._statistics.count("quota_baselines")

    def count_dropped_debt(self, requests: float) -> None:
        """Count requests of others that are not charged, as the debt of a bucket is limited."""
        self._counters["quota_debt_dropped"].values[()] += requests

    def render(self) -> bytes:
        """Return the metrics page in the OpenMetrics format."""
        # Imported with the first page: callers wait while a daemon restarts.
        from prometheus_client import CollectorRegistry
        from prometheus_client.openmetrics.exposition import generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        page: bytes = generate_latest(registry)  # type: ignore[no-untyped-call]
        return page

    def collect(self) -> "Iterator[Metric]":
        """Yield all series; implements the collector interface of `prometheus_client`."""
        from prometheus_client import metrics_core as core

        for name, counter in self._counters.items():
            counter_family = core.CounterMetricFamily(
                f"{PREFIX}_{name}", counter.help_text, labels=counter.labels
            )
            for labels, value in counter.values.items():
                counter_family.add_metric(labels, value)
            yield counter_family
        for name, histogram in self._histograms.items():
            histogram_family = core.HistogramMetricFamily(
                f"{PREFIX}_{name}", histogram.help_text, labels=histogram.labels
            )
            for labels in histogram.counts:
                histogram_family.add_metric(
                    labels, histogram.list_buckets(labels), histogram.sums[labels]
                )
            yield histogram_family
        for name, value in self._gauges.items():
            yield core.GaugeMetricFamily(f"{PREFIX}_{name}", GAUGES[name], value=value)


GAUGES: Final = {
    "catalogue_version": "Version of the catalogue in force.",
    "daemons_known": "Daemons that are part of the fleet.",
    "daemons_heard": "Daemons heard of late, this one included.",
    "upstreams": "Upstreams that may get work.",
    "upstreams_down": "Upstreams that this daemon believes down.",
    "upstreams_cold": "Upstreams that bear few requests at present.",
    "upstreams_slow": "Upstreams at which work takes at least 1.5 times as long as usual.",
    "upstreams_ejected": "Upstreams that this daemon has ejected.",
    "data_centres_evacuated": "Data centres whose upstreams get no new work.",
    "runs_online": "Online runs of this daemon.",
    "runs_batch": "Batch runs of this daemon.",
    "jobs_owned": "Batch jobs that this daemon runs.",
    "removed_customers": "Customers with open jobs that are not in the catalogue, as this daemon last listed them.",
    "job_body_bytes": "Bodies of the items of these jobs.",
    "items_waiting": "Items of these jobs that wait for a slot and can be in time.",
    "requests_waiting": "Requests that wait here for a slot.",
    "client_bytes": "Bytes held for all clients, of their messages and of unread answers.",
    "client_connections": "Open connections of clients, at all ports.",
    "buffered_bytes": "Bytes held for callers that read slowly.",
    "readers_slow": "Callers that have lagged for longer than reading an upstream may pause.",
    "admission_share": "Share of the slots that this daemon may use by itself; 1 once it knows others.",
    "results_waiting": "Results of items that wait to be committed.",
    "results_waiting_bytes": "Bytes of these results.",
    "ready": "1 while callers may be sent here.",
    "isolated": "1 while neither store nor other daemons are heard.",
}
