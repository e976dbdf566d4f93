"""How callers send a request and read its answer: bodies in chunks, late last chunks, slow readers, idle connections."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from typing import Final

from tests.platform_adapter.local import make_request

CHUNKED_SHARE: Final = 0.15
CHUNKS: Final = (1, 2, 5)
BODY_BYTES: Final = (0, 1_000, 90_000)
CHUNK_PAUSE_S: Final = (0.0, 0.05)
LAST_PAUSE_S: Final = (0.03, 0.3)
"""Shortest and longest time by which the last chunk comes behind."""
SLOW_SHARE: Final = 0.1
READ_PAUSE_S: Final = (0.05, 0.4)
"""Shortest and longest time that a slow reader does not read, each time."""
READ_S: Final = 0.02
PADDING: Final = 20_000
"""Bytes that are added to each event for a slow reader."""
IDLE_SHARE: Final = 0.1
IDLE_S: Final = (0.5, 4.0)
"""Shortest and longest time between an answer and the next request on its connection."""
DEADLINE_S: Final = 5.0
DEADLINES_S: Final = (DEADLINE_S, DEADLINE_S, 2.0, 1.0)
LAST_CHUNK: Final = b"0\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Manner:
    """How one request is sent and its answer is read."""

    chunk_pauses_s: tuple[float, ...] = ()
    """Time before each chunk of the body and before the last, empty one; none for a body with a length."""
    body_bytes: int = 0
    """Bytes that are added to the body."""
    read_pause_s: float = 0.0
    idle_s: float = 0.0
    """Time for which the connection is left alone before the next request."""
    deadline_s: float = DEADLINE_S

    @property
    def padding(self) -> int:
        """Return how many bytes are added to each event."""
        return PADDING if self.read_pause_s else 0


def choose_manner(chooser: random.Random) -> Manner:
    """Return the manner of one request.

    >>> chooser = random.Random(1)
    >>> manners = [choose_manner(chooser) for _ in range(100)]
    >>> [sum(map(bool, each)) for each in zip(*((m.chunk_pauses_s, m.read_pause_s, m.idle_s) for m in manners))]
    [14, 12, 5]
    """
    pauses: tuple[float, ...] = ()
    if chooser.random() < CHUNKED_SHARE:
        chunks = [chooser.uniform(*CHUNK_PAUSE_S) for _ in range(chooser.choice(CHUNKS))]
        pauses = (*chunks, chooser.uniform(*LAST_PAUSE_S))
    body_bytes = chooser.choice(BODY_BYTES) if pauses else 0
    read_pause_s = chooser.uniform(*READ_PAUSE_S) if chooser.random() < SLOW_SHARE else 0.0
    idle_s = chooser.uniform(*IDLE_S) if chooser.random() < IDLE_SHARE else 0.0
    deadline_s = chooser.choice(DEADLINES_S)
    return Manner(pauses, body_bytes, read_pause_s, idle_s, deadline_s)


async def async_send(
    writer: asyncio.StreamWriter, path: str, body: bytes, fields: Mapping[str, str], manner: Manner
) -> float:
    """Send a request; returns when its last byte was sent."""
    if not manner.chunk_pauses_s:
        writer.write(make_request("POST", path, body, fields))
        return time.monotonic()
    head = make_request("POST", path, b"", fields)
    writer.write(head.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked"))
    *pauses, last_pause_s = manner.chunk_pauses_s
    size = -(-len(body) // len(pauses))
    with contextlib.suppress(ConnectionError):
        for number, pause_s in enumerate(pauses):
            await asyncio.sleep(pause_s)
            chunk = body[number * size : (number + 1) * size]
            if chunk:
                writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
                await writer.drain()
        await asyncio.sleep(last_pause_s)
        writer.write(LAST_CHUNK)
    return time.monotonic()


@contextlib.asynccontextmanager
async def async_read_slowly(writer: asyncio.StreamWriter, manner: Manner) -> AsyncIterator[None]:
    """Stop reading from the connection again and again, if that is the manner."""
    if not manner.read_pause_s:
        yield
        return
    transport = writer.transport
    assert isinstance(transport, asyncio.Transport)
    task = asyncio.create_task(_async_pause_reading(transport, manner.read_pause_s))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def _async_pause_reading(transport: asyncio.Transport, pause_s: float) -> None:
    while not transport.is_closing():
        transport.pause_reading()
        try:
            await asyncio.sleep(pause_s)
        finally:
            transport.resume_reading()
        await asyncio.sleep(READ_S)
