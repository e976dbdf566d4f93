"""Tests of what the project's own daemon holds of responses that do not end."""

import asyncio
import time
import tracemalloc
from collections.abc import Awaitable, Callable
from typing import Final

import orjson
import pytest
from result import Err, Result

from goldcreststair.components.online.stream import StreamRecorder
from goldcreststair.const import BYTES_PER_MB, HEADER_REQUEST_ID
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.http import create_upstream_clients
from goldcreststair.upstreams.models import GenerateCall, ServiceCall, StreamChunk, Upstream
from goldcreststair.upstreams.protocols import UpstreamClients
from standins.virtual_time import ManualClock

CALLS: Final = 8
REQUEST_ID: Final = "r1"
PIECE: Final = b"x" * 65_536
SENT_MB: Final = 24
"""What the upstream sends on each connection, and then nothing."""
HELD_MB: Final = 32
TIMEOUT_MS: Final = 20_000
MOST_S: Final = 5.0

Call = Callable[[UpstreamClients, Upstream], Awaitable[Result[object, UpstreamError]]]


class Sink:
    """Takes every chunk at once."""

    async def async_accept(self, _: StreamChunk) -> None:
        """Accept a chunk."""


def make_event(index: int) -> bytes:
    """Return one event of a stream."""
    data = orjson.dumps({"choices": [{"index": 0, "text": "x" * 4096}]})
    return b"id: %d\ndata: %s\n\n" % (index, data)


async def async_answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Begin to answer, and send until the connection is closed or enough has been sent."""
    head = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n", 1)[0]
    opening = f"HTTP/1.1 200 OK\r\n{HEADER_REQUEST_ID}: {REQUEST_ID}\r\n"
    framing = "Transfer-Encoding: chunked" if b"chunks" in head else "Content-Length: 900000000"
    streams = b"stream" in head
    sent = index = 0
    try:
        writer.write(f"{opening}{framing}\r\n\r\n".encode())
        while sent < SENT_MB * BYTES_PER_MB:
            piece = PIECE
            if streams:
                piece = b"".join(make_event(index + each) for each in range(16))
                index += 16
            sent += len(piece)
            writer.write(piece if b"chunks" not in head else b"%x\r\n%s\r\n" % (len(piece), piece))
            await writer.drain()
        await reader.read()
    except ConnectionError:
        pass
    finally:
        writer.close()


def make_service_call(path: str) -> Call:
    """Return a call of a plain service."""
    call = ServiceCall(REQUEST_ID, "POST", path, b"", TIMEOUT_MS)
    return lambda clients, upstream: clients.services.async_call(upstream, call)


def make_generation(path: str, stream: bool) -> Call:
    """Return a generation whose text is kept for a resumption."""
    call = GenerateCall(REQUEST_ID, path, b"{}", stream, TIMEOUT_MS)
    return lambda clients, upstream: clients.engines.async_generate(
        upstream, call, StreamRecorder(Sink(), ManualClock())
    )


@pytest.mark.parametrize(
    "call",
    [
        pytest.param(make_service_call("/length"), id="service with a length"),
        pytest.param(make_service_call("/chunks"), id="service in chunks"),
        pytest.param(make_generation("/length", False), id="answer with a length"),
        pytest.param(make_generation("/chunks", False), id="answer in chunks"),
        pytest.param(make_generation("/stream/length", True), id="stream with a length"),
        pytest.param(make_generation("/stream/chunks", True), id="stream in chunks"),
    ],
)
def test_responses_without_end_are_bounded_together(call: Call) -> None:
    """Guards against a daemon that holds all that upstreams send until its memory is used up."""

    async def async_test() -> list[Result[object, UpstreamError]]:
        server = await asyncio.start_server(async_answer, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        upstream = Upstream("u1", f"{host}:{port}", "dc1")
        clients = create_upstream_clients(HELD_MB * BYTES_PER_MB)
        calls = [asyncio.ensure_future(_async_call(clients, upstream)) for _ in range(CALLS)]
        done, pending = await asyncio.wait(calls, timeout=MOST_S)
        for each in pending:
            each.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        server.close()
        return [each.result() for each in done]

    async def _async_call(
        clients: UpstreamClients, upstream: Upstream
    ) -> Result[object, UpstreamError]:
        return await call(clients, upstream)

    tracemalloc.start()
    began_at = time.monotonic()
    outcomes = asyncio.run(async_test())
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    print(
        f"{len(outcomes)} ended, {time.monotonic() - began_at:.1f} s, {peak / BYTES_PER_MB:.1f} MB"
    )
    assert peak < 2 * HELD_MB * BYTES_PER_MB
    assert all(isinstance(each, Err) for each in outcomes)
    failures = {each.err_value.failure for each in outcomes if isinstance(each, Err)}
    assert failures == {UpstreamFailure.INCOMPLETE}
