"""HTTP servers whose connections are counted for all clients together."""

from collections.abc import Awaitable
from typing import Any, Protocol

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.netutil import bind_sockets
from tornado.web import Application

from goldcreststair.client_limits.const import (
    ENDPOINT_BODY_S,
    ENDPOINT_BUFFER_BYTES,
    ENDPOINT_IDLE_S,
    MAX_ENDPOINT_BODY_BYTES,
    MAX_ENDPOINT_HEADER_BYTES,
    MAX_UNKNOWN_BODY_BYTES,
)
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.listener import ClientListener
from goldcreststair.client_limits.stream import ClientStream


class ClientServer(HTTPServer):
    """Separates the messages of its connections; its delegates count what they hold of a body."""

    def start_request(self, server_conn: Any, request_conn: Any) -> HTTPMessageDelegate:
        """Return the delegate that reads one request."""
        server_conn.stream.drop_if_gone()
        server_conn.stream.begin_message()
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: Any) -> None:
        """Free what was received on a connection that is closed."""
        super().on_close(server_conn)
        server_conn.stream.discard()


class KeyCheck(Protocol):
    """Tells clients with a key from others by the headers of a request."""

    def __call__(self, headers: HTTPHeaders) -> bool:
        """Return whether the client may send a long body."""


class CountingServer(ClientServer):
    """Counts what its handlers hold of a body that is not complete."""

    def initialize(self, *args: Any, check_key: KeyCheck | None = None, **kwargs: Any) -> None:
        """Serve like tornado's server; long bodies only for clients that `check_key` accepts."""
        super().initialize(*args, **kwargs)
        self._check_key = check_key

    def start_request(self, server_conn: Any, request_conn: Any) -> HTTPMessageDelegate:
        """Return the delegate that reads one request."""
        delegate = super().start_request(server_conn, request_conn)
        return _CountingDelegate(delegate, request_conn, self._check_key)


def count_body(request: HTTPServerRequest, size: int) -> None:
    """Record that `size` bytes are held of a body that its handler uses while it arrives."""
    stream = getattr(request.connection, "stream", None)
    if isinstance(stream, ClientStream):
        stream.set_message_bytes(size)


class _CountingDelegate(HTTPMessageDelegate):
    """Passes a request on, and counts its body."""

    def __init__(
        self, delegate: HTTPMessageDelegate, connection: Any, check_key: KeyCheck | None
    ) -> None:
        self._delegate = delegate
        self._connection = connection
        self._stream: ClientStream = connection.stream
        self._check_key = check_key

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> Awaitable[None] | None:
        if self._check_key is not None and not self._check_key(headers):
            self._connection.set_max_body_size(MAX_UNKNOWN_BODY_BYTES)
        awaitable = self._delegate.headers_received(start_line, headers)
        # The parts of a body are freed at once, not when the closing of the connection is noticed.
        self._stream.on_shed = self._delegate.on_connection_close
        return awaitable

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        self._stream.add_message_bytes(len(chunk))
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        if self._stream.end_message():
            self._delegate.finish()
        else:
            self._delegate.on_connection_close()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()


class EndpointServer:
    """Serves an application whose requests have no body, at one address."""

    def __init__(self, application: Application, budget: ClientBudget, port: str) -> None:
        """Create a server that does not listen yet; `port` names the port in logs."""
        self._server = CountingServer(
            application,
            max_body_size=MAX_ENDPOINT_BODY_BYTES,
            max_header_size=MAX_ENDPOINT_HEADER_BYTES,
            idle_connection_timeout=ENDPOINT_IDLE_S,
            body_timeout=ENDPOINT_BODY_S,
        )
        self._listener = ClientListener(
            budget, port, self._server, max_buffer_bytes=ENDPOINT_BUFFER_BYTES
        )

    def start(self, address: str, port: int) -> None:
        """Listen; raises `OSError` if the address cannot be bound."""
        self._listener.start(bind_sockets(port, address))

    def close(self) -> None:
        """Accept no more connections."""
        self._listener.close()
