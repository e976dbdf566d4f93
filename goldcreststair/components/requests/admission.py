"""Admission decisions: route, customer, service and deadline of a request; no I/O."""

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.catalogue.models import Catalogue, CatalogueCustomer, Route
from goldcreststair.components.requests.const import (
    DEFAULT_DEADLINE_MS,
    NOT_READY_RETRY_MS,
    STORE_DOWN_RETRY_FRACTION,
)
from goldcreststair.components.requests.models import CallerRequest
from goldcreststair.helpers.api_keys import hash_key
from goldcreststair.helpers.refusals import Refusal, RefusalCode

STATUS_UNAUTHORIZED = 401
STATUS_NOT_FOUND = 404


def find_route(catalogue: Catalogue, request: CallerRequest) -> Result[Route, Refusal]:
    """Return the route of a request, or a refusal if none matches its host and path."""
    route = catalogue.find_route(request.host, request.path)
    if route is None:
        code = RefusalCode.UNKNOWN_ROUTE
        return Err(Refusal(f"no route {request.path}", code, STATUS_NOT_FOUND, True))
    return Ok(route)


def needs_key(catalogue: Catalogue, route: Route) -> bool:
    """Return whether requests of a route need a customer's key."""
    return not route.anonymous and bool(catalogue.customers)


def identify_customer(catalogue: Catalogue, key: str) -> Result[CatalogueCustomer, Refusal]:
    """Return the customer that a key belongs to."""
    # Keys are looked up by their hash, so the time of the look-up reveals nothing about the key.
    name = catalogue.keys.get(hash_key(key)) if key else None
    customer = catalogue.customers.get(name) if name is not None else None
    if customer is None:
        message = "unknown or withdrawn key" if key else "a key is needed"
        return Err(Refusal(message, RefusalCode.INVALID_KEY, STATUS_UNAUTHORIZED, True))
    return Ok(customer)


def choose_service(route: Route, fraction: float) -> str:
    """Return one of the route's services by weight; `fraction` is a random number between 0 and 1.

    >>> from goldcreststair.components.catalogue.models import CallKind, WeightedService
    >>> services = (WeightedService("a", 90), WeightedService("b", 10))
    >>> route = Route("r", "h", "/", CallKind.IDEMPOTENT, services, 1, 1, 1)
    >>> choose_service(route, 0.5), choose_service(route, 0.95)
    ('a', 'b')
    """
    remaining = fraction * sum(service.weight for service in route.services)
    for service in route.services:
        remaining -= service.weight
        if remaining < 0:
            return service.service
    return route.services[-1].service


def find_deadline(request: CallerRequest, route: Route) -> Millis:
    """Return the time by which the answer must be complete."""
    limits = [limit for limit in (request.deadline_ms, route.timeout_ms) if limit > 0]
    return Millis(request.arrived_at + min(limits, default=DEFAULT_DEADLINE_MS))


def choose_not_ready_retry_ms(deadline_ms: int, *, store_unavailable: bool) -> int:
    """Return the retry-after time in ms of a VM that cannot decide yet what is allowed.

    Callers retry once or twice. When all VMs restart during a store outage, half a second would let
    them use up their retries within the same outage.

    >>> choose_not_ready_retry_ms(5_000, store_unavailable=False), choose_not_ready_retry_ms(5_000, store_unavailable=True)
    (500, 1500)
    """
    if not store_unavailable:
        return NOT_READY_RETRY_MS
    return max(NOT_READY_RETRY_MS, int(deadline_ms * STORE_DOWN_RETRY_FRACTION))
