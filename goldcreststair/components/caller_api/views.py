"""HTTP routes of callers, in the OpenAI format."""

import asyncio
import math
import uuid

import orjson
from result import Err
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from goldcreststair.components.caller_api.parsing import BadField, parse_body
from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.keys.protocols import KEYS, Identity, KeyRefused
from goldcreststair.components.online.const import DEFAULT_DEADLINE_MS
from goldcreststair.components.online.errors import Refusal, RefusalCode
from goldcreststair.components.online.models import GenerateRequest
from goldcreststair.components.online.service import ONLINE
from goldcreststair.components.shutdown.readiness import is_ready
from goldcreststair.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
    MS_PER_SECOND,
)
from goldcreststair.core import Core
from goldcreststair.upstreams.models import StreamChunk, UpstreamKind

BEARER = "Bearer "


class CallerHandler(RequestHandler):
    """Identifies the caller and writes typed refusals."""

    identity: Identity

    def initialize(self, core: Core) -> None:
        """Keep the core and name the request."""
        self.core = core
        self.request_id = uuid.uuid4().hex

    def prepare(self) -> None:
        """Turn the key into an identity, or refuse."""
        self.set_header(HEADER_REQUEST_ID, self.request_id)
        shown = self.request.headers.get("Authorization", "")
        key = shown[len(BEARER) :] if shown.startswith(BEARER) else ""
        found = self.core.get(KEYS).identify(key)
        if isinstance(found, Err):
            self.refuse(refuse_key(found.err_value))
            return
        self.identity = found.ok_value

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the whole answer."""
        self.set_status(refusal.status)
        if refusal.retry_after_ms:
            seconds = math.ceil(refusal.retry_after_ms / MS_PER_SECOND)
            self.set_header(HEADER_RETRY_AFTER, str(seconds))
        self.set_header("Content-Type", "application/json")
        self.finish(encode_refusal(refusal))


def refuse_key(error: KeyRefused) -> Refusal:
    """Turn a refused key into a refusal."""
    if error.temporary:
        return Refusal(error.message, RefusalCode.NOT_READY, 503, True, 1000)
    return Refusal(error.message, RefusalCode.INVALID_KEY, 401, True)


def encode_refusal(refusal: Refusal) -> bytes:
    """Return a refusal as an OpenAI-format error with `not_run` and `retry_after_ms`."""
    if refusal.upstream_body:
        return refusal.upstream_body
    error = {
        "message": refusal.message,
        "type": "goldcreststair",
        "code": refusal.code,
        "not_run": refusal.not_run,
        "retry_after_ms": refusal.retry_after_ms,
    }
    return orjson.dumps({"error": error})


class GenerateHandler(CallerHandler):
    """Chat and text completions."""

    _running: "asyncio.Task[None] | None" = None

    async def post(self) -> None:
        """Run one request."""
        parsed = parse_body(self.request.path, self.request.body)
        if isinstance(parsed, Err):
            self.refuse(_refuse_field(parsed.err_value))
            return
        body = parsed.ok_value
        request = GenerateRequest(
            request_id=self.request_id,
            identity=self.identity,
            path=self.request.path,
            body=self.request.body,
            model=body.model,
            stream=body.stream,
            prefix=body.prefix,
            deadline_ms=DEFAULT_DEADLINE_MS,
            idempotency_key=self.request.headers.get(HEADER_IDEMPOTENCY_KEY, ""),
        )
        self._running = asyncio.create_task(self._async_run(request))
        await asyncio.wait({self._running})
        if not self._running.cancelled():
            self._running.result()

    def on_connection_close(self) -> None:
        """Stop work nobody waits for."""
        if self._running is not None:
            self._running.cancel()

    async def async_accept(self, chunk: StreamChunk) -> None:
        """Pass one chunk on to the caller."""
        if not self._headers_written:
            self.set_header("Content-Type", "text/event-stream")
            self.set_header("Cache-Control", "no-store")
        self.write(chunk.data)
        await self.flush()

    async def _async_run(self, request: GenerateRequest) -> None:
        try:
            outcome = await self.core.get(ONLINE).async_generate(request, self)
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
        # Part of the answer is out: an error event and no end marker, so it can't pass for whole.
        self.finish(b"event: error\ndata: " + encode_refusal(refusal) + b"\n\n")


def _refuse_field(error: BadField) -> Refusal:
    message = f"{error.field}: {error.message}"
    return Refusal(message, RefusalCode.INVALID_REQUEST, 400, True)


class ModelsHandler(CallerHandler):
    """The models served."""

    def get(self) -> None:
        """Return the list of models."""
        upstreams = self.core.blackboard.read(CONFIGURATION).upstreams.values()
        engines = [u for u in upstreams if u.kind is UpstreamKind.ENGINE]
        names = sorted({model for upstream in engines for model in upstream.models})
        data = [{"id": name, "object": "model", "owned_by": "goldcreststair"} for name in names]
        self.finish({"object": "list", "data": data})


class LiveHandler(RequestHandler):
    """Whether the process lives."""

    def get(self) -> None:
        """Answer."""
        self.finish({"live": True})


class ReadyHandler(RequestHandler):
    """Whether this VM can serve."""

    def initialize(self, core: Core) -> None:
        """Keep the core."""
        self.core = core

    def get(self) -> None:
        """Answer 200 while callers may be sent here."""
        ready = is_ready(self.core)
        version = self.core.blackboard.read(CONFIGURATION).version
        self.set_status(200 if ready else 503)
        self.finish({"ready": ready, "configuration_version": version})
