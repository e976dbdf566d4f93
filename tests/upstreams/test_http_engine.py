"""Tests of the HTTP client for engines over a real connection."""

import asyncio
import time

import pytest
from result import Err, Ok
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from goldcreststair.const import HEADER_REQUEST_ID
from goldcreststair.http_exchange import HttpResponse
from goldcreststair.upstreams import http_engine
from goldcreststair.upstreams.errors import UpstreamFailure
from goldcreststair.upstreams.http_engine import (
    CONTROL_TIMEOUT_MS,
    HEADER_NOT_RUN,
    MAX_KV_STATE_BYTES,
    HttpEngineClient,
    convert_error_response,
)
from goldcreststair.upstreams.models import (
    GenerateCall,
    GenerateEnd,
    Order,
    StreamChunk,
    Upstream,
)


class KvHandler(RequestHandler):
    def initialize(self, size: int) -> None:
        self.size = size

    def get(self) -> None:
        self.write(b"x" * self.size)


@pytest.mark.parametrize(
    ("size", "accepted"), [(MAX_KV_STATE_BYTES, True), (MAX_KV_STATE_BYTES + 1, False)]
)
def test_huge_kv_state_is_not_read_into_memory(size: int, accepted: bool) -> None:
    """Guards against an engine that exports hundreds of megabytes of KV state.

    Several moves at once would use up the memory of a small VM and end all its requests.
    """

    async def async_test() -> None:
        socket, port = bind_unused_port()
        server = HTTPServer(Application([(r"/requests/r1/kv", KvHandler, {"size": size})]))
        server.add_socket(socket)
        upstream = Upstream("e1", f"127.0.0.1:{port}", "dc1")
        exported = await HttpEngineClient().async_export_kv(upstream, "r1")
        assert isinstance(exported, Ok) is accepted
        server.stop()
        await server.close_all_connections()

    asyncio.run(async_test())


@pytest.mark.parametrize("says_not_run", [False, True])
@pytest.mark.parametrize(
    ("status", "failure"),
    [
        (400, UpstreamFailure.REJECTED),
        (404, UpstreamFailure.REJECTED),
        (422, UpstreamFailure.REJECTED),
        (408, UpstreamFailure.LOST),
        (421, UpstreamFailure.LOST),
        (429, UpstreamFailure.LOST),
        (503, UpstreamFailure.LOST),
        (500, UpstreamFailure.LOST),
        (504, UpstreamFailure.LOST),
    ],
)
def test_only_the_word_of_an_upstream_shows_that_a_request_has_not_run(
    status: int, failure: UpstreamFailure, says_not_run: bool
) -> None:
    """A throttled request was answered as invalid, and a status alone was taken for "not run"."""
    headers = HTTPHeaders({HEADER_NOT_RUN: "true"} if says_not_run else {})
    error = convert_error_response(HttpResponse(status, headers, b"{}"))
    assert error.failure is (UpstreamFailure.REFUSED if says_not_run else failure)
    assert (error.not_run, error.status) == (says_not_run, status)


class SlowOrderHandler(RequestHandler):
    async def post(self) -> None:
        await asyncio.sleep(CONTROL_TIMEOUT_MS / 1000 + 0.3)
        self.finish(b"null")


def test_slow_model_load_is_awaited() -> None:
    """Guards against a timeout while a model loads, which takes longer than other calls may.

    The load would be ordered again while it still runs. Each load takes bandwidth of the weight store, so
    other engines would wait for their weights.
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
    """Guards against ending a run for silence while the daemon itself delays reading the next bytes."""
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


class EndlessHandler(RequestHandler):
    async def post(self) -> None:
        self.set_header(HEADER_REQUEST_ID, self.request.headers[HEADER_REQUEST_ID])
        while not self.request.connection.stream.closed():  # type: ignore[union-attr]
            self.write(b"x" * 65_536)
            await self.flush()


def test_an_event_without_end_ends_the_run() -> None:
    """Guards against an engine that sends one event until the daemon's memory is used up."""

    class Sink:
        async def async_accept(self, chunk: StreamChunk) -> None:
            raise AssertionError("no event is complete")

    async def async_test() -> None:
        socket, port = bind_unused_port()
        server = HTTPServer(Application([(r"/v1/.*", EndlessHandler)]))
        server.add_socket(socket)
        upstream = Upstream("e1", f"127.0.0.1:{port}", "dc1")
        call = GenerateCall("r1", "/v1/completions", b"{}", True, 5_000)
        began_at = time.monotonic()
        outcome = await HttpEngineClient().async_generate(upstream, call, Sink())
        assert isinstance(outcome, Err) and outcome.err_value.failure is UpstreamFailure.LOST
        assert time.monotonic() - began_at < 2
        server.stop()
        await server.close_all_connections()

    asyncio.run(async_test())
