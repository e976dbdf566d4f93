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


def find_job_regions(catalogue: Catalogue, customer: str, route: str) -> Regions:
    """Return the regions in which the jobs of a customer on a route may be handled."""
    known = catalogue.customers.get(customer)
    restrictions = [found.regions for found in catalogue.routes if found.name == route]
    return combine_regions([*restrictions, known.regions if known else frozenset()])


def find_host_regions(catalogue: Catalogue, host: str) -> Regions:
    """Return the regions in which all routes of a host may be handled."""
    routes: Mapping[str, Route] = catalogue.by_host.get(host.lower(), {})
    return combine_regions(route.regions for route in routes.values())
