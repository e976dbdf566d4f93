"""Finds where a stream began that its caller takes up after a broken connection."""

from dataclasses import replace

from result import Err, Ok, Result

from goldcreststair.components.catalogue.models import CallKind
from goldcreststair.components.forwarding.const import MIN_RETRY_AFTER_MS
from goldcreststair.components.forwarding.recovery import make_resumption_refusal
from goldcreststair.components.requests.models import AdmittedRequest
from goldcreststair.components.stream_origins.models import StreamKey, make_stream_key
from goldcreststair.components.stream_origins.protocols import StreamOrigins
from goldcreststair.helpers.refusals import Refusal


def find_stream_key(admitted: AdmittedRequest) -> StreamKey | None:
    """Return the key of a request's stream; None if its caller takes up a stream without naming it."""
    request = admitted.request
    began_here = not request.resume_after
    begun_as = request.request_id if began_here else request.begun_as
    customer = admitted.customer.name if admitted.customer is not None else ""
    return make_stream_key(customer, request.host, begun_as) if begun_as else None


async def async_find_origin(
    origins: StreamOrigins, admitted: AdmittedRequest
) -> Result[AdmittedRequest, Refusal]:
    """Return a request with the software that began its stream, if its caller takes up one.

    A stream is refused at once, as not run, if it is not known where it began, or if its route does not
    use that service any more.
    """
    request, route = admitted.request, admitted.route
    if not request.resume_after or route.kind is not CallKind.STREAMING:
        return Ok(admitted)
    services = frozenset(weighted.service for weighted in route.services)
    longest_ms = max(request.deadline_ms, route.timeout_ms)
    found = await origins.async_find(find_stream_key(admitted), services, longest_ms)
    if isinstance(found, Err):
        unknown = found.err_value
        # Another daemon may know it, or this one a moment later.
        retry_ms = 0 if unknown.is_final else MIN_RETRY_AFTER_MS
        return Err(make_resumption_refusal(unknown.message, retry_ms))
    origin = found.ok_value
    if origin.service not in services:
        message = f"the route no longer uses {origin.service}, which began the stream"
        return Err(make_resumption_refusal(message, 0))
    return Ok(replace(admitted, service=origin.service, origin=origin))
