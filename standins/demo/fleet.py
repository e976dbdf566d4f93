"""Starts and stops a fleet of processes on loopback."""

import contextlib
import hashlib
import http.client
import signal
import uuid
from collections.abc import Mapping
from dataclasses import dataclass, field
from types import TracebackType
from typing import Any, Self

import orjson

from standins.demo.process import ChildProcess

LOOPBACK = "127.0.0.1"
OPERATOR_TOKEN = "demo-operator"
DRAIN_MS = "500"
"""Short, so that loopback fleets stop quickly; `daemon_flags` may set a longer `drain-ms`."""


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Number and settings of the processes to start."""

    daemons: int = 3
    engines: int = 3
    models: tuple[str, ...] = ("small",)
    software: tuple[str, ...] = ("",)
    """Software versions of the engines, in turn; empty for one that they do not report."""
    step_base_ms: float = 12.0
    data_centres: tuple[str, ...] = ("dc1", "dc2", "dc3")
    daemon_flags: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """One complete HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body as JSON."""
        return orjson.loads(self.body)


def send_request(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: Mapping[str, str] | None = None,
    timeout_s: float = 60.0,
) -> HttpResponse:
    """Send one request and read the whole response; a `body` other than bytes is sent as JSON."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    content = body if isinstance(body, bytes) else b"" if body is None else orjson.dumps(body)
    with contextlib.closing(connection):
        connection.request(method, path, content, dict(headers or {}))
        answer = connection.getresponse()
        return HttpResponse(answer.status, dict(answer.getheaders()), answer.read())


class Fleet:
    """Stand-ins and daemons; use as a context manager."""

    def __init__(self, plan: FleetPlan | None = None) -> None:
        """Create a fleet; entering it as a context manager starts the processes."""
        self.plan = plan or FleetPlan()
        self.platform_address = ""
        self.engines: dict[str, str] = {}
        self.service_address = ""
        self.daemons: list[ChildProcess] = []
        self.processes: dict[str, ChildProcess] = {}

    def __enter__(self) -> Self:
        """Start everything."""
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        value: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Stop everything."""
        self.close()

    def start(self) -> None:
        """Start the stand-ins, then the daemons; returns when all listen."""
        platform = self._spawn("platform", "standins.platform", [])
        service = self._spawn("service", "standins.service", [])
        versions = self.plan.software
        engines = [
            self._spawn_engine(f"engine{number}", versions[number % len(versions)])
            for number in range(self.plan.engines)
        ]
        self.platform_address = platform.wait_listening()
        self.service_address = service.wait_listening()
        for engine in engines:
            self.engines[engine.name] = engine.wait_listening()
        for _ in range(self.plan.daemons):
            self.add_daemon()
        for daemon in self.daemons:
            daemon.wait_listening()

    def close(self) -> None:
        """Stop daemons first, then the stand-ins."""
        for daemon in self.daemons:
            daemon.send_signal(signal.SIGTERM)
        for process in reversed(self.processes.values()):
            process.close()

    def add_daemon(self) -> ChildProcess:
        """Start one more daemon."""
        number = len(self.daemons)
        data_centre = self._choose_data_centre(number)
        flags = {
            "address": LOOPBACK,
            "data-centre": data_centre,
            "platform-url": f"http://{self.platform_address}",
            "operator-token": OPERATOR_TOKEN,
            "http-port": "0",
            "peer-port": "0",
            "drain-ms": DRAIN_MS,
            **self.plan.daemon_flags,
        }
        arguments = [part for name, value in flags.items() for part in (f"--{name}", value)]
        daemon = self._spawn(f"daemon{number}", "goldcreststair", arguments)
        self.daemons.append(daemon)
        return daemon

    def find_data_centre(self, daemon: ChildProcess) -> str:
        """Return the data centre of a daemon."""
        return self._choose_data_centre(self.daemons.index(daemon))

    def restart_engine(self, name: str, software: str = "") -> None:
        """Restart a stopped engine at its address with this software; returns when it listens."""
        _, _, port = self.engines[name].rpartition(":")
        self._spawn_engine(name, software, port).wait_listening()

    def describe_configuration(self, customers: Mapping[str, Any]) -> dict[str, Any]:
        """Return a configuration with this fleet's upstreams; a customer's key is `key-NAME`."""
        centres = self.plan.data_centres
        upstreams: dict[str, Any] = {
            name: {
                "address": address,
                "data_centre": centres[number % len(centres)],
                "models": list(self.plan.models),
            }
            for number, (name, address) in enumerate(self.engines.items())
        }
        upstreams["grounds"] = {
            "address": self.service_address,
            "data_centre": centres[0],
            "kind": "service",
            "service": "grounds",
        }
        return {
            "customers": dict(customers),
            "keys": {
                hashlib.sha256(f"key-{name}".encode()).hexdigest(): name for name in customers
            },
            "upstreams": upstreams,
            "routes": {
                "book": {
                    "service": "grounds",
                    "method": "POST",
                    "path": "/book",
                    "repeatable": False,
                },
                "list": {
                    "service": "grounds",
                    "method": "GET",
                    "path": "/list",
                    "repeatable": True,
                },
            },
        }

    def patch_configuration(self, base_version: int, patch: Any, daemon: int = 0) -> HttpResponse:
        """Patch the configuration as an operator would."""
        request = {"base_version": base_version, "patch_id": uuid.uuid4().hex, "patch": patch}
        return send_request(
            self.daemons[daemon].wait_listening(),
            "PATCH",
            "/operator/configuration",
            request,
            {"Authorization": f"Bearer {OPERATOR_TOKEN}"},
        )

    def set_faults(self, name: str, faults: Mapping[str, Any]) -> None:
        """Replace the faults of one stand-in (`platform`, `service`, `engine0`...)."""
        send_request(self.processes[name].wait_listening(), "PUT", "/faults", faults)

    def _choose_data_centre(self, number: int) -> str:
        return self.plan.data_centres[number % len(self.plan.data_centres)]

    def _spawn(self, name: str, module: str, arguments: list[str]) -> ChildProcess:
        process = ChildProcess(name, module, arguments)
        self.processes[name] = process
        return process

    def _spawn_engine(self, name: str, software: str, port: str = "0") -> ChildProcess:
        models = ",".join(self.plan.models)
        step = str(self.plan.step_base_ms)
        arguments = ["--models", models, "--step-base-ms", step, "--port", port]
        return self._spawn(name, "standins.engine", [*arguments, f"--software={software}"])
