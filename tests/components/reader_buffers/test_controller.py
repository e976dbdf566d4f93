"""Tests of the decisions when to read and whom to shed."""

import pytest

from goldcreststair.clock import Millis
from goldcreststair.components.reader_buffers.const import CONNECTION_BYTES, PAUSE_MS
from goldcreststair.components.reader_buffers.controller import BufferController
from goldcreststair.components.reader_buffers.models import ReaderIdentity, ReaderState
from goldcreststair.http_exchange import READ_BYTES
from standins.virtual_time import ManualClock
from tests.components.reader_buffers.replay import make_identity


def make_reader(name: str, *, resumable: bool = True) -> ReaderState:
    """Return a reader that has accepted everything."""
    return ReaderState(make_identity(name, resumable))


@pytest.mark.parametrize(
    ("held", "lag_ms", "may_read"),
    [
        (0, 0, True),
        (1, 0, False),
        (1, PAUSE_MS - 1, False),
        (1, PAUSE_MS, True),
        (CONNECTION_BYTES - READ_BYTES, PAUSE_MS, True),
        (CONNECTION_BYTES - READ_BYTES + 1, PAUSE_MS, False),
    ],
)
def test_reading_goes_on_after_the_pause_up_to_the_bound(
    held: int, lag_ms: int, may_read: bool
) -> None:
    """Guards against an upstream that is unread until it cuts, and a buffer beyond its bound."""
    clock = ManualClock()
    controller = BufferController(clock, 10**9)
    reader = make_reader("a")
    controller.hold(reader, held)
    clock.advance(lag_ms)
    assert controller.may_read(reader) == may_read


@pytest.mark.parametrize(
    ("left_ms", "lag_ms", "pause_ms"),
    [
        (10_000, 0, PAUSE_MS),
        (10_000, 500, PAUSE_MS - 500),
        (10_000, PAUSE_MS + 1, 0),
        (PAUSE_MS + 200, 0, 200),
        (PAUSE_MS, 0, 0),
        (-5, 0, 0),
    ],
)
def test_reading_does_not_pause_up_to_the_deadline(
    left_ms: int, lag_ms: int, pause_ms: int
) -> None:
    """Guards against cutting a finished answer because it was not read before its deadline."""
    clock = ManualClock()
    controller = BufferController(clock, 10**9)
    ends_at = Millis(clock.now() + lag_ms + left_ms)
    reader = ReaderState(ReaderIdentity("a", True, ends_at))
    controller.hold(reader, 1)
    clock.advance(lag_ms)
    assert controller.read_pause_ms(reader) == pause_ms


# Each reader: name, resumable, age of its lag, bytes accepted, bytes held.
@pytest.mark.parametrize(
    ("readers", "shed"),
    [
        ([("slow", True, 9_000, 9_000, 10), ("slower", True, 9_000, 4_000, 10)], "slower"),
        ([("once", False, 9_000, 0, 10), ("resumable", True, 9_000, 90_000, 10)], "resumable"),
        ([("once", False, 9_000, 9_000, 10), ("brief", True, 100, 0, 50)], "once"),
        ([("new", True, 2_000, 0, 10), ("old", True, 60_000, 60_000, 10)], "old"),
        ([("small", True, 9_000, 0, 10), ("large", True, 9_000, 0, 50)], "large"),
    ],
)
def test_the_slowest_reader_is_shed_first(
    readers: list[tuple[str, bool, int, int, int]], shed: str
) -> None:
    """Guards against shedding normal readers, or streams that cannot be resumed, before others."""
    clock = ManualClock()
    controller = BufferController(clock, 1)
    start = clock.now()
    for name, resumable, age_ms, accepted, held in sorted(readers, key=lambda each: -each[2]):
        clock.advance(start + 60_000 - age_ms - clock.now())
        reader = make_reader(name, resumable=resumable)
        controller.hold(reader, held + accepted)
        controller.release(reader, accepted)
    clock.advance(start + 60_000 - clock.now())
    chosen = controller.choose_shed()
    assert chosen is not None and chosen.identity.request_id == shed
    for reader in tuple(controller._lagging):
        controller.remove(reader)
    assert controller.choose_shed() is None and controller.count_bytes() == 0
