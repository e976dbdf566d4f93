"""The HTTP route for addresses."""

import orjson
import pytest
from tornado.httputil import HTTPHeaders, HTTPServerRequest, RequestStartLine
from tornado.web import Application

from goldcreststair.components import configuration, keys, steering
from goldcreststair.components.configuration.controller import CONFIGURATION_FOLLOWER
from goldcreststair.components.steering.views import AddressesHandler
from tests.helpers.cores import make_configuration, make_core
from tests.helpers.virtual_time import run_virtual


class Connection:
    """Records a response without a socket."""

    def __init__(self) -> None:
        self.status = 0
        self.body = b""

    def set_close_callback(self, callback: object) -> None:
        """Ignore the callback."""

    def write_headers(
        self, start_line: RequestStartLine, headers: HTTPHeaders, chunk: bytes = b""
    ) -> None:
        self.status = start_line.code  # type: ignore[attr-defined]
        self.body += chunk

    def finish(self) -> None:
        """Do nothing at the end of the response."""


@pytest.mark.parametrize(("key", "status"), [("key-acme", 200), ("wrong", 401), ("", 401)])
def test_addresses_require_a_valid_key(key: str, status: int) -> None:
    async def async_test() -> None:
        core = make_core()
        core.http_port = 8080
        for component in (configuration, keys, steering):
            await component.async_setup(core)
        core.get(CONFIGURATION_FOLLOWER).apply(make_configuration())
        connection = Connection()
        request = HTTPServerRequest(
            headers=HTTPHeaders({"Authorization": f"Bearer {key}", "Host": "vm"}),
            connection=connection,  # type: ignore[arg-type]
            start_line=RequestStartLine("GET", "/v1/addresses", "HTTP/1.1"),
        )
        handler = AddressesHandler(Application(), request, core=core)
        await handler._execute([])
        assert connection.status == status
        if status == 200:
            answer = orjson.loads(connection.body)
            assert answer == {"addresses": ["127.0.0.1:8080"], "lifetime_s": 20}

    run_virtual(async_test())
