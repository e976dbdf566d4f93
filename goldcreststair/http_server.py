"""The daemon's HTTP server, which tracks its responses and can stop without cutting them."""

from __future__ import annotations

import hmac
import logging
import socket
from typing import Any, Final
from weakref import WeakSet

from result import Ok
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, HTTPServerRequest
from tornado.web import Application, OutputTransform

from goldcreststair.client_limits.http import CountingServer
from goldcreststair.client_limits.listener import ClientListener
from goldcreststair.components.caller_api.const import BEARER
from goldcreststair.components.keys.protocols import KEYS
from goldcreststair.components.shutdown.models import SHUTDOWN
from goldcreststair.core import Core

_LOGGER = logging.getLogger(__name__)

MAX_BODY_BYTES: Final = 512 * 1024 * 1024
MAX_BODY_S: Final = 600
DRAIN_CHECK_MS: Final = 50


class _ResponseTracker(OutputTransform):
    """Tracks one response from the start of its handler to its last byte."""

    def __init__(self, server: DaemonServer, request: HTTPServerRequest) -> None:
        super().__init__(request)
        self._server = server
        self._stream: Any = getattr(request.connection, "stream", None)
        self._finished = False
        server.responses.add(self)

    @property
    def running(self) -> bool:
        """Return whether any byte of the response is still to be sent."""
        if self._stream is None or self._stream.closed():
            return False
        return not self._finished or self._stream.writing()

    def transform_first_chunk(
        self, status_code: int, headers: HTTPHeaders, chunk: bytes, finishing: bool
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Ask the caller to close the connection if this daemon is leaving."""
        if self._server.leaving:
            headers["Connection"] = "close"
        self._finished = finishing
        return status_code, headers, chunk

    def transform_chunk(self, chunk: bytes, finishing: bool) -> bytes:
        """Record whether this is the last chunk."""
        self._finished = finishing
        return chunk


class _TrackingServer(CountingServer):
    """Tracks its connections, so that all of them can be closed in one step."""

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        super().initialize(*args, **kwargs)
        self._open: set[Any] = set()

    def start_request(self, server_conn: Any, request_conn: Any) -> HTTPMessageDelegate:
        self._open.add(server_conn)
        return super().start_request(server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        self._open.discard(server_conn)

    def close_in_one_step(self) -> None:
        """Close all connections before any of them brings another request."""
        for connection in tuple(self._open):
            connection.stream.close()


class DaemonServer:
    """Serves the core's routes; implements `Drainable`."""

    def __init__(self, core: Core) -> None:
        """Create the server for the routes that the components have added."""
        self.responses: WeakSet[_ResponseTracker] = WeakSet()
        self._core = core
        application = Application(core.routes)
        application.transforms.append(self._track_response)  # type: ignore[arg-type]
        self._server = _TrackingServer(
            application,
            # Twice as much is held for a moment, when the parts of a body are joined.
            max_body_size=min(MAX_BODY_BYTES, core.clients.limits.large_bytes // 2),
            body_timeout=MAX_BODY_S,
            check_key=self._check_key,
        )
        self._listener = ClientListener(core.clients, "http", self._server)
        core.drainables.append(self)

    @property
    def leaving(self) -> bool:
        """Return whether this daemon is leaving."""
        shutdown = self._core.blackboard.find(SHUTDOWN)
        return shutdown is not None and shutdown.leaving

    def start(self, sockets: list[socket.socket]) -> None:
        """Accept connections on the sockets."""
        self._listener.start(sockets)

    def count_running(self) -> int:
        """Return the number of responses that are not completely sent."""
        return sum(response.running for response in self.responses)

    async def async_drain(self, deadline_ms: int) -> None:
        """Stop accepting connections, and wait until every active response is sent or the deadline.

        Connections are closed once no response is active; what came later would be cut.
        """
        # Connections from now on are refused by the operating system. Nothing was sent then, so the
        # caller may retry at another VM without risking a second run.
        self._listener.stop_accepting()
        # Only what was read counts as running.
        await self._core.clock.async_sleep(DRAIN_CHECK_MS)
        while self.count_running() and self._core.clock.now() < deadline_ms:
            await self._core.clock.async_sleep(DRAIN_CHECK_MS)
        if self.count_running():
            _LOGGER.warning("%d responses cut at the end of the drain", self.count_running())
        else:
            self._server.close_in_one_step()

    async def async_close(self) -> None:
        """Close all connections."""
        self._listener.close()
        self._server.close_in_one_step()
        await self._server.close_all_connections()

    def _check_key(self, headers: HTTPHeaders) -> bool:
        key = headers.get("Authorization", "").removeprefix(BEARER)
        if hmac.compare_digest(key.encode(), self._core.settings.operator_token.encode()):
            return True
        keys = self._core.find(KEYS)
        found = keys.identify(key) if keys is not None else None
        # A key that can't be looked up now may be valid, and its caller is to be told when to return.
        return found is not None and (isinstance(found, Ok) or found.err_value.temporary)

    def _track_response(self, request: HTTPServerRequest) -> _ResponseTracker:
        return _ResponseTracker(self, request)
