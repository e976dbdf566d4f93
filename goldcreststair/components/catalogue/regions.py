"""Finds the regions in which requests may be handled; no I/O."""

from collections.abc import Iterable, Mapping

from goldcreststair.components.catalogue.models import Catalogue, CatalogueCustomer, Route

Regions = frozenset[str] | None
"""Names of the allowed regions; None for all."""


def combine_regions(restrictions: Iterable[frozenset[str]]) -> Regions:
    """Return the regions that are in all of these sets; an empty set allows all regions.

    >>> sorted(combine_regions([frozenset({"a", "b"}), frozenset()]) or ())
    ['a', 'b']
    >>> combine_regions([frozenset({"a"}), frozenset({"b"})]), combine_regions([frozenset()])
    (frozenset(), None)
    """
    allowed: Regions = None
    for regions in restrictions:
        if regions:
            allowed = regions if allowed is None else allowed & regions
    return allowed


def find_request_regions(route: Route, customer: CatalogueCustomer | None) -> Regions:
    """Return the regions in which a request of a route and customer may be handled."""
    return combine_regions([route.regions, customer.regions if customer else frozenset()])


def find_customer_regions(
    catalogue: Catalogue, customer: str, accepted: frozenset[str]
) -> frozenset[str]:
    """Return the regions of a customer; `accepted` are those it had when its job was accepted.

    Operators may remove a customer whose jobs are open; these stay where they were allowed.
    """
    known = catalogue.customers.get(customer)
    return accepted if known is None else known.regions


def find_job_regions(
    catalogue: Catalogue, customer: str, route: str, accepted: frozenset[str]
) -> Regions:
    """Return the regions in which a job may be handled, by its route and customer; `accepted` as above."""
    restrictions = [found.regions for found in catalogue.routes if found.name == route]
    return combine_regions([*restrictions, find_customer_regions(catalogue, customer, accepted)])


def find_host_regions(catalogue: Catalogue, host: str) -> Regions:
    """Return the regions in which all routes of a host may be handled."""
    routes: Mapping[str, Route] = catalogue.by_host.get(host.lower(), {})
    return combine_regions(route.regions for route in routes.values())
