"""Accepts the connections of clients at one port, as streams whose bytes are counted."""

import logging
import socket
from typing import Any, Protocol

from tornado.ioloop import IOLoop

from goldcreststair.client_limits.const import (
    ACCEPT_PAUSE_MS,
    ACCEPTS_PER_STEP,
    RECEIVE_BUFFER_BYTES,
)
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.stream import ClientStream
from goldcreststair.const import MS_PER_SECOND

_LOGGER = logging.getLogger(__name__)


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
        self._listening: set[socket.socket] = set()

    def start(self, sockets: list[socket.socket]) -> None:
        """Accept connections, including those already queued on the sockets."""
        for listening in sockets:
            listening.setblocking(False)
            # Inherited by the connections; what they may send unread is not counted.
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            self._listening.add(listening)
            self._resume(listening)

    def stop_accepting(self) -> None:
        """Accept the connections that the kernel has queued, and no more.

        Closing the socket would reset queued connections, although their requests may have arrived.
        """
        for listening in tuple(self._listening):
            while self._accept_queued(listening):
                pass
        self.close()

    def close(self) -> None:
        """Accept no more connections; safe to call twice."""
        for listening in self._listening:
            IOLoop.current().remove_handler(listening)
            listening.close()
        self._listening.clear()

    def _accept_all(self, listening: socket.socket, _events: int) -> None:
        self._accept_queued(listening)

    def _accept_queued(self, listening: socket.socket) -> bool:
        """Accept up to `ACCEPTS_PER_STEP` connections; return whether more may be queued."""
        for _ in range(ACCEPTS_PER_STEP):
            try:
                opened, address = listening.accept()
            except BlockingIOError:
                return False
            except ConnectionAbortedError:
                continue
            except OSError as error:
                _LOGGER.warning("Accept failed", extra={"port": self._port, "reason": str(error)})
                self._pause(listening)
                return False
            self._accept(opened, address)
        return True

    def _accept(self, opened: socket.socket, address: object) -> None:
        if not self._budget.make_room():
            self._budget.count_rejected(self._port)
            opened.close()
            return
        stream = ClientStream(
            opened, self._budget, self._port, max_buffer_bytes=self._max_buffer_bytes
        )
        self._server.handle_stream(stream, address)

    def _pause(self, listening: socket.socket) -> None:
        # The socket stays readable; without a pause the loop would do nothing else.
        IOLoop.current().remove_handler(listening)
        self._budget.close_silent()
        IOLoop.current().call_later(ACCEPT_PAUSE_MS / MS_PER_SECOND, self._resume, listening)

    def _resume(self, listening: socket.socket) -> None:
        if listening in self._listening:
            IOLoop.current().add_handler(listening, self._accept_all, IOLoop.READ)
