"""Accepts the connections of clients at one port, as streams whose bytes are counted."""

import socket
from collections.abc import Callable
from typing import Any, Protocol

from tornado.netutil import add_accept_handler

from goldcreststair.client_limits.const import RECEIVE_BUFFER_BYTES
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.stream import ClientStream


class StreamHandler(Protocol):
    """Serves accepted streams; tornado's servers are such."""

    def handle_stream(self, stream: Any, address: Any) -> Any:
        """Serve one connection."""


class ClientListener:
    """Accepts connections at one port on behalf of a server."""

    def __init__(
        self,
        budget: ClientBudget,
        port: str,
        server: StreamHandler,
        *,
        max_buffer_bytes: int | None = None,
    ) -> None:
        """Accept for `server`; `port` names the port in logs."""
        self._budget = budget
        self._port = port
        self._server = server
        self._max_buffer_bytes = max_buffer_bytes
        self._listening: list[tuple[socket.socket, Callable[[], None]]] = []

    def start(self, sockets: list[socket.socket]) -> None:
        """Accept connections, including those already queued on the sockets."""
        for listening in sockets:
            # Inherited by the connections; what they may send unread is not counted.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._listening.append((listening, add_accept_handler(listening, self._on_accept)))

    def close(self) -> None:
        """Accept no more connections; safe to call twice."""
        for listening, stop in self._listening:
            stop()
            listening.close()
        self._listening.clear()

    def _on_accept(self, opened: socket.socket, address: object) -> None:
        stream = ClientStream(
            opened, self._budget, self._port, max_buffer_bytes=self._max_buffer_bytes
        )
        self._server.handle_stream(stream, address)
