"""Joins the runs of one streamed answer: no token twice, none left out."""

import orjson

from goldcreststair.upstreams.models import StreamChunk
from goldcreststair.upstreams.protocols import StreamSink

EVENT_END = b"\n\n"
EVENT_ID = b"id: "
DATA_MARK = b"data: "


class StreamRecorder:
    """Passes chunks on in order and remembers them for a resumption or a later resend."""

    def __init__(self, sink: StreamSink) -> None:
        """Pass on to `sink`."""
        self.last_index = -1
        self.gap = False
        """Whether the present run left tokens out; nothing of it is passed on after that."""
        self.first_token_seen = False
        self._sink = sink
        self._pieces: list[bytes] = []

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Take one chunk of the present run."""
        if self.gap:
            return
        first = chunk.last_index - chunk.tokens + 1
        # Shows as a word missing or doubled in a caller's text after a resumption; the index
        # of each token says where it belongs, whichever connection brought it.
        if first > self.last_index + 1:
            self.gap = True
            return
        if first <= self.last_index:
            chunk = _drop_events(chunk, self.last_index + 1 - first)
            if not chunk.tokens:
                return
        self.last_index = chunk.last_index
        self.first_token_seen = True
        self._pieces.append(chunk.data)
        await self._sink.async_accept(chunk)

    def begin_run(self) -> None:
        """Forget a gap of the run before."""
        self.gap = False

    def read_data(self) -> bytes:
        """Return every event passed on."""
        return b"".join(self._pieces)

    def read_text(self) -> str:
        """Return the text of the tokens passed on."""
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
