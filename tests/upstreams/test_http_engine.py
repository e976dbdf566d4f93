"""The engines' HTTP adapter on a real connection."""

import asyncio

import pytest
from result import Ok
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from goldcreststair.const import HEADER_REQUEST_ID
from goldcreststair.upstreams import http_engine
from goldcreststair.upstreams.http_engine import (
    CONTROL_TIMEOUT_MS,
    MAX_KV_STATE_BYTES,
    HttpEngineClient,
)
from goldcreststair.upstreams.models import GenerateCall, GenerateEnd, Order, Upstream


class KvHandler(RequestHandler):
    def initialize(self, size: int) -> None:
        self.size = size

    def get(self) -> None:
        self.write(b"x" * self.size)


@pytest.mark.parametrize(
    ("size", "taken"), [(MAX_KV_STATE_BYTES, True), (MAX_KV_STATE_BYTES + 1, False)]
)
def test_huge_kv_state_is_not_taken_into_memory(size: int, taken: bool) -> None:
    """An engine gives out a stream's KV state itself, hundreds of megabytes of it.

    Several moves at once would take all memory of a small VM, and every request of it with them.
    """

    async def async_test() -> None:
        socket, port = bind_unused_port()
        server = HTTPServer(Application([(r"/requests/r1/kv", KvHandler, {"size": size})]))
        server.add_socket(socket)
        upstream = Upstream("e1", f"127.0.0.1:{port}", "dc1")
        exported = await HttpEngineClient().async_export_kv(upstream, "r1")
        assert isinstance(exported, Ok) is taken
        server.stop()
        await server.close_all_connections()

    asyncio.run(async_test())


class SlowOrderHandler(RequestHandler):
    async def post(self) -> None:
        await asyncio.sleep(CONTROL_TIMEOUT_MS / 1000 + 0.3)
        self.finish(b"null")


def test_load_that_takes_long_is_waited_for() -> None:
    """A model takes longer to load than other calls may take.

    Given up early, the load would be ordered again while it runs, and paid for at the weight
    store's rate each time, so that other engines wait for theirs.
    """

    async def async_test() -> None:
        socket, port = bind_unused_port()
        server = HTTPServer(Application([(r"/orders", SlowOrderHandler)]))
        server.add_socket(socket)
        upstream = Upstream("e1", f"127.0.0.1:{port}", "dc1")
        sent = await HttpEngineClient().async_send_order(
            upstream, Order("o1", 1, "load_model", "a")
        )
        assert isinstance(sent, Ok)
        server.stop()
        await server.close_all_connections()

    asyncio.run(async_test())


class StreamHandler(RequestHandler):
    def post(self) -> None:
        self.set_header(HEADER_REQUEST_ID, "r1")
        self.finish(b'id: 0\ndata: {"choices": []}\n\ndata: [DONE]\n\n')


class SlowSink:
    async def async_accept(self, _: object) -> None:
        await asyncio.sleep(0.5)


def test_slow_caller_is_not_taken_for_a_silent_engine(monkeypatch: pytest.MonkeyPatch) -> None:
    """A run is ended for its silence while the daemon itself keeps its next bytes waiting."""
    monkeypatch.setattr(http_engine, "IDLE_TIMEOUT_MS", 100)

    async def async_test() -> None:
        socket, port = bind_unused_port()
        server = HTTPServer(Application([(r"/v1/completions", StreamHandler)]))
        server.add_socket(socket)
        upstream = Upstream("e1", f"127.0.0.1:{port}", "dc1")
        call = GenerateCall("r1", "/v1/completions", b"{}", stream=True, timeout_ms=5000)
        outcome = await HttpEngineClient().async_generate(upstream, call, SlowSink())
        assert outcome == Ok(GenerateEnd(b"", 1, 0))
        server.stop()
        await server.close_all_connections()

    asyncio.run(async_test())
