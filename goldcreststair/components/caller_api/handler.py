"""What all routes of callers share."""

import asyncio
import math
import uuid
from collections.abc import Coroutine
from http import HTTPStatus
from typing import Any

from result import Err
from tornado.web import RequestHandler

from goldcreststair.components.caller_api.const import BEARER
from goldcreststair.components.caller_api.errors import encode_refusal, make_key_refusal
from goldcreststair.components.keys.protocols import KEYS, Identity
from goldcreststair.const import (
    HEADER_IDEMPOTENCY_KEY,
    HEADER_REQUEST_ID,
    HEADER_RETRY_AFTER,
    MS_PER_SECOND,
)
from goldcreststair.core import Core
from goldcreststair.helpers.refusals import Refusal, RefusalCode


class CallerHandler(RequestHandler):
    """Identifies the caller, runs its request and writes typed refusals."""

    identity: Identity
    key: str = ""
    _running: "asyncio.Task[None] | None" = None

    def initialize(self, core: Core) -> None:
        """Keep the core and name the request."""
        self.core = core
        self.request_id = uuid.uuid4().hex

    def prepare(self) -> None:
        """Turn the key into an identity, or refuse."""
        self.set_header(HEADER_REQUEST_ID, self.request_id)
        shown = self.request.headers.get("Authorization", "")
        self.key = shown[len(BEARER) :] if shown.startswith(BEARER) else ""
        found = self.core.get(KEYS).identify(self.key)
        if isinstance(found, Err):
            idempotency_key = self.request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
            self.refuse(make_key_refusal(found.err_value, idempotency_key))
            return
        self.identity = found.ok_value

    def on_connection_close(self) -> None:
        """Stop work nobody waits for."""
        if self._running is not None:
            self._running.cancel()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer in the callers' format also where no handler did."""
        # A fault of our own may have come after a run began; only a request that was bad from
        # the start, as one with a wrong method, certainly did not run.
        not_run = status_code < HTTPStatus.INTERNAL_SERVER_ERROR
        code = RefusalCode.INVALID_REQUEST if not_run else RefusalCode.UPSTREAM_FAILED
        message = HTTPStatus(status_code).phrase
        self.refuse(Refusal(message, code, status_code, not_run))

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the whole answer."""
        self.set_status(refusal.status)
        if refusal.retry_after_ms:
            seconds = math.ceil(refusal.retry_after_ms / MS_PER_SECOND)
            self.set_header(HEADER_RETRY_AFTER, str(seconds))
        self.set_header("Content-Type", "application/json")
        self.finish(encode_refusal(refusal))

    async def async_follow(self, work: Coroutine[Any, Any, None]) -> None:
        """Run the request until it ends or its caller goes away."""
        self._running = asyncio.create_task(work)
        await asyncio.wait({self._running})
        if not self._running.cancelled():
            self._running.result()
