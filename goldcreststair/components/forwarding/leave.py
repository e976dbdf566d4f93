"""Decides which requests a leaving daemon may still begin; no I/O."""

from collections.abc import Callable

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import Route
from goldcreststair.components.fleet.models import OwnState
from goldcreststair.components.requests.models import AdmissionBasis


def find_basis(
    own: OwnState, route: Route, now: Millis, ends_at: Millis, read_run_ms: Callable[[], float]
) -> AdmissionBasis | None:
    """Return why a request that begins now ends before this daemon stops; None if it may not.

    `ends_at` is the request's deadline, `read_run_ms` returns the usual time of an answer of its route, ms.
    """
    if own.stops_at is None:
        return AdmissionBasis.NOT_LEAVING
    if ends_at <= own.stops_at:
        return AdmissionBasis.DEADLINE
    # Past run times bound nothing: upstreams may slow down at any moment. They decide only while a
    # refused caller may be sent here again, and only for requests that callers can repeat or resume at
    # another VM after a cut.
    is_advertised = own.advertised_until is not None and now < own.advertised_until
    if is_advertised and route.repeatable and now + read_run_ms() <= own.stops_at:
        return AdmissionBasis.RUN_TIME
    return None
