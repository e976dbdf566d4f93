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
