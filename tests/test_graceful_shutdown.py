"""A planned stop interrupts no request, tested with separate processes."""

import signal
import time
from concurrent.futures import ThreadPoolExecutor

from standins.demo.__main__ import CUSTOMERS, wait_ready
from standins.demo.fleet import Fleet, FleetPlan, HttpResponse, send_request

HEADERS = {"Authorization": "Bearer key-designers"}


def send_stream(address: str, max_tokens: int) -> HttpResponse:
    body = {"model": "small", "prompt": "x", "max_tokens": max_tokens, "stream": True}
    return send_request(address, "POST", "/v1/completions", body, HEADERS)


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
