"""The demo: a fleet on loopback, online traffic, and what happened."""

import time

from standins.demo.fleet import Fleet, send_request

CUSTOMERS = {
    "designers": {"rate_per_s": 50, "burst": 50},
    "fixtures": {"rate_per_s": 50, "burst": 50},
}
READY_TIMEOUT_S = 20.0


def wait_ready(address: str) -> None:
    """Wait until a daemon has its configuration in force; raises `TimeoutError`."""
    deadline = time.monotonic() + READY_TIMEOUT_S
    while send_request(address, "GET", "/health/ready").status != 200:
        if time.monotonic() > deadline:
            raise TimeoutError(f"{address} is not ready")
        time.sleep(0.1)


def main() -> None:
    """Run the demo."""
    with Fleet() as fleet:
        patched = fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS))
        print(f"configuration: {patched.status} {patched.body.decode()}")
        addresses = [daemon.wait_listening() for daemon in fleet.daemons]
        for address in addresses:
            wait_ready(address)
        for address in addresses:
            body = {
                "model": "small",
                "max_tokens": 8,
                "messages": [{"role": "user", "content": "draft a portfolio blurb"}],
            }
            headers = {"Authorization": "Bearer key-designers"}
            answer = send_request(address, "POST", "/v1/chat/completions", body, headers)
            print(f"{address}: {answer.status} {answer.body.decode()}")
            streamed = send_request(
                address, "POST", "/v1/chat/completions", {**body, "stream": True}, headers
            )
            print(f"{address}: streamed {streamed.body.count(b'data: ')} events")


if __name__ == "__main__":
    main()
