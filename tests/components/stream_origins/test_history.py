"""Tests of the software versions that may have begun a stream."""

import pytest

from goldcreststair.components.stream_origins.const import SOFTWARE_MEMORY_MS
from goldcreststair.components.stream_origins.history import SoftwareHistory
from goldcreststair.components.stream_origins.models import StreamOrigin, VersionRecord
from standins.virtual_time import ManualClock

V1, V2, OTHER = StreamOrigin("s", "v1"), StreamOrigin("s", "v2"), StreamOrigin("other", "v9")
STORE_NOW = 5_000_000


@pytest.mark.parametrize(
    ("gone_for_ms", "origins"),
    [(0, {V1, V2}), (SOFTWARE_MEMORY_MS, {V1, V2}), (SOFTWARE_MEMORY_MS + 1, {V2})],
)
def test_version_whose_last_upstream_is_gone_counts_for_a_while(
    gone_for_ms: int, origins: set[StreamOrigin]
) -> None:
    """Guards against taking the version that is left for the one that began an older stream."""
    clock = ManualClock()
    history = SoftwareHistory(clock)
    history.apply_listed({V1, V2, OTHER})
    assert history.apply_listed({V2, OTHER}) == {"s"}
    clock.advance(gone_for_ms)
    assert history.list_origins({"s"}, SOFTWARE_MEMORY_MS) == origins


@pytest.mark.parametrize(
    ("record", "origins"),
    [
        (VersionRecord("v1", True, STORE_NOW - SOFTWARE_MEMORY_MS * 2), {V1, V2}),
        (VersionRecord("v1", False, STORE_NOW - 1_000), {V1, V2}),
        (VersionRecord("v1", False, STORE_NOW - SOFTWARE_MEMORY_MS * 2), {V2}),
        (VersionRecord("v2", True, STORE_NOW), {V2}),
    ],
)
def test_stored_versions_count_from_before_the_start(
    record: VersionRecord, origins: set[StreamOrigin]
) -> None:
    """Guards against a daemon that starts after the last upstream of a version is gone."""
    clock = ManualClock()
    clock.advance(10_000_000)
    history = SoftwareHistory(clock)
    history.apply_listed({V2})
    history.apply_stored([("s", [record])], STORE_NOW)
    assert history.list_origins({"s"}, SOFTWARE_MEMORY_MS) == origins


@pytest.mark.parametrize(
    ("reads", "waited_ms", "gap"), [(False, 0, True), (True, 0, False), (False, 60_001, False)]
)
def test_versions_from_before_the_start_may_be_missing(
    reads: bool, waited_ms: int, gap: bool
) -> None:
    """Guards against trusting a history that begins with this daemon."""
    clock = ManualClock()
    history = SoftwareHistory(clock)
    history.apply_listed({V1})
    if reads:
        history.apply_stored([], STORE_NOW)
    clock.advance(waited_ms)
    assert history.has_gap(60_000) is gap


def test_records_survive_a_round_trip() -> None:
    clock = ManualClock()
    clock.advance(10_000_000)
    first, second = SoftwareHistory(clock), SoftwareHistory(clock)
    first.apply_listed({V1, V2})
    first.apply_listed({V2})
    clock.advance(2_000)
    records = first.list_records("s", STORE_NOW)
    assert records == [
        VersionRecord("v1", False, STORE_NOW - 2_000),
        VersionRecord("v2", True, STORE_NOW),
    ]
    second.apply_listed({V2})
    second.apply_stored([("s", records)], STORE_NOW)
    assert second.list_origins({"s"}, SOFTWARE_MEMORY_MS) == {V1, V2}
    assert second.find(V1.key) == V1
