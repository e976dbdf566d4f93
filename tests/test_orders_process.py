"""Orders to an engine process after a patch by the command line."""

import time
from pathlib import Path
from typing import Any

import orjson

from standins.demo.__main__ import CUSTOMERS, run_cli
from standins.demo.fleet import Fleet, FleetPlan, HttpResponse, send_request

SERVED_LIMIT_S = 40.0
READY_LIMIT_S = 90.0
SERVED_IN_A_ROW = 20


def send_completion(address: str, model: str) -> HttpResponse:
    body = {"model": model, "prompt": "hello", "max_tokens": 4}
    headers = {"Authorization": "Bearer key-designers"}
    return send_request(address, "POST", "/v1/completions", body, headers)


def wait_for_service(address: str) -> None:
    """Wait until a daemon is ready and the limit coordinator, which starts at 0, has refilled."""
    deadline = time.monotonic() + READY_LIMIT_S
    served = 0
    while served < SERVED_IN_A_ROW:
        assert time.monotonic() < deadline
        served = served + 1 if send_completion(address, "small").status == 200 else 0
        time.sleep(0.1)


def test_patched_model_is_served_without_a_restart(tmp_path: Path) -> None:
    """An operator adds a model and an adapter to one engine with the command line.

    Requests for them must be served within seconds without restarting the engine or daemons;
    until then they are refused as not run. The existing model is served throughout.
    """
    with Fleet(FleetPlan(daemons=2, engines=2, step_base_ms=2.0)) as fleet:
        for weights in ("big", "big:legal"):
            send_request(fleet.platform_address, "PUT", f"/weights/{weights}", {"bytes": 1000})
        assert fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS)).status == 200
        address = fleet.daemons[1].wait_listening()
        wait_for_service(address)
        assert send_completion(address, "big").status == 404
        models = {"models": ["small", "big"], "adapters": ["big:legal"]}
        patch: dict[str, Any] = {"upstreams": {"engine0": models}, "models": {"big": "7"}}
        file = tmp_path / "patch.json"
        file.write_bytes(orjson.dumps(patch))
        assert '"version": 2' in run_cli(fleet, "config", "patch", "1", str(file))
        started_at = time.monotonic()
        waiting = {"big", "big:legal"}
        while waiting and time.monotonic() - started_at < SERVED_LIMIT_S:
            assert send_completion(address, "small").status == 200
            for model in tuple(waiting):
                answer = send_completion(address, model)
                if answer.status == 200:
                    waiting.discard(model)
                    print(f"{model} served after {time.monotonic() - started_at:.1f} s")
                else:
                    assert answer.json()["error"]["not_run"] is True
            time.sleep(0.3)
        assert not waiting
        load = send_request(fleet.engines["engine0"], "GET", "/load").json()
        assert load["versions"]["big"] == "7"
