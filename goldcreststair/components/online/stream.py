"""Joins the runs of one streamed response, without duplicate or missing tokens."""

import orjson

from goldcreststair.clock import Clock, Millis
from goldcreststair.upstreams.events import MAX_ANSWER_BYTES
from goldcreststair.upstreams.models import StreamChunk
from goldcreststair.upstreams.protocols import StreamSink

EVENT_END = b"\n\n"
EVENT_ID = b"id: "
DATA_MARK = b"data: "


class StreamRecorder:
    """Forwards chunks in order and keeps them for a resumption or a later resend."""

    def __init__(self, sink: StreamSink, clock: Clock) -> None:
        """Forward chunks to `sink`."""
        self.first_token_at: Millis | None = None
        self._clock = clock
        self.last_index = -1
        self.software_version: str | None = None
        """Software version that began the response; None before its first token."""
        self.gap = False
        """Whether the current run skipped tokens; the rest of that run is then dropped."""
        self._sink = sink
        self._events: list[bytes] = []
        self._event_bytes = 0

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Forward the new tokens of a chunk of the current run."""
        if self.gap:
            return
        first = chunk.last_index - chunk.tokens + 1
        # The index of each token gives its position, whichever connection delivered it. Without
        # this check a resumed stream could lose or repeat words.
        if first > self.last_index + 1:
            self.gap = True
            return
        if first <= self.last_index:
            chunk = _drop_events(chunk, self.last_index + 1 - first)
            if not chunk.tokens:
                return
        self.last_index = chunk.last_index
        if self.software_version is None:
            self.software_version = chunk.software_version
        if self.first_token_at is None:
            self.first_token_at = self._clock.now()
        self._events.append(chunk.data)
        self._event_bytes += len(chunk.data)
        await self._sink.async_accept(chunk)

    @property
    def first_token_seen(self) -> bool:
        """Whether any token has been forwarded."""
        return self.first_token_at is not None

    def begin_run(self) -> None:
        """Clear the gap flag of the previous run, unless nothing more is kept of this response."""
        self.gap = self._event_bytes > MAX_ANSWER_BYTES

    def read_data(self) -> bytes:
        """Return all events forwarded so far."""
        return b"".join(self._events)

    def read_text(self) -> str:
        """Return the text of all tokens forwarded so far."""
        return "".join(_read_text(event) for event in self.read_data().split(EVENT_END) if event)


def _drop_events(chunk: StreamChunk, count: int) -> StreamChunk:
    events = chunk.data.split(EVENT_END)[:-1]
    kept = events[count:]
    data = b"".join(event + EVENT_END for event in kept)
    return StreamChunk(data, len(kept), chunk.last_index)


def _read_text(event: bytes) -> str:
    at = event.find(DATA_MARK)
    if at < 0:
        return ""
    choice = orjson.loads(event[at + len(DATA_MARK) :])["choices"][0]
    if "delta" in choice:
        return choice["delta"].get("content") or ""
    return choice.get("text") or ""
