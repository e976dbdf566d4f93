"""Plain services over HTTP."""

from result import Err, Ok, Result

from goldcreststair.const import HEADER_REQUEST_ID
from goldcreststair.http_exchange import FIRST_ERROR_STATUS, Exchange, async_exchange
from goldcreststair.response_budget import ResponseBudget
from goldcreststair.upstreams.errors import UpstreamError, UpstreamFailure
from goldcreststair.upstreams.http_engine import (
    HEADER_NOT_RUN,
    convert_error_response,
    convert_exchange_error,
)
from goldcreststair.upstreams.models import ServiceCall, ServiceResponse, Upstream


class HttpServiceClient:
    """Calls plain services over a new connection for each call."""

    def __init__(self, responses: ResponseBudget | None = None) -> None:
        """Let `responses` bound what all calls hold together."""
        self._responses = responses or ResponseBudget()

    async def async_call(
        self, upstream: Upstream, call: ServiceCall
    ) -> Result[ServiceResponse, UpstreamError]:
        """Make one call and return the complete response, whatever its status."""
        exchange = Exchange(
            address=upstream.address,
            method=call.method,
            path=call.path,
            timeout_ms=call.timeout_ms,
            headers={**call.headers, HEADER_REQUEST_ID: call.request_id},
            body=call.body,
        )
        outcome = await async_exchange(exchange, responses=self._responses)
        if isinstance(outcome, Err):
            return Err(convert_exchange_error(outcome.err_value))
        response = outcome.ok_value
        if response.headers.get(HEADER_NOT_RUN) == "true":
            if response.status < FIRST_ERROR_STATUS:
                message = "a success that says it has not run"
                return Err(UpstreamError(message, UpstreamFailure.INCOMPLETE))
            return Err(convert_error_response(response))
        echoed = response.headers.get(HEADER_REQUEST_ID, call.request_id)
        if echoed != call.request_id:
            return Err(UpstreamError("answer of another request", UpstreamFailure.CROSSED))
        content_type = response.headers.get("Content-Type", "application/octet-stream")
        return Ok(ServiceResponse(response.status, response.body, content_type))
