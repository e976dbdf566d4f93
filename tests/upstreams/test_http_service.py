"""Tests of the HTTP client for plain services over a real connection."""

import asyncio

import pytest
from result import Err
from tornado.httpserver import HTTPServer
from tornado.testing import bind_unused_port
from tornado.web import Application, RequestHandler

from goldcreststair.upstreams.errors import UpstreamFailure
from goldcreststair.upstreams.http_engine import HEADER_NOT_RUN
from goldcreststair.upstreams.http_service import HttpServiceClient
from goldcreststair.upstreams.models import ServiceCall, Upstream


class NotRunHandler(RequestHandler):
    def post(self, status: str) -> None:
        self.set_status(int(status))
        self.set_header(HEADER_NOT_RUN, "true")
        self.finish(b"booked")


@pytest.mark.parametrize(
    ("status", "failure"),
    [
        (200, UpstreamFailure.INCOMPLETE),
        (201, UpstreamFailure.INCOMPLETE),
        (302, UpstreamFailure.INCOMPLETE),
        (400, UpstreamFailure.REFUSED),
        (429, UpstreamFailure.REFUSED),
        (503, UpstreamFailure.REFUSED),
    ],
)
def test_a_success_is_no_proof_that_a_call_has_not_run(
    status: int, failure: UpstreamFailure
) -> None:
    """A booking ran once more elsewhere, as a service answered it with success and "not run"."""

    async def async_test() -> None:
        socket, port = bind_unused_port()
        server = HTTPServer(Application([(r"/(\d+)", NotRunHandler)]))
        server.add_socket(socket)
        upstream = Upstream("s1", f"127.0.0.1:{port}", "dc1")
        call = ServiceCall("r1", "POST", f"/{status}", b"", 2_000)
        answered = await HttpServiceClient().async_call(upstream, call)
        assert isinstance(answered, Err) and answered.err_value.failure is failure
        assert answered.err_value.not_run is (failure is UpstreamFailure.REFUSED)
        server.stop()
        await server.close_all_connections()

    asyncio.run(async_test())
