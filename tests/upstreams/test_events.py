"""Tests of the parser of server-sent events."""

import pytest

from goldcreststair.upstreams.events import EventSplitter


@pytest.mark.parametrize(
    ("number", "expected"),
    [(b"7", 7), (b"007", 7), (b"-1", 0), (b"x", 0), (b"", 0), (b"9" * 18, 10**18 - 1)],
)
def test_event_number(number: bytes, expected: int) -> None:
    (event,) = EventSplitter().feed(b"id: " + number + b"\ndata: a\n\n")
    assert event.number == expected


def test_overlong_event_number_is_ignored() -> None:
    """Guards against an exception for a number with too many digits to convert."""
    (event,) = EventSplitter().feed(b"id: " + b"9" * 5_000 + b"\ndata: a\n\n")
    assert event.number == 0


STREAM = b"\n: first\n\nid: 1\ndata: a\n\n: two\n\n: three\n\nid: 2\ndata: b\ndata: c\n\n\nid: 3\n\n: last\n\nid"


@pytest.mark.parametrize("size", [1, 2, 3, 7, len(STREAM)])
def test_events_do_not_depend_on_how_they_arrive(size: int) -> None:
    """Guards against an event that is lost or joined with another one where a read ends within it."""
    splitter, events = EventSplitter(), []
    for start in range(0, len(STREAM), size):
        events += splitter.feed(STREAM[start : start + size])
    assert [(event.number, event.data) for event in events] == [(1, b"a"), (2, b"b\nc"), (3, b"")]
    assert b"".join(event.raw for event in events) == STREAM[: STREAM.index(b": last")]
    assert splitter.has_partial_event and not splitter.is_oversized
