"""Demo: runs online traffic and a batch job on a loopback fleet and prints the outcome."""

import subprocess
import sys
import time
from collections import Counter
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import orjson

from standins.demo.fleet import OPERATOR_TOKEN, Fleet, HttpResponse, send_request
from standins.demo.process import ROOT
from standins.engine.model import make_text

CUSTOMERS = {
    "designers": {"rate_per_s": 50, "burst": 50},
    "fixtures": {"rate_per_s": 50, "burst": 50},
}
OBJECTIVES = {"first_token": {"threshold_ms": 1700, "target": 0.95}}
READY_TIMEOUT_S = 30.0
BATCH_ITEMS = 200
BATCH_TIMEOUT_S = 60.0
ONLINE_REQUESTS = 60
TOKENS = 8
LEVEL_REPORT_S = 22.0


def wait_ready(address: str) -> None:
    """Wait until a daemon is ready to serve; raises `TimeoutError`."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while send_request(address, "GET", "/health/ready").status != 200:
        if time.monotonic() > deadline:
            raise TimeoutError(f"{address} is not ready")
        time.sleep(0.1)


def make_headers(customer: str, **more: str) -> dict[str, str]:
    """Return the headers of a customer's request."""
    return {"Authorization": f"Bearer key-{customer}", **more}


def make_chat(text: str, *, stream: bool) -> dict[str, Any]:
    """Return a chat request."""
    messages = [{"role": "user", "content": text}]
    return {"model": "small", "max_tokens": TOKENS, "messages": messages, "stream": stream}


def make_batch(items: int) -> bytes:
    """Return the JSON lines of a batch job."""
    lines = (
        {"custom_id": f"brief-{number}", "body": make_chat(f"sum up {number}", stream=False)}
        for number in range(items)
    )
    return b"\n".join(orjson.dumps(line) for line in lines)


def send_online(addresses: list[str], number: int) -> str:
    """Send one streamed request and return its outcome."""
    customer = ("designers", "fixtures")[number % 2]
    address = addresses[number % len(addresses)]
    text = f"move match slot {number}"
    answer = send_request(
        address,
        "POST",
        "/v1/chat/completions",
        make_chat(text, stream=True),
        make_headers(customer),
    )
    if answer.status != 200:
        return f"refused {answer.status}"
    return "whole" if read_stream(answer) == make_text(f"user: {text}", TOKENS) else "broken"


def read_stream(answer: HttpResponse) -> str:
    """Return the text of a streamed chat answer, or an empty text if it lacks its end marker."""
    events = [line[6:] for line in answer.body.split(b"\n") if line.startswith(b"data: ")]
    if not events or events[-1] != b"[DONE]":
        return ""
    return "".join(orjson.loads(event)["choices"][0]["delta"]["content"] for event in events[:-1])


def submit_batch(address: str) -> HttpResponse:
    """Submit the job; its idempotency key makes retries safe."""
    return send_request(
        address,
        "POST",
        "/v1/batches?endpoint=/v1/chat/completions",
        make_batch(BATCH_ITEMS),
        make_headers("designers", **{"Idempotency-Key": "weekly-digest"}),
    )


def run_batch(address: str) -> dict[str, Any]:
    """Submit a job and poll it until it is finished; returns its last status."""
    deadline = time.monotonic() + BATCH_TIMEOUT_S
    submitted = submit_batch(address)
    while submitted.status != 200 and time.monotonic() < deadline:
        print(f"batch: refused {submitted.status} {submitted.body.decode()}")
        time.sleep(int(submitted.headers.get("Retry-After", "1")))
        submitted = submit_batch(address)
    job: dict[str, Any] = submitted.json()
    while job.get("state") != "finished" and "id" in job and time.monotonic() < deadline:
        time.sleep(0.5)
        path = f"/v1/batches/{job['id']}"
        job = send_request(address, "GET", path, headers=make_headers("designers")).json()
    return job


def run_cli(fleet: Fleet, *arguments: str) -> str:
    """Run the operator command line against the first daemon and return its output."""
    target = ["--url", f"http://{fleet.daemons[0].wait_listening()}", "--token", OPERATOR_TOKEN]
    command = [sys.executable, "-m", "goldcreststair.cli", *arguments, *target]
    done = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=False)
    return (done.stdout + done.stderr).strip()


def run_traffic(fleet: Fleet) -> None:
    """Send online requests to all daemons while a batch job runs."""
    addresses = [daemon.wait_listening() for daemon in fleet.daemons]
    begun = time.monotonic()
    with ThreadPoolExecutor(9) as pool:
        job = pool.submit(run_batch, addresses[0])
        numbers = range(ONLINE_REQUESTS)
        outcomes = Counter(pool.map(lambda number: send_online(addresses, number), numbers))
        print(f"online: {dict(outcomes)} of {ONLINE_REQUESTS} requests")
        finished = job.result()
    elapsed_s = time.monotonic() - begun
    print(f"batch: {finished.get('state')} {finished.get('counts')} after {elapsed_s:.1f} s")


def main() -> None:
    """Run the demo."""
    with Fleet() as fleet:
        document = {**fleet.describe_configuration(CUSTOMERS), "objectives": OBJECTIVES}
        patched = fleet.patch_configuration(0, document)
        print(f"configuration: {patched.status} {patched.body.decode()}")
        for daemon in fleet.daemons:
            wait_ready(daemon.wait_listening())
            print(f"{daemon.name} serves at {daemon.wait_listening()}")
        run_traffic(fleet)
        print("waiting for every daemon's next level report")
        time.sleep(LEVEL_REPORT_S)
        print(run_cli(fleet, "report", "burn"))


if __name__ == "__main__":
    main()
