"""Tests of the callers' API against a fleet of separate processes."""

import contextlib
import http.client
import time
from collections.abc import Iterator

import orjson
import pytest

from standins.demo.__main__ import CUSTOMERS, wait_ready
from standins.demo.fleet import Fleet, FleetPlan, send_request

KEY = "key-designers"
HEADERS = {"Authorization": f"Bearer {KEY}"}
WAIT_S = 15.0


@pytest.fixture(name="fleet", scope="module")
def start_fleet() -> Iterator[Fleet]:
    with Fleet(FleetPlan(daemons=1, engines=2, step_base_ms=20.0)) as fleet:
        assert fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS)).status == 200
        wait_ready(fleet.daemons[0].wait_listening())
        yield fleet


def test_no_upstream_sees_the_key(fleet: Fleet) -> None:
    """A caller sends its key, and repeats it in body fields, other headers and a query.

    No upstream may receive it: everything that both kinds of upstream received is searched.
    """
    address = fleet.daemons[0].wait_listening()
    body = {"model": "small", "prompt": "x", "max_tokens": 2, "user": KEY, "metadata": {"k": KEY}}
    headers = HEADERS | {"X-Api-Key": KEY, "Cookie": KEY, "Accept": KEY, "X-Request-Id": KEY}
    assert send_request(address, "POST", "/v1/completions", body, headers).status == 200
    path = "/v1/services/grounds/list"
    listed = send_request(address, "GET", f"{path}?day=1", headers=headers)
    assert (listed.status, listed.json()["path"]) == (200, "list")
    refused = send_request(address, "GET", f"{path}?k={KEY}", headers=headers)
    assert (refused.status, refused.json()["error"]["param"]) == (400, "query")
    for name in (*fleet.engines, "service"):
        received = send_request(fleet.processes[name].wait_listening(), "GET", "/faults").body
        assert KEY.encode() not in received
    assert KEY not in str(fleet.daemons[0].lines)


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("POST", "/v1/services/grounds/other", 404),
        ("PUT", "/v1/services/grounds/list", 404),
        ("PUT", "/v1/completions", 405),
    ],
)
def test_unknown_route_is_refused(fleet: Fleet, method: str, path: str, status: int) -> None:
    address = fleet.daemons[0].wait_listening()
    refused = send_request(address, method, path, {}, HEADERS)
    assert (refused.status, refused.json()["error"]["not_run"]) == (status, True)


def test_silent_stream_is_kept_alive_and_resumed(fleet: Fleet) -> None:
    """The connection to the upstream goes silent for good during a stream.

    The caller must get keep-alive comments during the silence, so that it does not assume a dead
    connection, and then the rest of the text, each token once.
    """
    with open_stream(fleet, 100) as stream:
        stream.read(200)
        for name in fleet.engines:
            fleet.set_faults(name, {"silent": True})
        rest = stream.read()
        for name in fleet.engines:
            fleet.set_faults(name, {})
    assert b": keep-alive\n\n" in rest
    assert rest.endswith(b"data: [DONE]\n\n")
    indices = [int(line[4:]) for line in rest.split(b"\n") if line.startswith(b"id: ")]
    assert indices == list(range(indices[0], 100))


def test_withdrawn_key_ends_the_stream(fleet: Fleet) -> None:
    """A key is withdrawn during a long stream of its caller.

    The stream must end within seconds with the reason and without an end marker, and no engine
    may continue the run.
    """
    with open_stream(fleet, 5000) as stream:
        stream.read(200)
        version = fleet.patch_configuration(-1, {}).json()["error"]["current"]
        withdrawn = {key: True for key in fleet.describe_configuration(CUSTOMERS)["keys"]}
        patched = fleet.patch_configuration(version, {"withdrawn": withdrawn})
        assert patched.status == 200
        rest = stream.read()
    event = orjson.loads(rest.rpartition(b"event: error\ndata: ")[2])
    assert event["error"]["code"] == "key_withdrawn"
    assert event["error"]["not_run"] is False
    assert b"[DONE]" not in rest
    address = fleet.daemons[0].wait_listening()
    assert send_request(address, "GET", "/v1/models", headers=HEADERS).status == 401
    assert wait_idle(fleet)


def wait_idle(fleet: Fleet) -> bool:
    deadline = time.monotonic() + WAIT_S
    while time.monotonic() < deadline:
        reports = [send_request(a, "GET", "/load").json() for a in fleet.engines.values()]
        if not any(report["running"] for report in reports):
            return True
        time.sleep(0.1)
    return False


@contextlib.contextmanager
def open_stream(fleet: Fleet, tokens: int) -> Iterator[http.client.HTTPResponse]:
    connection = http.client.HTTPConnection(fleet.daemons[0].wait_listening(), timeout=60)
    body = {"model": "small", "prompt": "a b", "max_tokens": tokens, "stream": True}
    with contextlib.closing(connection):
        connection.request("POST", "/v1/completions", orjson.dumps(body), HEADERS)
        response = connection.getresponse()
        assert response.status == 200
        yield response
