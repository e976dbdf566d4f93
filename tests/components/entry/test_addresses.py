"""Tests of the choice of addresses for callers."""

import random

import pytest

from goldcreststair.components.entry.addresses import MAX_ADDRESSES, choose_addresses
from goldcreststair.components.fleet.models import FleetVm


def make_vms(*places: tuple[str, str]) -> list[FleetVm]:
    """Return one VM for each pair of data centre and region."""
    return [
        FleetVm(f"s{n}", f"10.0.0.{n}", 1, f"10.0.0.{n}:80", data_centre, region)
        for n, (data_centre, region) in enumerate(places)
    ]


@pytest.mark.parametrize(
    ("places", "expected"),
    [
        ([("a", "r"), ("a", "r"), ("b", "r")], [0, 1]),
        ([("a", "r"), ("b", "r"), ("b", "q")], [0, 1]),
        ([("a", "r"), ("b", "q"), ("b", "q")], [0, 1, 2]),
        ([], []),
    ],
)
def test_nearest_addresses_with_an_alternative_are_chosen(
    places: list[tuple[str, str]], expected: list[int]
) -> None:
    found = choose_addresses(make_vms(*places), "a", "r", random.Random(1))
    assert found == [f"10.0.0.{n}:80" for n in expected]


def test_number_of_addresses_is_limited() -> None:
    vms = make_vms(*[("a", "r")] * 200)
    assert len(choose_addresses(vms, "a", "r", random.Random(1))) == MAX_ADDRESSES
