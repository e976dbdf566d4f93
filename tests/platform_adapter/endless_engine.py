"""An engine that sends bytes that are no answer until its connection is closed."""

import asyncio
import itertools
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

from tests.platform_adapter.wire_engine import WireEngine, make_event, make_head

MANNER_HEADER: Final = "Endless"
"""Asks the first engine that sees a request to answer it so."""
PAUSE_HEADER: Final = "Endless-Pause-Ms"
"""Time between two pieces; 0 for full speed."""
FAST_BYTES: Final = 64 * 1024
SLOW_BYTES: Final = 16
NUMBERED_EVENTS: Final = 16
HELD_BYTES: Final = 250 * 1024
"""Less than the longest event that a daemon waits for the end of."""
LIMIT_S: Final = 20.0
"""The engine stops by itself after this time."""


class Endless(StrEnum):
    """Where the bytes without end come."""

    HEAD = "head"
    HEADERS = "headers"
    REASON = "reason"
    INFORMATIONAL = "informational"
    BODY = "body"
    FAILURE = "failure"
    """The body of an answer of 500."""
    CHUNK_SIZE = "chunk_size"
    CHUNK_EXTENSION = "chunk_extension"
    TRAILER = "trailer"
    FOREIGN = "foreign"
    """The body of an answer to another request."""
    EVENT = "event"
    COMMENT = "comment"
    COMMENTS = "comments"
    EVENTS = "events"
    """Whole events that all have the same number."""
    AFTERWARDS = "afterwards"
    """Behind a whole answer."""
    NUMBERED = "numbered"
    """Whole events, each of which continues the answer."""
    HELD = "held"
    """Most of an event that may still end, and then nothing."""


@dataclass(slots=True)
class EndlessAnswer:
    """One answer without an end."""

    request: str
    manner: Endless
    began_at: float
    sent: int = 0
    closed_after_s: float | None = None
    """When the other side closed the connection; None if it did not."""


@dataclass(slots=True)
class EndlessEngine(WireEngine):
    """Answers a request that asks for it without an end, unless another engine has done so before."""

    seen_requests: set[str] = field(default_factory=set)
    """Requests that some engine has answered so; shared by the engines."""
    endless_answers: list[EndlessAnswer] = field(default_factory=list)

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(headers.get("Content-Length", "0")))
        request = headers.get("Request-Id", "")
        if MANNER_HEADER not in headers or request in self.seen_requests:
            streams = head[0].split()[1].startswith("/stream")
            first = int(headers.get("Last-Event-Id", "0")) + 1 if streams else 1
            events = b"".join(make_event(n) for n in range(first, self.events + 1))
            writer.write(make_head(200, request, f"Content-Length: {len(events)}") + events)
            await writer.drain()
            return True
        self.seen_requests.add(request)
        answer = EndlessAnswer(request, Endless(headers[MANNER_HEADER]), time.monotonic())
        self.endless_answers.append(answer)
        pause_s = int(headers.get(PAUSE_HEADER, "0")) / 1000
        await self._async_send_endlessly(writer, answer, pause_s)
        return False

    async def _async_send_endlessly(
        self, writer: asyncio.StreamWriter, answer: EndlessAnswer, pause_s: float
    ) -> None:
        opening, make_piece = make_endless_answer(answer.manner, answer.request, self.events)
        size = SLOW_BYTES if pause_s else FAST_BYTES
        try:
            writer.write(opening)
            while time.monotonic() - answer.began_at < LIMIT_S:
                piece = make_piece(size)
                writer.write(piece)
                answer.sent += len(piece)
                await writer.drain()
                await asyncio.sleep(pause_s)
                if writer.is_closing():
                    raise ConnectionResetError
        except ConnectionError:
            answer.closed_after_s = time.monotonic() - answer.began_at


def make_endless_answer(
    manner: Endless, request: str, events: int
) -> tuple[bytes, Callable[[int], bytes]]:
    """Return what comes first, and a function that makes pieces of about a size to repeat after it."""
    close, chunked = "Connection: close", "Transfer-Encoding: chunked"
    whole = b"".join(make_event(number) for number in range(1, events + 1))
    plain = make_head(200, request, close)
    framed = make_head(200, request, chunked)
    chunk = f"{len(whole):x}\r\n".encode() + whole + b"\r\n"
    openings = {
        Endless.HEAD: b"HTTP/1.1 200 OK\r\nX-Filler: ",
        Endless.HEADERS: b"HTTP/1.1 200 OK\r\n",
        Endless.REASON: b"HTTP/1.1 200 ",
        Endless.INFORMATIONAL: b"",
        Endless.BODY: plain,
        Endless.FAILURE: make_head(500, request, close),
        Endless.CHUNK_SIZE: framed,
        Endless.CHUNK_EXTENSION: framed + b"1;x=",
        Endless.TRAILER: framed + chunk + b"0\r\n",
        Endless.FOREIGN: make_head(200, "another", close),
        Endless.EVENT: plain + b"id: 1\ndata: ",
        Endless.COMMENT: plain + b": ",
        Endless.COMMENTS: plain,
        Endless.EVENTS: plain,
        Endless.AFTERWARDS: make_head(200, request, f"Content-Length: {len(whole)}") + whole,
    }
    units = {
        Endless.HEADERS: b"X-Filler: x\r\n",
        Endless.INFORMATIONAL: b"HTTP/1.1 103 Early Hints\r\n\r\n",
        Endless.CHUNK_SIZE: b"0",
        Endless.TRAILER: b"X-Filler: x\r\n",
        Endless.COMMENTS: b": x\n\n",
        Endless.EVENTS: make_event(1),
    }
    numbers = itertools.count(1)

    def make_numbered(size: int) -> bytes:
        padding = size // NUMBERED_EVENTS
        return b"".join(make_event(next(numbers), padding) for _ in range(NUMBERED_EVENTS))

    if manner is Endless.NUMBERED:
        return plain, make_numbered
    if manner is Endless.HELD:
        return plain + b"id: 1\ndata: " + b"x" * HELD_BYTES, lambda _: b""
    unit = units.get(manner, b"x")
    return openings[manner], lambda size: unit * max(1, size // len(unit))
