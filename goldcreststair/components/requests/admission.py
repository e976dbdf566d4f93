"""Which requests may run: route, key and quota; no I/O."""

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import Catalogue, CatalogueCustomer, Route
from goldcreststair.components.requests.const import (
    AWAY_RETRY_SHARE,
    DEFAULT_DEADLINE_MS,
    NOT_READY_RETRY_MS,
)
from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.helpers.api_keys import hash_key
from goldcreststair.helpers.refusals import Refusal, RefusalCode

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404


def find_route(catalogue: Catalogue, request: CallerRequest) -> Result[Route, Refusal]:
    """Return the route of a request."""
    route = catalogue.find_route(request.host, request.path)
    if route is None:
        code = RefusalCode.UNKNOWN_ROUTE
        return Err(Refusal(f"no route {request.path}", code, STATUS_NOT_FOUND, True))
    return Ok(route)


def needs_key(catalogue: Catalogue, route: Route) -> bool:
    """Return whether the requests of a route need a customer's key."""
    return not route.anonymous and bool(catalogue.customers)


def identify_customer(catalogue: Catalogue, key: str) -> Result[CatalogueCustomer, Refusal]:
    """Return the customer whose key this is."""
    # Keys are found by their hash, so the time of the look-up tells nothing about the key.
    name = catalogue.keys.get(hash_key(key)) if key else None
    customer = catalogue.customers.get(name) if name is not None else None
    if customer is None:
        message = "unknown or withdrawn key" if key else "a key is needed"
        return Err(Refusal(message, RefusalCode.INVALID_KEY, STATUS_UNAUTHORIZED, True))
    return Ok(customer)


def choose_service(route: Route, chance: float) -> str:
    """Return one of the route's services by weight; `chance` lies between 0 and 1.

    >>> from goldcreststair.components.catalogue.models import CallKind, WeightedService
    >>> services = (WeightedService("a", 90), WeightedService("b", 10))
    >>> route = Route("r", "h", "/", CallKind.IDEMPOTENT, services, 1, 1, 1)
    >>> choose_service(route, 0.5), choose_service(route, 0.95)
    ('a', 'b')
    """
    left = chance * sum(service.weight for service in route.services)
    for service in route.services:
        left -= service.weight
        if left < 0:
            return service.service
    return route.services[-1].service


def find_end(request: CallerRequest, route: Route) -> Millis:
    """Return when the answer must be whole."""
    limits = [limit for limit in (request.deadline_ms, route.timeout_ms) if limit > 0]
    return Millis(request.arrived_at + min(limits, default=DEFAULT_DEADLINE_MS))


def choose_ready_retry_ms(deadline_ms: int, *, store_away: bool) -> int:
    """Return when to come back to a VM that cannot know yet what is allowed.

    Load it answers: all VMs return while the store is silent. A caller has one or two returns; told to
    come back after half a second it spends them within the same outage.

    >>> choose_ready_retry_ms(5_000, store_away=False), choose_ready_retry_ms(5_000, store_away=True)
    (500, 1500)
    """
    if not store_away:
        return NOT_READY_RETRY_MS
    return max(NOT_READY_RETRY_MS, int(deadline_ms * AWAY_RETRY_SHARE))
