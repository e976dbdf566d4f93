"""Tests of the origins of streams that daemons announce to each other."""

import pytest

from goldcreststair.components.stream_origins.const import (
    ANNOUNCE_MS,
    MAX_ANNOUNCED,
    ORIGIN_MEMORY_MS,
    RENEW_MS,
)
from goldcreststair.components.stream_origins.known_origins import KnownOrigins
from goldcreststair.components.stream_origins.models import make_stream_key
from standins.virtual_time import ManualClock

A, B = make_stream_key("club", "host", "a"), make_stream_key("club", "host", "b")


@pytest.mark.parametrize(
    ("after_ms", "listed"), [(0, True), (ANNOUNCE_MS - 1, True), (2 * ANNOUNCE_MS, False)]
)
def test_origin_is_repeated_in_beacons_for_a_while(after_ms: int, listed: bool) -> None:
    """Guards against an origin that is lost with one datagram."""
    clock = ManualClock()
    known = KnownOrigins(clock)
    known.record_own(A, 1)
    known.announce(A)
    clock.advance(after_ms)
    known.list_announced()
    assert bool(known.list_announced()) is listed


def test_beacon_lists_the_youngest_streams() -> None:
    """Guards against beacons that are too large for a packet, and against streams that are never listed."""
    known = KnownOrigins(ManualClock())
    streams = [make_stream_key("club", "host", str(n)) for n in range(MAX_ANNOUNCED + 1)]
    for stream in streams:
        known.record_own(stream, 1)
        known.announce(stream)
    assert set(known.list_announced()[1]) == set(streams[1:])


def test_stream_keeps_its_first_origin() -> None:
    known = KnownOrigins(ManualClock())
    known.record_other([A], 1)
    known.record_other([A], 2)
    assert known.find(A) == 1 and known.find(B) is None


@pytest.mark.parametrize(("runs", "found"), [(True, 1), (False, None)])
def test_origin_of_a_long_stream_is_renewed(runs: bool, found: int | None) -> None:
    """Guards against a stream that other daemons forget while it still runs."""
    clock = ManualClock()
    known, other = KnownOrigins(clock), KnownOrigins(clock)
    known.record_own(A, 1)
    other.record_other([A], 1)
    if not runs:
        known.release(A)
    for _ in range(4):
        clock.advance(RENEW_MS)
        known.renew()
        for origin, streams in known.list_announced().items():
            other.record_other(streams, origin)
        other.record_other([B], 1)

    assert other.find(A) == found


def test_old_origins_expire() -> None:
    clock = ManualClock()
    known = KnownOrigins(clock)
    known.record_other([A], 1)
    clock.advance(ORIGIN_MEMORY_MS)
    known.record_other([B], 1)
    clock.advance(1)
    known.record_other([B], 1)
    assert known.find(A) is None and known.find(B) == 1
