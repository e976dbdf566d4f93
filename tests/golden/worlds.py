"""Helpers of the sessions: a fleet, open streams, and the runs of upstreams."""

import contextlib
import http.client
import re
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final

import orjson

from standins.demo.__main__ import CUSTOMERS, wait_ready
from standins.demo.fleet import OPERATOR_TOKEN, Fleet, FleetPlan, HttpResponse, send_request

DESIGNERS: Final = {"Authorization": "Bearer key-designers"}
OPERATOR: Final = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
PATH_CHAT: Final = "/v1/chat/completions"
WAIT_S: Final = 60.0
ENGINE_RUN: Final = re.compile(r"^POST /v1/\S*completions\n(?:[^\n]+\n)*?X-Request-Id: (\w+)", re.M)


def make_chat(text: str, tokens: int = 4, **more: Any) -> dict[str, Any]:
    """Return a chat request."""
    messages = [{"role": "user", "content": text}]
    return {"model": "small", "max_tokens": tokens, "messages": messages, **more}


@contextlib.contextmanager
def start_fleet(**plan: Any) -> Iterator[Fleet]:
    """Start a fleet with a configuration; stops it on exit."""
    with Fleet(FleetPlan(**{"daemons": 1, "engines": 2, "step_base_ms": 2.0, **plan})) as fleet:
        patched = fleet.patch_configuration(0, fleet.describe_configuration(CUSTOMERS))
        assert patched.status == 200
        for daemon in fleet.daemons:
            wait_ready(daemon.wait_listening())
        yield fleet


def wait_for(condition: Callable[[], object], what: str) -> None:
    """Wait until the condition holds."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, f"{what}: not within {WAIT_S} s"
        time.sleep(0.05)


def read_runs(fleet: Fleet, upstream: str) -> set[str]:
    """Return the ids of the requests that an engine received from their start."""
    received = send_request(fleet.engines[upstream], "GET", "/faults").body.decode()
    return set(ENGINE_RUN.findall(received))


def count_running(fleet: Fleet) -> int:
    """Return how many requests run at all engines, as last reported."""
    return sum(send_request(a, "GET", "/load").json()["running"] for a in fleet.engines.values())


def read_service_runs(fleet: Fleet) -> list[int]:
    """Return the number of runs of each request that the plain service received."""
    runs = send_request(fleet.service_address, "GET", "/faults").json()["runs"]
    return list(runs.values())


@dataclass(frozen=True, slots=True)
class OpenStream:
    """A streamed answer that is still being read."""

    response: http.client.HTTPResponse
    first_data: bytes

    def finish(self) -> HttpResponse:
        """Read the rest and return the complete response."""
        body = self.first_data + self.response.read()
        return HttpResponse(self.response.status, dict(self.response.getheaders()), body)


@contextlib.contextmanager
def open_stream(address: str, body: dict[str, Any]) -> Iterator[OpenStream]:
    """Send a streamed request and read its first tokens."""
    connection = http.client.HTTPConnection(address, timeout=WAIT_S)
    with contextlib.closing(connection):
        connection.request("POST", PATH_CHAT, orjson.dumps(body), DESIGNERS)
        response = connection.getresponse()
        yield OpenStream(response, response.read(200))
