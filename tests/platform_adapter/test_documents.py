"""Decoding of the operators' document and the upstreams' entries, valid and malformed."""

import copy
from typing import Any

import orjson
import pytest
from result import Err, Ok
from users_platform.documents import EvacuationRows, OperatorDocuments, UpstreamEntries

from goldcreststair.components.catalogue.models import (
    BatchTerms,
    CallKind,
    CatalogueCustomer,
    Service,
    WeightedService,
)
from goldcreststair.helpers.api_keys import hash_key
from goldcreststair.store.rows import RowKey

DOCUMENT: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r-a",
            "host": "nony24.example",
            "prefix": "/a/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "slo_ms": 300,
            "priority": 0,
            "split": [{"service": "x", "weight": 90}, {"service": "y", "weight": 0}],
            "max_attempts": 2,
            "anonymous": False,
            "sticky": True,
            "resumable": True,
            "gap_target_ms": 250,
        },
        {
            "name": "r-b",
            "host": "nony24.example",
            "prefix": "/a/b/",
            "kind": "batch",
            "timeout_ms": 15000,
            "slo_ms": 400,
            "service": "x",
            "max_wait_s": 60.0,
            "completion_target_ms": 18000,
            "cap": 1200000,
        },
    ],
    "services": [{"name": "x", "max_conns": 180, "engine": {"slots": 8, "kv_capacity": 9}}],
    "limits": {"max_header_bytes": 1, "max_body_bytes": 2, "header_timeout_ms": 3},
    "tenants": [
        {"name": "kaje80", "api_keys": ["k1", "k2"], "priority": 1, "rate_per_s": 34, "burst": 5}
    ],
    "something_new": {"a": 1},
}


def test_a_document_is_decoded_into_a_catalogue() -> None:
    catalogue = OperatorDocuments().decode(orjson.dumps(DOCUMENT)).unwrap()
    assert catalogue.version == 7
    stream, batch = catalogue.routes
    assert stream.kind is CallKind.STREAMING and stream.repeatable
    assert stream.services == (WeightedService("x", 90.0),)
    assert (stream.objective_ms, stream.gap_objective_ms, stream.affinity) == (300, 250, True)
    assert batch.batch == BatchTerms(18_000, 60_000, 1_200_000)
    assert catalogue.services == {"x": Service("x", 180, 8, 9)}
    assert catalogue.customers == {"kaje80": CatalogueCustomer("kaje80", 34.0, 5.0, 1)}
    assert catalogue.keys == {hash_key("k1"): "kaje80", hash_key("k2"): "kaje80"}
    assert catalogue.limits.idle_timeout_ms == 15_000


@pytest.mark.parametrize(
    ("path", "route"),
    [
        ("/a/x", "r-a"),
        ("/a/b/x", "r-b"),
        ("/a/b/", "r-b"),
        ("/a/b", "r-a"),
        ("/a", None),
        ("/c/a/", None),
    ],
)
def test_the_longest_prefix_wins(path: str, route: str | None) -> None:
    catalogue = OperatorDocuments().decode(orjson.dumps(DOCUMENT)).unwrap()
    found = catalogue.find_route("NONY24.example", path)
    assert (found.name if found else None) == route
    assert catalogue.find_route("other.example", path) is None


@pytest.mark.parametrize(
    ("where", "value", "field"),
    [
        (("version",), "7", "version"),
        (("routes",), {}, "routes"),
        (("routes", 0, "kind"), "magic", "kind"),
        (("routes", 0, "timeout_ms"), None, "timeout_ms"),
        (("routes", 0, "split"), [{"service": "x", "weight": 0}], "split"),
        (("routes", 1, "service"), 5, "service"),
        (("services", 0, "max_conns"), True, "max_conns"),
        (("tenants", 0, "name"), None, "name"),
    ],
)
def test_the_error_names_the_malformed_field(
    where: tuple[Any, ...], value: Any, field: str
) -> None:
    document = copy.deepcopy(DOCUMENT)
    parent: Any = document
    for step in where[:-1]:
        parent = parent[step]
    parent[where[-1]] = value
    decoded = OperatorDocuments().decode(orjson.dumps(document))
    assert isinstance(decoded, Err) and decoded.err_value.field == field


def test_a_document_that_is_not_json_is_an_error() -> None:
    assert isinstance(OperatorDocuments().decode(b"\xff{"), Err)


ENTRY: dict[str, Any] = {
    "service": "x",
    "address": "10.1.0.9:8080",
    "zone": "stred-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "sequence": 4,
    "born": 1771709276618,
}


@pytest.mark.parametrize(("state", "draining"), [("ready", False), ("draining", True)])
def test_an_entry_is_decoded_into_an_upstream(state: str, draining: bool) -> None:
    decoded = UpstreamEntries().decode("i-1", orjson.dumps(ENTRY | {"state": state}))
    assert isinstance(decoded, Ok)
    entry = decoded.ok_value
    assert (entry.name, entry.service, entry.address) == ("i-1", "x", "10.1.0.9:8080")
    assert (entry.data_centre, entry.slots, entry.draining) == ("stred-a", 8, draining)
    assert entry.started_ms == 1771709276618
    assert entry.software_version == "v1"


@pytest.mark.parametrize(
    ("value", "field"),
    [
        (ENTRY | {"state": "odd"}, "state"),
        (ENTRY | {"slots": "8"}, "slots"),
        (ENTRY | {"address": "10.1.0.9"}, "address"),
        (ENTRY | {"address": 7}, "address"),
        ({key: value for key, value in ENTRY.items() if key != "zone"}, "zone"),
        ({key: value for key, value in ENTRY.items() if key != "version"}, "version"),
        (ENTRY | {"version": 2}, "version"),
        ([], "state"),
        (ENTRY | {"address": "10.1.0.9:0"}, "address"),
        (ENTRY | {"address": "10.1.0.9:65536"}, "address"),
        (ENTRY | {"address": "10.1.0.9:" + "9" * 5_000}, "address"),
        (ENTRY | {"address": "10.1.0.9:٣"}, "address"),
        (ENTRY | {"address": "10.1.0.9 :80"}, "address"),
        (ENTRY | {"address": "10.1.0.9\r\nX: y:80"}, "address"),
        (ENTRY | {"address": "10.1.0.9\0:80"}, "address"),
        (ENTRY | {"address": "engine.example:80"}, "address"),
        (ENTRY | {"slots": -1}, "slots"),
        (ENTRY | {"slots": 2**63 - 1}, "slots"),
        (ENTRY | {"born": -1}, "born"),
        (ENTRY | {"born": 2**63 - 1}, "born"),
    ],
)
def test_a_malformed_entry_is_an_error_that_names_the_field(value: Any, field: str) -> None:
    decoded = UpstreamEntries().decode("i-1", orjson.dumps(value))
    assert isinstance(decoded, Err) and decoded.err_value.field == field


@pytest.mark.parametrize("name", ["i-1 x", "i-1\r\nTenant: other", "i-\0", "i-\u00e9"])
def test_a_name_that_no_header_can_hold_is_an_error(name: str) -> None:
    """The name is sent to the upstream: requests would fail there, or carry another header."""
    decoded = UpstreamEntries().decode(name, orjson.dumps(ENTRY))
    assert isinstance(decoded, Err) and decoded.err_value.field == "key"


def test_a_deeply_nested_entry_is_an_error() -> None:
    """Another writer's row must not end the daemons that read it."""
    for depth in (900, 100_000):
        nested = b"[" * depth + b"]" * depth
        assert isinstance(UpstreamEntries().decode("i-1", nested), Err)
        assert isinstance(UpstreamEntries().decode("i-1", b'{"state":' + nested + b"}"), Err)


@pytest.mark.parametrize(
    ("table", "key", "data_centre"),
    [
        ("op", "evacuate/stred-eu-a", "stred-eu-a"),
        ("op", "evacuate/", None),
        ("op", "config", None),
        ("servers", "evacuate/stred-eu-a", None),
    ],
)
def test_the_key_of_a_row_names_the_evacuated_data_centre(
    table: str, key: str, data_centre: str | None
) -> None:
    reader, row = EvacuationRows(), RowKey(table, "", key)
    named = reader.decode(row).ok() if reader.is_evacuation(row) else None
    assert named == data_centre


BAD_NUMBERS = [-1, "22", True, None, [], float("nan")]


def make_entry(**changes: Any) -> bytes:
    """Return an upstream's entry with changed fields; None omits one."""
    entry = {
        "service": "x",
        "address": "10.0.0.1:80",
        "zone": "z",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_left_ms": 0,
    }
    return orjson.dumps({k: v for k, v in (entry | changes).items() if v is not None})


@pytest.mark.parametrize(
    ("cold_left_ms", "cold_ms"),
    [(0, 0), (2500, 2500), (2500.7, 2500), (1e12, 60_000)] + [(bad, None) for bad in BAD_NUMBERS],
)
def test_the_cold_time_of_an_upstream_is_read_and_limited(
    cold_left_ms: Any, cold_ms: int | None
) -> None:
    """Guards against an upstream that is ignored, or taken for warm, because of one malformed field."""
    decoded = UpstreamEntries().decode("u", make_entry(cold_left_ms=cold_left_ms)).unwrap()
    assert decoded.cold_ms == cold_ms


@pytest.mark.parametrize(
    ("fields", "terms"),
    [
        ({}, (0.0, 0)),
        ({"cold_per_s": 22.0, "cold_start_s": 3.0}, (22.0, 3_000)),
        ({"cold_start_s": 3.0}, (1.0, 3_000)),
        ({"cold_per_s": 22.0}, (22.0, 10_000)),
        ({"cold_per_s": 22.0, "cold_start_s": 1e9}, (22.0, 60_000)),
    ]
    + [({"cold_per_s": bad, "cold_start_s": 3.0}, (1.0, 3_000)) for bad in BAD_NUMBERS]
    + [({"cold_per_s": 22.0, "cold_start_s": bad}, (22.0, 10_000)) for bad in BAD_NUMBERS],
)
def test_the_rate_and_time_of_a_services_cold_upstreams(
    fields: dict[str, Any], terms: tuple[float, int]
) -> None:
    """Guards against one malformed field that rejects the whole catalogue or leaves cold upstreams unlimited."""
    document = copy.deepcopy(DOCUMENT)
    document["services"][0].update(fields)
    service = OperatorDocuments().decode(orjson.dumps(document)).unwrap().services["x"]
    assert (service.cold_per_s, service.cold_start_ms) == terms


def test_a_malformed_number_is_logged_once(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a log line for each heartbeat of an upstream."""
    reader = UpstreamEntries()
    for _ in range(3):
        reader.decode("u", make_entry(cold_left_ms="soon"))
    assert [record.message for record in caplog.records] == ["Field is not a number of at least 0"]
