"""Events of a stream as they arrive."""

import pytest

from goldcreststair.upstreams.events import EventSplitter


@pytest.mark.parametrize(
    ("number", "expected"),
    [(b"7", 7), (b"007", 7), (b"-1", 0), (b"x", 0), (b"", 0), (b"9" * 18, 10**18 - 1)],
)
def test_the_number_of_an_event(number: bytes, expected: int) -> None:
    (event,) = EventSplitter().feed(b"id: " + number + b"\ndata: a\n\n")
    assert event.number == expected


def test_an_event_with_an_endless_number_has_none() -> None:
    """Guards against an exception for a number that is too long to be read."""
    (event,) = EventSplitter().feed(b"id: " + b"9" * 5_000 + b"\ndata: a\n\n")
    assert event.number == 0
