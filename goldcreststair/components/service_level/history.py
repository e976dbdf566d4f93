"""One customer's counts by minute and hour, kept by the owner of its partition."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram

from goldcreststair.components.service_level.const import (
    KEPT_HOURS,
    KEPT_MINUTES,
    SECONDS_PER_HOUR,
    SECONDS_PER_MINUTE,
)
from goldcreststair.components.service_level.models import Counts
from goldcreststair.components.service_level.recorder import Report, create_histogram

Buckets = dict[int, dict[str, Counts]]
"""Counts by minute or hour since 1970, then by objective."""


@dataclass(slots=True)
class CustomerHistory:
    """Counts of one customer over the last hour by minute and the last 30 days by hour."""

    minutes: Buckets = field(default_factory=dict)
    hours: Buckets = field(default_factory=dict)
    seen: dict[str, int] = field(default_factory=dict)
    """Sequence number of the last counted report, by session id."""
    day: int = 0
    histogram: HdrHistogram = field(default_factory=create_histogram)
    """Times to first token in ms on the day `day`, counted since 1970."""

    def add(self, session_id: str, report: Report, utc_s: int) -> bool:
        """Count a report; returns False if it was counted before.

        A report whose answer was lost is sent again, and would distort the burn rate if it were
        counted twice. The sender numbers its reports and has one in flight per customer, so that
        comparing with the last number is enough.
        """
        if self.seen.get(session_id, 0) >= report.sequence:
            return False
        self.seen[session_id] = report.sequence
        for objective, counts in report.counts:
            _count(self.minutes, utc_s // SECONDS_PER_MINUTE, objective, counts)
            _count(self.hours, utc_s // SECONDS_PER_HOUR, objective, counts)
        _prune(self.minutes, utc_s // SECONDS_PER_MINUTE - KEPT_MINUTES)
        _prune(self.hours, utc_s // SECONDS_PER_HOUR - KEPT_HOURS)
        self._merge_histogram(report.histogram, utc_s // (24 * SECONDS_PER_HOUR))
        return True

    def sum_since(self, objective: str, utc_s: int, window_s: int) -> Counts:
        """Return the counts of the last `window_s` seconds, from the finest sufficient buckets."""
        if window_s <= KEPT_MINUTES * SECONDS_PER_MINUTE:
            buckets, width_s = self.minutes, SECONDS_PER_MINUTE
        else:
            buckets, width_s = self.hours, SECONDS_PER_HOUR
        first = (utc_s - window_s) // width_s + 1
        found = (counts.get(objective, Counts()) for at, counts in buckets.items() if at >= first)
        return sum(found, Counts())

    def forget_sessions(self, alive: frozenset[str]) -> None:
        """Drop the sequence numbers of ended sessions; session ids are never reused."""
        self.seen = {name: number for name, number in self.seen.items() if name in alive}

    def encode(self) -> bytes:
        """Return the whole history as JSON, for another VM."""
        recent = orjson.Fragment(self.encode_recent())
        return orjson.dumps({"recent": recent, "hours": _encode(self.hours)})

    def encode_recent(self) -> bytes:
        """Return the part that every report changes, as JSON."""
        return orjson.dumps(
            {
                "minutes": _encode(self.minutes),
                "seen": self.seen,
                "day": self.day,
                "histogram": self.histogram.encode().decode(),
            }
        )

    def encode_hour(self, hour: int) -> bytes:
        """Return one hour's counts as JSON."""
        return orjson.dumps(_encode_bucket(self.hours[hour]))

    def _merge_histogram(self, encoded: bytes, day: int) -> None:
        if day != self.day:
            self.day = day
            self.histogram = create_histogram()
        self.histogram.decode_and_add(encoded)


def decode_history(encoded: bytes) -> CustomerHistory:
    """Return a history from JSON."""
    raw = orjson.loads(encoded)
    hours = {int(hour): _decode_bucket(bucket) for hour, bucket in raw["hours"].items()}
    return _build_history(raw["recent"], hours)


def decode_records(recent: bytes, hours: Mapping[int, bytes]) -> CustomerHistory:
    """Return a history from its ledger records, the hours by number since 1970."""
    decoded = {hour: _decode_bucket(orjson.loads(bucket)) for hour, bucket in hours.items()}
    return _build_history(orjson.loads(recent), decoded)


def _build_history(recent: dict[str, Any], hours: Buckets) -> CustomerHistory:
    minutes = {int(at): _decode_bucket(bucket) for at, bucket in recent["minutes"].items()}
    history = CustomerHistory(minutes, hours, recent["seen"], recent["day"])
    history.histogram.decode_and_add(recent["histogram"].encode())
    return history


def _count(buckets: Buckets, at: int, objective: str, counts: Counts) -> None:
    bucket = buckets.setdefault(at, {})
    bucket[objective] = bucket.get(objective, Counts()) + counts


def _prune(buckets: Buckets, first: int) -> None:
    for at in [at for at in buckets if at < first]:
        del buckets[at]


def _encode(buckets: Buckets) -> dict[str, Any]:
    return {str(at): _encode_bucket(bucket) for at, bucket in buckets.items()}


def _encode_bucket(bucket: Mapping[str, Counts]) -> dict[str, list[int]]:
    return {name: [counts.good, counts.total] for name, counts in bucket.items()}


def _decode_bucket(raw: Mapping[str, list[int]]) -> dict[str, Counts]:
    return {name: Counts(*pair) for name, pair in raw.items()}
