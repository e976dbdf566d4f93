"""HTTP handlers of the callers' API, in the OpenAI format."""

import asyncio

from result import Err
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from goldcreststair.components.caller_api.const import KEEP_ALIVE_COMMENT, KEEP_ALIVE_MS
from goldcreststair.components.caller_api.errors import encode_refusal, make_field_refusal
from goldcreststair.components.caller_api.handler import CallerHandler
from goldcreststair.components.caller_api.parsing import parse_body, parse_deadline
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.online.models import GenerateRequest
from goldcreststair.components.online.service import ONLINE
from goldcreststair.components.shutdown.readiness import list_obstacles
from goldcreststair.const import HEADER_IDEMPOTENCY_KEY
from goldcreststair.core import Core
from goldcreststair.helpers.refusals import Refusal
from goldcreststair.upstreams.models import StreamChunk, UpstreamKind


class GenerateHandler(CallerHandler):
    """Handles chat and text completions."""

    _last_write_ms = 0

    def initialize(self, core: Core) -> None:
        """Store the core and create the lock that serialises writes."""
        super().initialize(core)
        self._write_lock = asyncio.Lock()

    async def post(self) -> None:
        """Run one completion request."""
        deadline = parse_deadline(self.request.headers)
        if isinstance(deadline, Err):
            self.refuse(make_field_refusal(deadline.err_value))
            return
        parsed = parse_body(self.request.path, self.request.body, self.key)
        if isinstance(parsed, Err):
            self.refuse(make_field_refusal(parsed.err_value))
            return
        body = parsed.ok_value
        request = GenerateRequest(
            request_id=self.request_id,
            identity=self.identity,
            path=self.request.path,
            body=body.forwarded,
            model=body.model,
            stream=body.stream,
            prefix=body.prefix,
            deadline_ms=deadline.ok_value,
            idempotency_key=self.request.headers.get(HEADER_IDEMPOTENCY_KEY, ""),
        )
        await self.async_run_until_closed(self._async_run(request))

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Send one chunk to the caller."""
        await self._async_write(chunk.data)

    async def _async_write(self, data: bytes) -> None:
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")
        self._last_write_ms = self.core.clock.now()
        # Buffered before any wait: a run that ends during the wait has counted this data as sent.
        self.write(data)
        # The connection tracks the flush of one write only: a chunk still being flushed when a
        # keep-alive comment is written would wait for good, and the response would never end.
        async with self._write_lock:
            try:
                await self.flush()
            except StreamClosedError:
                # A run under a claim continues without its caller; others are cancelled by
                # `on_connection_close`.
                return

    async def _async_keep_alive(self) -> None:
        """Send comments while no token arrives, so that callers can detect a dead connection."""
        self._last_write_ms = self.core.clock.now()
        while True:
            idle_ms = self.core.clock.now() - self._last_write_ms
            if idle_ms >= KEEP_ALIVE_MS:
                await self._async_write(KEEP_ALIVE_COMMENT)
                idle_ms = 0
            await self.core.clock.async_sleep(KEEP_ALIVE_MS - idle_ms)

    async def _async_run(self, request: GenerateRequest) -> None:
        keep_alive = asyncio.create_task(self._async_keep_alive()) if request.stream else None
        try:
            outcome = await self.core.get(ONLINE).async_generate(request, self)
        finally:
            if keep_alive is not None:
                keep_alive.cancel()
        try:
            if isinstance(outcome, Err):
                self._finish_refused(outcome.err_value)
            elif request.stream:
                await self.finish(b"data: [DONE]\n\n")
            else:
                self.set_header("Content-Type", "application/json")
                await self.finish(outcome.ok_value.body)
        except StreamClosedError:
            return

    def _finish_refused(self, refusal: Refusal) -> None:
        if not self._headers_written:
            self.refuse(refusal)
            return
        # Part of the response is sent: an error event without end marker shows it is incomplete.
        self.finish(b"event: error\ndata: " + encode_refusal(refusal) + b"\n\n")


class ModelsHandler(CallerHandler):
    """Lists the served models."""

    def get(self) -> None:
        """Return the list of models."""
        upstreams = self.core.blackboard.read(CONFIGURATION).upstreams.values()
        engines = [u for u in upstreams if u.kind is UpstreamKind.ENGINE]
        names = sorted({model for upstream in engines for model in upstream.served_names})
        data = [{"id": name, "object": "model", "owned_by": "goldcreststair"} for name in names]
        self.finish({"object": "list", "data": data})


class LiveHandler(RequestHandler):
    """Liveness check of the process."""

    def get(self) -> None:
        """Return 200."""
        self.finish({"live": True})


class ReadyHandler(RequestHandler):
    """Readiness check of this VM."""

    def initialize(self, core: Core) -> None:
        """Store the core."""
        self.core = core

    def get(self) -> None:
        """Return 200 while this VM accepts requests, else 503 with the obstacles."""
        obstacles = list_obstacles(self.core)
        version = self.core.blackboard.read(CONFIGURATION).version
        self.set_status(503 if obstacles else 200)
        body = {"ready": not obstacles, "configuration_version": version, "obstacles": obstacles}
        self.finish(body)
