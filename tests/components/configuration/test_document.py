"""Decoding a configuration document reports the invalid field."""

from typing import Any

import pytest
from result import Err

from goldcreststair.components.configuration.document import decode_document
from tests.helpers.cores import make_document

ENGINE: dict[str, Any] = {"address": "127.0.0.1:1", "data_centre": "dc1", "models": ["small"]}


def test_decodes_a_valid_document() -> None:
    configuration = decode_document(3, make_document()).unwrap()
    assert configuration.version == 3
    assert configuration.customers["acme"].burst == 20


@pytest.mark.parametrize(
    ("sections", "field"),
    [
        ({"customers": {"acme": {"rate_per_s": 0, "burst": 1}}}, "customers.acme.rate_per_s"),
        ({"customers": {"acme": {"rate_per_s": 1, "burst": 1.5}}}, "customers.acme.burst"),
        ({"customers": {"acme": {"rate_per_s": 1, "burst": 1, "x": 1}}}, "customers.acme.x"),
        ({"keys": {"not-a-hash": "acme"}}, "keys.not-a-hash"),
        ({"upstreams": {"e": {"address": "nowhere"}}}, "upstreams.e.address"),
        ({"nonsense": {}}, "nonsense"),
        ({"models": {"small": 2}}, "models.small"),
        ({"upstreams": {"e": ENGINE | {"adapters": ["other:legal"]}}}, "upstreams.e.adapters"),
        ({"upstreams": {"e": ENGINE | {"adapters": "small:legal"}}}, "upstreams.e.adapters"),
        ({"upstreams": {"e": ENGINE | {"role": "chef"}}}, "upstreams.e.role"),
        ({"upstreams": {"e": ENGINE | {"checks_fencing": 0}}}, "upstreams.e.checks_fencing"),
    ],
)
def test_names_the_wrong_field(sections: dict[str, Any], field: str) -> None:
    decoded = decode_document(1, make_document(**sections))
    assert isinstance(decoded, Err)
    assert decoded.err_value.field == field
