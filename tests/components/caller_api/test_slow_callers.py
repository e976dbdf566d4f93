"""Test that callers that read slowly get the complete response."""

import asyncio
import socket
from types import SimpleNamespace
from typing import Any, cast

import orjson
import pytest
from result import Ok, Result
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, url

from goldcreststair.components.caller_api import views
from goldcreststair.components.keys.protocols import KEYS
from goldcreststair.components.online.service import ONLINE
from goldcreststair.helpers.refusals import Refusal
from goldcreststair.upstreams.models import GenerateEnd, StreamChunk
from goldcreststair.upstreams.protocols import StreamSink
from tests.helpers.cores import make_core

EVENT = b"data: " + b"x" * 1000 + b"\n\n"
EVENTS = 24_000
WAIT_S = 20.0


class LargeResponses:
    """Sends more than the buffers of a connection hold, then one more event."""

    async def async_generate(self, _: object, sink: StreamSink) -> Result[GenerateEnd, Refusal]:
        await sink.async_accept(StreamChunk(EVENT * EVENTS, EVENTS, EVENTS - 1))
        await sink.async_accept(StreamChunk(EVENT, 1, EVENTS))
        return Ok(GenerateEnd(b"", EVENTS + 1, EVENTS))


async def async_read_slowly(port: int) -> bytes:
    body = orjson.dumps({"model": "small", "prompt": "x", "stream": True})
    head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n"
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(head % len(body) + body)
    await asyncio.sleep(0.5)
    data = await reader.read()
    writer.close()
    return data


def test_slow_caller_gets_the_complete_response(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a slow caller that gets keep-alive comments for good instead of the end."""
    monkeypatch.setattr(views, "KEEP_ALIVE_MS", 50)

    async def async_test() -> None:
        core = make_core()
        core.offer(KEYS, cast(Any, SimpleNamespace(identify=lambda _: Ok("acme"))))
        core.offer(ONLINE, cast(Any, LargeResponses()))
        route = url("/v1/completions", views.GenerateHandler, {"core": core})
        server = HTTPServer(Application([route]))
        sockets = bind_sockets(0, "127.0.0.1", socket.AF_INET)
        server.add_sockets(sockets)
        async with asyncio.timeout(WAIT_S):
            data = await async_read_slowly(sockets[0].getsockname()[1])
        assert data.count(EVENT) == EVENTS + 1
        assert b"data: [DONE]" in data
        server.stop()
        await server.close_all_connections()

    asyncio.run(async_test())
