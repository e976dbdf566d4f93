"""Connections of callers at the end of a drain."""

import asyncio

import pytest
from tornado.netutil import bind_sockets
from tornado.routing import PathMatches, Rule
from tornado.web import RequestHandler

from goldcreststair.http_server import DaemonServer
from tests.helpers.cores import make_core

REQUEST = b"GET /x HTTP/1.1\r\nHost: x\r\n\r\n"


class WholeHandler(RequestHandler):
    """Counts the requests and answers them."""

    served = 0

    def get(self) -> None:
        """Answer at once."""
        WholeHandler.served += 1
        self.finish("whole")


async def async_read_head(reader: asyncio.StreamReader) -> bytes:
    """Return the head of a response."""
    return await reader.readuntil(b"\r\n\r\n")


def test_a_request_on_a_kept_connection_after_the_drain_does_not_begin() -> None:
    """Guards against a request that begins once no other is awaited, and is cut when the daemon ends."""

    async def async_test() -> None:
        core = make_core()
        core.routes.append(Rule(PathMatches("/x"), WholeHandler))
        server = DaemonServer(core)
        sockets = bind_sockets(0, "127.0.0.1")
        server.start(sockets)
        host, port = sockets[0].getsockname()
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(REQUEST)
        assert b"200" in await async_read_head(reader)
        await reader.readexactly(len(b"whole"))
        await server.async_drain(core.clock.now() + 5_000)
        writer.write(REQUEST)
        with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
            await async_read_head(reader)
        assert WholeHandler.served == 1
        writer.close()
        await server.async_close()

    asyncio.run(async_test())
