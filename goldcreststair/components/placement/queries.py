"""Derives the requirements on an upstream from an admitted request; no I/O."""

from collections.abc import Iterable

from goldcreststair.components.catalogue.regions import find_request_regions
from goldcreststair.components.placement.models import PlacementQuery
from goldcreststair.components.requests.models import AdmittedRequest
from goldcreststair.components.stream_origins.models import StreamOrigin


def make_query(
    admitted: AdmittedRequest,
    excluded: Iterable[str] = (),
    attempts: int = 0,
    origin: StreamOrigin | None = None,
) -> PlacementQuery:
    """Return the query for the next run of a request.

    `attempts` is the number of upstreams that may have run it, `origin` the software that began its
    stream.
    """
    route = admitted.route
    origin = origin or admitted.origin
    return PlacementQuery(
        admitted.service,
        frozenset(excluded),
        admitted.affinity,
        find_request_regions(route, admitted.customer),
        software_version=origin.software_version if origin else None,
        is_retry=attempts > 0,
        may_try=route.repeatable and attempts + 1 < route.max_attempts,
    )
