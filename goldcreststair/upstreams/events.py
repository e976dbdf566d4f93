"""Incremental parser of server-sent events: complete events with their ids and data."""

from dataclasses import dataclass
from typing import Final

from goldcreststair.helpers.numbers import parse_unsigned

FIELD_ID: Final = b"id:"
FIELD_DATA: Final = b"data:"
COMMENT: Final = b":"
EVENT_END: Final = b"\n\n"
MAX_ANSWER_BYTES: Final = 16 * 1024 * 1024
"""Longest body of an answer that is kept, to be passed on once it is whole or to be resumed."""
MAX_EVENT_BYTES: Final = 256 * 1024
"""A longer event is treated as broken framing."""


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event."""

    raw: bytes
    """The event as received, with the blank line that ends it, and with the comments before it."""
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
    >>> [event.data for event in splitter.feed(b"ta: b\n\n: comment\n\n")]
    [b'b']
    >>> splitter.has_partial_event
    False
    """

    def __init__(self) -> None:
        """Initialise with an empty buffer."""
        self._buffer = bytearray()
        self._comments = bytearray()
        """Comments since the last event."""

    @property
    def has_partial_event(self) -> bool:
        """Return whether the buffer holds an incomplete event."""
        return bool(self._buffer.strip(b"\n"))

    @property
    def is_oversized(self) -> bool:
        """Return whether the incomplete event, with its comments, is longer than `MAX_EVENT_BYTES`."""
        return self.held_bytes > MAX_EVENT_BYTES

    def drop_partial_event(self) -> None:
        """Drop the incomplete event, and the comments before it."""
        self._buffer, self._comments = bytearray(), bytearray()

    @property
    def held_bytes(self) -> int:
        """Return the length of the incomplete event, with its comments."""
        return len(self._buffer) + len(self._comments)

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Return the events that this chunk completes."""
        found: list[StreamEvent] = []
        # The blank line may have begun with the last byte of the buffer.
        searched = max(0, len(self._buffer) - 1)
        self._buffer += chunk
        taken = 0
        while (end := self._buffer.find(EVENT_END, searched)) >= 0:
            raw = bytes(self._buffer[taken : end + len(EVENT_END)])
            taken = searched = end + len(EVENT_END)
            event = _parse_event(raw, bytes(self._comments))
            if event is None:
                self._comments += raw
                continue
            found.append(event)
            self._comments.clear()
        del self._buffer[:taken]
        return found


def _parse_event(raw: bytes, comments: bytes) -> StreamEvent | None:
    """Return the event that follows `comments`, or None if `raw` holds only comments and empty lines."""
    number = 0
    data: list[bytes] = []
    has_fields = False
    for line in raw.split(b"\n"):
        if not line or line.startswith(COMMENT):
            continue
        has_fields = True
        if line.startswith(FIELD_DATA):
            data.append(_parse_value(line, FIELD_DATA))
        elif line.startswith(FIELD_ID):
            value = _parse_value(line, FIELD_ID)
            number = parse_unsigned(value) or 0
    return StreamEvent(comments + raw, number, b"\n".join(data)) if has_fields else None


def _parse_value(line: bytes, field: bytes) -> bytes:
    value = line[len(field) :]
    return value[1:] if value.startswith(b" ") else value
