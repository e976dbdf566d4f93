"""Runs one online request from admission to its whole answer."""

import logging
from typing import Final

from result import Err, Ok, Result

from goldcreststair.components.limits.protocols import LIMITS
from goldcreststair.components.online.const import MAX_ATTEMPTS
from goldcreststair.components.online.errors import Refusal, RefusalCode
from goldcreststair.components.online.models import GenerateRequest
from goldcreststair.components.routing.protocols import ROUTER, NoUpstream, RouteQuery
from goldcreststair.core import ComponentKey, Core
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.models import GenerateCall, GenerateEnd, Upstream
from goldcreststair.upstreams.protocols import StreamSink

_LOGGER = logging.getLogger(__name__)


class OnlineService:
    """Admits, routes, runs and retries."""

    def __init__(self, core: Core) -> None:
        """Use the components set up before."""
        self._core = core
        self._limits = core.get(LIMITS)
        self._router = core.get(ROUTER)

    async def async_start(self) -> None:
        """Do nothing."""

    async def async_close(self) -> None:
        """Do nothing."""

    async def async_generate(
        self, request: GenerateRequest, sink: StreamSink
    ) -> Result[GenerateEnd, Refusal]:
        """Run one request; streamed chunks go to the sink."""
        admitted = await self._limits.async_admit(request.identity.customer)
        if isinstance(admitted, Err):
            error = admitted.err_value
            return Err(
                Refusal(error.message, RefusalCode.RATE_LIMITED, 429, True, error.retry_after_ms)
            )
        return await self._async_attempt(request, sink)

    async def _async_attempt(
        self, request: GenerateRequest, sink: StreamSink
    ) -> Result[GenerateEnd, Refusal]:
        tried: frozenset[str] = frozenset()
        for _ in range(MAX_ATTEMPTS):
            chosen = self._router.choose(
                RouteQuery(model=request.model, prefix=request.prefix, excluded=tried)
            )
            if isinstance(chosen, Err):
                return Err(_refuse_route(chosen.err_value))
            upstream = chosen.ok_value
            outcome = await self._async_run(upstream, request, sink)
            if isinstance(outcome, Ok):
                return outcome
            if not outcome.err_value.not_run:
                return Err(_refuse_failure(outcome.err_value))
            _LOGGER.info("Upstream %s did not run %s", upstream.name, request.request_id)
            tried |= {upstream.name}
        return Err(
            Refusal("no upstream took it", RefusalCode.NO_UPSTREAM, 503, True, retry_after_ms=1000)
        )

    async def _async_run(
        self, upstream: Upstream, request: GenerateRequest, sink: StreamSink
    ) -> Result[GenerateEnd, UpstreamError]:
        call = GenerateCall(
            request.request_id, request.path, request.body, request.stream, request.deadline_ms
        )
        self._router.begin(upstream.name)
        ok = False
        try:
            outcome = await self._core.upstreams.engines.async_generate(upstream, call, sink)
            ok = isinstance(outcome, Ok)
            return outcome
        finally:
            self._router.end(upstream.name, ok=ok)


def _refuse_route(error: NoUpstream) -> Refusal:
    if not error.known:
        return Refusal(error.message, RefusalCode.UNKNOWN_MODEL, 404, True)
    return Refusal(error.message, RefusalCode.NO_UPSTREAM, 503, True, error.retry_after_ms)


def _refuse_failure(error: UpstreamError) -> Refusal:
    if error.failure is UpstreamFailure.REJECTED:
        return Refusal(
            error.message,
            RefusalCode.INVALID_REQUEST,
            error.status,
            upstream_body=error.body,
        )
    return Refusal(error.message, RefusalCode.UPSTREAM_FAILED, 502, retry_after_ms=1000)


ONLINE: Final = ComponentKey[OnlineService]("online")
