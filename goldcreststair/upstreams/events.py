"""Server-sent events as they arrive: whole events, their ids and their data."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.helpers.numbers import parse_unsigned

FIELD_ID: Final = b"id:"
FIELD_DATA: Final = b"data:"
EVENT_END: Final = b"\n\n"
MAX_EVENT_BYTES: Final = 1024 * 1024
"""A longer event is taken for broken framing."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One whole event."""

    raw: bytes
    """As it came, with the blank line that ends it."""
    number: int
    """Its id, which grows by one from event to event; 0 if it has none that is a number."""
    data: bytes
    """Its data lines, joined by line feeds."""


class EventSplitter:
    r"""Cuts a stream of bytes into whole events.

    >>> splitter = EventSplitter()
    >>> [event.number for event in splitter.feed(b"id: 1\ndata: a\n\nid: 2\nda")]
    [1]
    >>> splitter.has_partial_event
    True
    >>> [event.data for event in splitter.feed(b"ta: b\n\n")], splitter.has_partial_event
    ([b'b'], False)
    """

    def __init__(self) -> None:
        """Start before the first event."""
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether an event has begun and not ended."""
        return bool(self._rest)

    @property
    def is_oversized(self) -> bool:
        """Return whether what has begun cannot be an event."""
        return len(self._rest) > MAX_EVENT_BYTES

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that this chunk completes."""
        *whole, self._rest = (self._rest + chunk).split(EVENT_END)
        return [_read_event(raw) for raw in whole]


def _read_event(raw: bytes) -> StreamEvent:
    number = 0
    data: list[bytes] = []
    for line in raw.split(b"\n"):
        if line.startswith(FIELD_DATA):
            data.append(_read_value(line, FIELD_DATA))
        elif line.startswith(FIELD_ID):
            value = _read_value(line, FIELD_ID)
            number = parse_unsigned(value) or 0
    return StreamEvent(raw + EVENT_END, number, b"\n".join(data))


def _read_value(line: bytes, field: bytes) -> bytes:
    value = line[len(field) :]
    return value[1:] if value.startswith(b" ") else value
