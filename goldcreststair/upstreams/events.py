"""Incremental parser of server-sent events: complete events with their ids and data."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.helpers.numbers import parse_unsigned

FIELD_ID: Final = b"id:"
FIELD_DATA: Final = b"data:"
EVENT_END: Final = b"\n\n"
MAX_EVENT_BYTES: Final = 1024 * 1024
"""A longer event is treated as broken framing."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event."""

    raw: bytes
    """The event as received, with the blank line that ends it."""
    number: int
    """The event id, which increases by one from event to event; 0 if it is missing or not a number."""
    data: bytes
    """The data lines, joined by line feeds."""


class EventSplitter:
    r"""Splits a byte stream into complete events.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")]
    [1]
    >>> splitter.has_partial_event
    True
    >>> [event.data for event in splitter.feed(b"ta: b\n\n")], splitter.has_partial_event
    ([b'b'], False)
    """

    def __init__(self) -> None:
        """Initialise with an empty buffer."""
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer)

    @property
    def is_oversized(self) -> bool:
        """Return whether the incomplete event is longer than `MAX_EVENT_BYTES`."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that this chunk completes."""
        *complete, self._buffer = (self._buffer + chunk).split(EVENT_END)
        return [_parse_event(raw) for raw in complete]


def _parse_event(raw: bytes) -> StreamEvent:
    number = 0
    data: list[bytes] = []
    for line in raw.split(b"\n"):
        if line.startswith(FIELD_DATA):
            data.append(_parse_value(line, FIELD_DATA))
        elif line.startswith(FIELD_ID):
            value = _parse_value(line, FIELD_ID)
            number = parse_unsigned(value) or 0
    return StreamEvent(raw + EVENT_END, number, b"\n".join(data))


def _parse_value(line: bytes, field: bytes) -> bytes:
    value = line[len(field) :]
    return value[1:] if value.startswith(b" ") else value
