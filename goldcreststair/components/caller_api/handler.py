"""Base class of the callers' HTTP handlers."""

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
    """Identifies the caller, runs its request and sends refusals in the API's format."""

    identity: Identity
    key: str = ""
    _running: "asyncio.Task[None] | None" = None

    def initialize(self, core: Core) -> None:
        """Store the core and generate a request id."""
        self.core = core
        self.request_id = uuid.uuid4().hex

    def prepare(self) -> None:
        """Identify the caller by its key, or refuse the request."""
        self.set_header(HEADER_REQUEST_ID, self.request_id)
        authorization = self.request.headers.get("Authorization", "")
        self.key = authorization[len(BEARER) :] if authorization.startswith(BEARER) else ""
        found = self.core.get(KEYS).identify(self.key)
        if isinstance(found, Err):
            idempotency_key = self.request.headers.get(HEADER_IDEMPOTENCY_KEY, "")
            self.refuse(make_key_refusal(found.err_value, idempotency_key))
            return
        self.identity = found.ok_value

    def on_connection_close(self) -> None:
        """Cancel the request, as its caller has disconnected."""
        if self._running is not None:
            self._running.cancel()

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send errors that no handler caught in the API's format."""
        # An internal error may occur after a run began. Only a request that was invalid from the
        # start, for example with a wrong method, certainly did not run.
        not_run = status_code < HTTPStatus.INTERNAL_SERVER_ERROR
        code = RefusalCode.INVALID_REQUEST if not_run else RefusalCode.UPSTREAM_FAILED
        message = HTTPStatus(status_code).phrase
        self.refuse(Refusal(message, code, status_code, not_run))

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the complete response."""
        self.set_status(refusal.status)
        if refusal.retry_after_ms:
            seconds = math.ceil(refusal.retry_after_ms / MS_PER_SECOND)
            self.set_header(HEADER_RETRY_AFTER, str(seconds))
        self.set_header("Content-Type", "application/json")
        self.finish(encode_refusal(refusal))

    async def async_run_until_closed(self, work: Coroutine[Any, Any, None]) -> None:
        """Run the request until it ends or its caller disconnects."""
        self._running = asyncio.create_task(work)
        await asyncio.wait({self._running})
        if not self._running.cancelled():
            self._running.result()
