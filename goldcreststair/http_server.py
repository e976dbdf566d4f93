"""The daemon's HTTP server, which knows what it is answering and can stop without cutting it."""

from __future__ import annotations

import logging
import socket
from typing import Any, Final
from weakref import WeakSet

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPHeaders, HTTPServerRequest
from tornado.web import Application, OutputTransform

from goldcreststair.components.shutdown.models import SHUTDOWN
from goldcreststair.core import Core

_LOGGER = logging.getLogger(__name__)

MAX_BODY_BYTES: Final = 512 * 1024 * 1024
DRAIN_CHECK_MS: Final = 50


class _Answer(OutputTransform):
    """Follows one answer from the start of its handler to its last byte."""

    def __init__(self, server: DaemonServer, request: HTTPServerRequest) -> None:
        super().__init__(request)
        self._server = server
        self._stream: Any = getattr(request.connection, "stream", None)
        self._finished = False
        server.answers.add(self)

    @property
    def running(self) -> bool:
        """Return whether a byte of the answer is still to come."""
        if self._stream is None or self._stream.closed():
            return False
        return not self._finished or self._stream.writing()

    def transform_first_chunk(
        self, status_code: int, headers: HTTPHeaders, chunk: bytes, finishing: bool
    ) -> tuple[int, HTTPHeaders, bytes]:
        """Ask the caller to close the connection while this VM leaves."""
        if self._server.leaving:
            headers["Connection"] = "close"
        self._finished = finishing
        return status_code, headers, chunk

    def transform_chunk(self, chunk: bytes, finishing: bool) -> bytes:
        """Note the last piece."""
        self._finished = finishing
        return chunk


class DaemonServer:
    """Serves the core's routes; implements `Drainable`."""

    def __init__(self, core: Core) -> None:
        """Take the routes that components added."""
        self.answers: WeakSet[_Answer] = WeakSet()
        self._core = core
        application = Application(core.routes)
        application.transforms.append(self._follow)  # type: ignore[arg-type]
        self._server = HTTPServer(application, max_body_size=MAX_BODY_BYTES)
        core.drainables.append(self)

    @property
    def leaving(self) -> bool:
        """Return whether this daemon leaves."""
        shutdown = self._core.blackboard.find(SHUTDOWN)
        return shutdown is not None and shutdown.leaving

    def start(self, sockets: list[socket.socket]) -> None:
        """Accept connections."""
        self._server.add_sockets(sockets)

    def count_running(self) -> int:
        """Return how many answers are not whole yet."""
        return sum(answer.running for answer in self.answers)

    async def async_drain(self, deadline_ms: int) -> None:
        """Stop accepting, and wait until every answer under way is sent."""
        # A caller that connects from now on is refused by its system: nothing was sent, so it may
        # ask another VM without fear of a second run.
        self._server.stop()
        while self.count_running() and self._core.clock.now() < deadline_ms:
            await self._core.clock.async_sleep(DRAIN_CHECK_MS)
        if self.count_running():
            _LOGGER.warning("%d answers cut at the end of the drain", self.count_running())

    async def async_close(self) -> None:
        """Close all connections."""
        self._server.stop()
        await self._server.close_all_connections()

    def _follow(self, request: HTTPServerRequest) -> _Answer:
        return _Answer(self, request)
