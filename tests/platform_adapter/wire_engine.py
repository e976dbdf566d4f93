"""An engine that writes its answers byte by byte, so that it can produce any kind of wrong answer."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

PIECE_GAP_S: Final = 0.02
"""Time between two pieces that are to be read apart."""
STALL_S: Final = 1.2
EARLY_S: Final = 0.2
"""Time between an early answer and the rest of the body."""
LATE_READ_S: Final = 3.0
"""Longer than sent bytes may remain unacknowledged."""


class EngineFault(StrEnum):
    """A fault of an engine in one answer."""

    NONE = "none"
    EXTRA = "extra"
    """Sends a complete second answer, which belongs to no request."""
    EXTRA_LATE = "extra_late"
    """The same, but after the next request has arrived, before its answer."""
    CUT = "cut"
    """Closes the connection in the middle of an event."""
    UNFRAMED = "unframed"
    """Sends no length; the answer ends with its connection."""
    UNFRAMED_CRASH = "unframed_crash"
    """The same, and the engine ends after its first event: it accepts no more connections."""
    UNFRAMED_RESET = "unframed_reset"
    """The same, and the connection is reset before its end."""
    FAILED_TWICE = "failed_twice"
    """Answers a failure, and sends it once more before its next answer."""
    ODD_STATUS = "odd_status"
    """Answers with a status that is not registered."""
    GARBAGE = "garbage"
    """Sends bytes that are not an HTTP answer."""
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    CLOSES = "closes"
    """Answers correctly, then closes the connection."""
    EARLY = "early"
    """Answers a failure before it has read the body, and continues to read."""
    SILENT = "silent"
    """Sends no answer."""
    HEAD_STATUS = "head_status"
    """Closes the connection behind its status line."""
    HEAD_INSIDE = "head_inside"
    """Closes the connection inside a header."""
    HEAD_LAST_TWO = "head_last_two"
    """Closes the connection two bytes before the end of its head."""
    HEAD_LAST_ONE = "head_last_one"
    """The same, one byte before it."""
    SHORT = "short"
    """Announces a length, and closes the connection before it has sent as much."""
    READS_LATE = "reads_late"
    """Sends events for some seconds before it reads the body."""
    STALLS_IN_FRAMING = "stalls_in_framing"
    """Pauses before the size of each chunk, which it sends apart from the chunks."""


@dataclass(slots=True)
class SeenRequest:
    """One request as it arrived."""

    start_line: str
    headers: dict[str, str]
    body: bytes
    connection: int


@dataclass(slots=True)
class WireEngine:
    """An engine that listens on one port."""

    name: str = "i-1"
    events: int = 3
    padding: int = 0
    """Bytes added to each event."""
    pause_s: float = 0.0
    """Time between events, s; 0 sends the whole answer at once."""
    faults: list[EngineFault] = field(default_factory=list)
    """Faults of the next answers, in order; later answers are correct."""
    seen: list[SeenRequest] = field(default_factory=list)
    address: str = ""
    connections: int = 0
    _server: asyncio.Server | None = None
    _late: dict[int, bytes] = field(default_factory=dict)
    """By connection, what is sent before its next answer."""

    async def async_start(self) -> None:
        """Listen on any free port."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def async_close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        number = self.connections
        try:
            while await self._async_answer(reader, writer, number):
                pass
        except (asyncio.IncompleteReadError, asyncio.CancelledError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if line)
        fault = self.faults.pop(0) if self.faults else EngineFault.NONE
        request_id = headers.get("Request-Id", "")
        if fault is EngineFault.EARLY:
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(make_head(500, request_id, "Content-Length: 3") + b"bad")
            await asyncio.sleep(EARLY_S)
            writer.transport.resume_reading()  # type: ignore[attr-defined]
        if fault is EngineFault.READS_LATE:
            return await self._async_read_late(reader, writer, head[0], headers)
        body = await reader.readexactly(int(headers.get("Content-Length", "0")))
        self.seen.append(SeenRequest(head[0], headers, body, number))
        if fault is EngineFault.EARLY:
            return True
        writer.write(self._late.pop(number, b""))
        answers: dict[EngineFault, Callable[..., Awaitable[bool]]] = {
            EngineFault.CUT: self._async_cut,
            EngineFault.UNFRAMED: self._async_unframed,
            EngineFault.UNFRAMED_CRASH: self._async_unframed_crash,
            EngineFault.UNFRAMED_RESET: self._async_unframed_reset,
            EngineFault.GARBAGE: self._async_garbage,
            EngineFault.ODD_STATUS: self._async_odd_status,
            EngineFault.NOT_RUN: self._async_not_run,
            EngineFault.MISDIRECTED: self._async_misdirected,
            EngineFault.SILENT: self._async_silent,
            EngineFault.HEAD_STATUS: self._async_head_status,
            EngineFault.HEAD_INSIDE: self._async_head_inside,
            EngineFault.HEAD_LAST_TWO: self._async_head_last_two,
            EngineFault.HEAD_LAST_ONE: self._async_head_last_one,
            EngineFault.SHORT: self._async_short,
            EngineFault.STALLS_IN_FRAMING: self._async_stall_in_framing,
        }
        first = int(headers.get("Last-Event-Id", "0")) + 1
        faulty = answers.get(fault)
        if faulty is not None:
            return await faulty(writer, request_id, first)
        if fault is EngineFault.FAILED_TWICE:
            self._late[number] = make_head(500, request_id, "Content-Length: 3") + b"bad"
            writer.write(self._late[number])
            return True
        if self.pause_s:
            return await self._async_slow(writer, request_id, first)
        closes = "Connection: close\r\n" if fault is EngineFault.CLOSES else ""
        writer.write(make_stream(request_id, first, self.events, closes, self.padding))
        if fault is EngineFault.EXTRA:
            writer.write(make_stream("other", 1, 2))
        if fault is EngineFault.EXTRA_LATE:
            self._late[number] = make_stream("other", 1, 2)
        await writer.drain()
        return fault is not EngineFault.CLOSES

    async def _async_slow(self, writer: asyncio.StreamWriter, request_id: str, first: int) -> bool:
        whole = make_stream(request_id, first, self.events)
        for piece in whole.splitlines(keepends=True):
            if piece.startswith(b"id: "):
                await asyncio.sleep(self.pause_s)
            writer.write(piece)
            await writer.drain()
        return True

    async def _async_cut(self, writer: asyncio.StreamWriter, request_id: str, first: int) -> bool:
        whole = make_stream(request_id, first, self.events)
        writer.write(whole[:-40])
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.write(whole[-40:-20])
        await writer.drain()
        return False

    async def _async_unframed(
        self, writer: asyncio.StreamWriter, request_id: str, first: int
    ) -> bool:
        writer.write(make_head(200, request_id, "Connection: close"))
        for event in range(first, self.events + 1):
            writer.write(make_event(event))
        await writer.drain()
        return False

    async def _async_unframed_crash(
        self, writer: asyncio.StreamWriter, request_id: str, first: int
    ) -> bool:
        writer.write(make_head(200, request_id, "Connection: close") + make_event(first))
        await writer.drain()
        await self.async_close()
        return False

    async def _async_unframed_reset(
        self, writer: asyncio.StreamWriter, request_id: str, first: int
    ) -> bool:
        writer.write(make_head(200, request_id, "Connection: close") + make_event(first))
        await writer.drain()
        await asyncio.sleep(0.02)
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()
        return False

    async def _async_garbage(self, writer: asyncio.StreamWriter, *_: object) -> bool:
        writer.write(b"\x00\x01 this is no answer\r\n\r\n")
        await writer.drain()
        return False

    async def _async_odd_status(
        self, writer: asyncio.StreamWriter, request_id: str, _: int
    ) -> bool:
        writer.write(make_head(499, request_id, "Content-Length: 3") + b"odd")
        await writer.drain()
        return True

    async def _async_not_run(self, writer: asyncio.StreamWriter, request_id: str, _: int) -> bool:
        writer.write(make_head(503, request_id, "Not-Run: 1\r\nContent-Length: 0"))
        await writer.drain()
        return True

    async def _async_misdirected(
        self, writer: asyncio.StreamWriter, request_id: str, _: int
    ) -> bool:
        writer.write(make_head(421, request_id, "Instance-Id: i-9\r\nContent-Length: 0"))
        await writer.drain()
        return True

    async def _async_silent(self, *_: object) -> bool:
        await asyncio.sleep(30)
        return False

    async def _async_head_status(
        self, writer: asyncio.StreamWriter, request_id: str, _: int
    ) -> bool:
        head = make_head(200, request_id, "Content-Length: 0")
        return await self._async_close_after(writer, head[: head.index(b"\r\n") + 2])

    async def _async_head_inside(
        self, writer: asyncio.StreamWriter, request_id: str, _: int
    ) -> bool:
        head = make_head(200, request_id, "Connection: close")
        return await self._async_close_after(writer, head[: len(head) // 2])

    async def _async_head_last_two(
        self, writer: asyncio.StreamWriter, request_id: str, _: int
    ) -> bool:
        return await self._async_close_after(
            writer, make_head(200, request_id, "Connection: close")[:-2]
        )

    async def _async_head_last_one(
        self, writer: asyncio.StreamWriter, request_id: str, _: int
    ) -> bool:
        return await self._async_close_after(
            writer, make_head(200, request_id, "Connection: close")[:-1]
        )

    async def _async_short(self, writer: asyncio.StreamWriter, request_id: str, first: int) -> bool:
        event = make_event(first)
        head = make_head(200, request_id, f"Content-Length: {2 * len(event)}")
        return await self._async_close_after(writer, head + event)

    async def _async_read_late(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        start_line: str,
        headers: dict[str, str],
    ) -> bool:
        number = self.connections
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(make_head(200, headers["Request-Id"], "Transfer-Encoding: chunked"))
        for event in range(1, self.events + 1):
            writer.write(make_chunk(make_event(event)))
            await asyncio.sleep(LATE_READ_S / self.events)
        writer.transport.resume_reading()  # type: ignore[attr-defined]
        body = await reader.readexactly(int(headers["Content-Length"]))
        self.seen.append(SeenRequest(start_line, headers, body, number))
        writer.write(b"0\r\n\r\n")
        return True

    async def _async_stall_in_framing(
        self, writer: asyncio.StreamWriter, request_id: str, first: int
    ) -> bool:
        writer.write(make_head(200, request_id, "Transfer-Encoding: chunked"))
        for number in range(first, self.events + 1):
            event = make_event(number)
            for piece in (f"{len(event):x}\r\n".encode(), event, b"\r\n"):
                writer.write(piece)
                await asyncio.sleep(PIECE_GAP_S)
            await asyncio.sleep(STALL_S)
        writer.write(b"0\r\n\r\n")
        return True

    async def _async_close_after(self, writer: asyncio.StreamWriter, data: bytes) -> bool:
        writer.write(data)
        await writer.drain()
        return False


def make_event(number: int, padding: int = 0) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: word{number}{'x' * padding}\n\n".encode()


def make_head(status: int, request_id: str, more: str) -> bytes:
    """Return the head of an answer, with the headers `more`."""
    return (
        f"HTTP/1.1 {status} X\r\nRequest-Id: {request_id}\r\nResponse-Stamp: s\r\n"
        f"Server-Load: 3,1,8\r\nKeep-Alive: timeout=10\r\n{more}\r\n\r\n"
    ).encode()


def make_chunk(data: bytes) -> bytes:
    """Return a chunk of an answer without a length."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def make_stream(
    request_id: str, first: int, events: int, more: str = "", padding: int = 0
) -> bytes:
    """Return a complete streamed answer."""
    head = make_head(200, request_id, f"{more}Transfer-Encoding: chunked")
    chunks = []
    for number in range(first, events + 1):
        chunks.append(make_chunk(make_event(number, padding)))
    return head + b"".join(chunks) + b"0\r\n\r\n"
