"""Tests of the services that routes have had of late."""

from dataclasses import replace

import pytest

from goldcreststair.components.catalogue.models import (
    CallKind,
    Catalogue,
    Route,
    WeightedService,
    index_routes,
)
from goldcreststair.components.stream_origins.const import SOFTWARE_MEMORY_MS
from goldcreststair.components.stream_origins.route_services import RouteServices
from standins.virtual_time import ManualClock

ROUTE = Route("r", "h", "/a/", CallKind.STREAMING, (), 5_000, 300, 2)


def make_catalogue(**services: str) -> Catalogue:
    """Return a catalogue with a route for each prefix, "a_b" for /a/b/; services are split by spaces."""
    routes = tuple(
        replace(
            ROUTE,
            prefix=f"/{prefix.replace('_', '/')}/",
            services=tuple(WeightedService(name, 1.0) for name in names.split()),
        )
        for prefix, names in services.items()
    )
    return Catalogue(1, routes, by_host=index_routes(routes))


@pytest.mark.parametrize(
    ("versions", "asked", "found"),
    [
        (({"a": "x"}, {"a": "x"}), "x", {"x"}),
        (({"a": "x"}, {"a": "y"}), "y", {"x", "y"}),
        (({"a": "x"}, {"a": "y"}, {"a": "z"}), "z", {"x", "y", "z"}),
        (({"a": "x y"}, {"a": "x"}), "x", {"x", "y"}),
        (({"a": "x"}, {"a": "x", "a_b": "y"}), "y", {"x", "y"}),
        (({"a": "x", "a_b": "y"}, {"a": "x"}), "x", {"x", "y"}),
        (({"a": "x", "b": "y"}, {"a": "x", "b": "z"}), "x", {"x"}),
    ],
)
def test_services_of_a_route_include_those_before(
    versions: tuple[dict[str, str], ...], asked: str, found: set[str]
) -> None:
    clock = ManualClock()
    routes = RouteServices(clock)
    for version in versions:
        routes.apply_catalogue(make_catalogue(**version))
    assert routes.list_services({asked}, SOFTWARE_MEMORY_MS) == found
    assert routes.has_moved() is (versions[0] != versions[-1])
    clock.advance(SOFTWARE_MEMORY_MS + 1)
    assert routes.list_services({asked}, SOFTWARE_MEMORY_MS) == {asked}
    assert not routes.has_moved()
