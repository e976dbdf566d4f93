"""A request from end to end through separate processes."""

from standins.demo.__main__ import CUSTOMERS, wait_ready
from standins.demo.fleet import Fleet, FleetPlan, send_request


def test_request_goes_end_to_end_through_processes() -> None:
    with Fleet(FleetPlan(daemons=2, engines=2, step_base_ms=2.0)) as fleet:
        assert fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS)).status == 200
        address = fleet.daemons[1].wait_listening()
        wait_ready(address)
        body = {"model": "small", "prompt": "hello", "max_tokens": 4}
        headers = {"Authorization": "Bearer key-designers"}
        answer = send_request(address, "POST", "/v1/completions", body, headers)
        assert answer.status == 200
        assert answer.json()["usage"]["completion_tokens"] == 4
        refused = send_request(address, "POST", "/v1/completions", body)
        assert refused.status == 401
        assert refused.json()["error"]["not_run"] is True
