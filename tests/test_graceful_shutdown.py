"""A planned stop interrupts no request, tested with separate processes."""

import http.client
import signal
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

import orjson

from standins.demo.__main__ import CUSTOMERS, wait_ready
from standins.demo.fleet import Fleet, FleetPlan, HttpResponse, send_request

HEADERS = {"Authorization": "Bearer key-designers"}


def send_stream(address: str, max_tokens: int) -> HttpResponse:
    body = {"model": "small", "prompt": "x", "max_tokens": max_tokens, "stream": True}
    return send_request(address, "POST", "/v1/completions", body, HEADERS)


class KeptConnection:
    """A caller's connection that is used for several requests."""

    def __init__(self, address: str) -> None:
        self._connection = http.client.HTTPConnection(address, timeout=60)

    def send_stream(
        self, max_tokens: int, headers: Mapping[str, str] | None = None
    ) -> HttpResponse:
        body = {"model": "small", "prompt": "x", "max_tokens": max_tokens, "stream": True}
        fields = HEADERS | {"Content-Type": "application/json"} | dict(headers or {})
        self._connection.request("POST", "/v1/completions", orjson.dumps(body), fields)
        response = self._connection.getresponse()
        return HttpResponse(response.status, dict(response.headers.items()), response.read())


def test_sigterm_lets_a_running_stream_end() -> None:
    """A daemon gets SIGTERM twice while a caller reads a long stream from it.

    The stream must be complete. A caller with an address that it got before is still served, and
    told to close its connection. The daemon is no longer ready, and then exits with status 0.
    """
    plan = FleetPlan(daemons=1, engines=1, step_base_ms=15.0, daemon_flags={"drain-ms": "8000"})
    with Fleet(plan) as fleet, ThreadPoolExecutor(1) as pool:
        assert fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS)).status == 200
        daemon = fleet.daemons[0]
        address = daemon.wait_listening()
        wait_ready(address)
        streaming = pool.submit(send_stream, address, 320)
        time.sleep(0.5)
        daemon.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        daemon.send_signal(signal.SIGTERM)
        assert send_request(address, "GET", "/health/ready").status == 503
        late = send_stream(address, 2)
        assert late.body.endswith(b"data: [DONE]\n\n")
        assert late.headers["Connection"] == "close"
        whole = streaming.result(30)
        assert whole.status == 200
        assert whole.body.endswith(b"data: [DONE]\n\n")
        assert daemon.wait(15) == 0


def test_stream_on_a_kept_connection_late_in_a_drain_is_refused_instead_of_cut() -> None:
    """Guards against a stream that is begun late in a drain, and cut at its end.

    A long stream keeps the drain going, after the callers' addresses have expired. A request on a
    connection from before runs only if its deadline is before the end of the drain.
    """
    plan = FleetPlan(daemons=1, engines=1, step_base_ms=15.0, daemon_flags={"drain-ms": "6000"})
    with Fleet(plan) as fleet, ThreadPoolExecutor(3) as pool:
        assert fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS)).status == 200
        daemon = fleet.daemons[0]
        address = daemon.wait_listening()
        wait_ready(address)
        kept = [KeptConnection(address) for _ in range(2)]
        assert all(connection.send_stream(2).status == 200 for connection in kept)
        streaming = pool.submit(send_stream, address, 300)
        time.sleep(0.3)
        daemon.send_signal(signal.SIGTERM)
        time.sleep(3.5)
        late = pool.submit(kept[0].send_stream, 300)
        short = pool.submit(kept[1].send_stream, 2, {"X-Deadline-Ms": "1000"})
        refused = late.result(30)
        assert refused.status == 503
        assert refused.headers["Connection"] == "close"
        assert refused.json()["error"]["not_run"] is True
        for whole in (short.result(30), streaming.result(30)):
            assert whole.status == 200
            assert whole.body.endswith(b"data: [DONE]\n\n")
        assert daemon.wait(15) == 0
