"""Daemons of the deploy file as processes on loopback addresses, and the record of a case."""

import asyncio
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from standins.engine import Engine
from standins.store import Store
from standins.web import Answer, call

ROOT = Path(__file__).resolve().parents[2]
HOST = "host.example"
CONTRACTS = "base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform"
"""The contracts of the sites `zns-dielna` and `tehsil-fixtures`."""
HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit codes of a case."""
LIMIT_S = 110


def has_trouble() -> bool:
    """Return whether the disruption of the case is to take place."""
    return os.environ.get("TROUBLE", "1") != "0"


def make_config(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Return a configuration with one streaming and one batch route of one service."""
    config = {
        "version": version,
        "routes": [
            {
                "name": "r-stream",
                "host": HOST,
                "prefix": "/stream/",
                "kind": "streaming",
                "timeout_ms": 5000,
                "slo_ms": 300,
                "priority": 0,
                "service": "engine",
                "max_attempts": 2,
                "anonymous": False,
                "sticky": True,
                "resumable": True,
                "gap_target_ms": 250,
            },
            {
                "name": "r-batch",
                "host": HOST,
                "prefix": "/batch/",
                "kind": "batch",
                "timeout_ms": 15000,
                "slo_ms": 400,
                "priority": 2,
                "service": "engine",
                "max_attempts": 3,
                "max_wait_s": 60,
                "completion_target_ms": 18000,
                "cap": 1200000,
                "resumable": True,
            },
        ],
        "services": [
            {
                "name": "engine",
                "health_path": "/health",
                "max_conns": 180,
                "protocol": "h1",
                "tls": False,
                "engine": {"slots": 8, "kv_capacity": 101495, "models": [{"name": "m"}]},
            }
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [
            {"name": "club", "api_keys": ["key-club"], "priority": 1, "rate_per_s": 0, "burst": 0},
            {"name": "other", "api_keys": ["key-other"], "rate_per_s": 0, "burst": 0},
        ],
    }
    return config | changes


class Daemon:
    """One process of the role `gateway`."""

    def __init__(self, number: int, store_address: str, folder: Path, memory_mb: int) -> None:
        """Write the settings file as the template of the deploy file has it."""
        self.number = number
        self.ip = f"127.0.{random.randrange(1, 250)}.{10 + number}"
        ports = find_ports(self.ip, 5)
        self.front, self.directory, self.ready = (f"{self.ip}:{port}" for port in ports[:3])
        self._settings = folder / f"daemon-{number}.toml"
        self._log = folder / f"daemon-{number}.log"
        self._settings.write_text(
            f'address = "{self.ip}"\ndata_centre = "dc-a"\nregion = "region"\n'
            f'data_centre_regions = "dc-a=region"\nstore_address = "{store_address}"\n'
            f'front = "{self.front}"\nentry = "{self.directory}"\nready = "{self.ready}"\n'
            f"peer_port = {ports[3]}\nmemory_mb = {memory_mb}\ngrace_s = 8\njob_read_s = 120\n"
            f"metrics_port = {ports[4]}\n"
        )
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env = kept | {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "GOLDCRESTSTAIR_BOOT": str(self._settings),
            "USERS_PLATFORM_CONTRACTS": CONTRACTS,
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "-S", "platform/serve.py", cwd=ROOT, env=env, stdout=log, stderr=log
            )

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Return once the platform's check answers 200."""
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            answer = await call(self.ready, "GET", "/-/ready", {"Host": "x"}, timeout_s=1)
            if answer.status == 200:
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"daemon {self.number} is not ready:\n{self._log.read_text()[-2000:]}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def read_log(self) -> str:
        """Return what the process wrote."""
        return self._log.read_text(errors="replace") if self._log.exists() else ""


def find_ports(ip: str, count: int) -> list[int]:
    """Return ports that are free now, below those that the system gives to outgoing channels."""
    found: list[int] = []
    while len(found) < count:
        port = random.randrange(20_000, 32_000)
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, path: Path) -> None:
        """Write to `path`."""
        self._file = path.open("w")
        self._began_at = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """End the record."""
        self._file.close()


class Fleet:
    """A store, engines and daemons."""

    def __init__(self, record: Record, folder: Path) -> None:
        """Start with a store only."""
        self.record, self._folder = record, folder
        self.store = Store()
        self.engines: list[Engine] = []
        self.daemons: list[Daemon] = []

    async def start(
        self, config: dict[str, Any], engines: list[Engine], daemons: int, memory_mb: int = 340
    ) -> None:
        """Start everything and wait until all daemons are ready."""
        self.engines = engines
        self.store.put("op", "config", config)
        for engine in engines:
            await engine.start()
        for number in range(daemons):
            daemon = Daemon(number, self.store.server.address, self._folder, memory_mb)
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await daemon.wait_ready()
        await asyncio.sleep(2.0)

    async def close(self) -> None:
        """End all processes and servers."""
        for daemon in self.daemons:
            await daemon.kill()
        for engine in self.engines:
            await engine.close()
        await self.store.close()


def make_headers(request: str, deadline_ms: int = 5000, key: str = "key-club") -> dict[str, str]:
    """Return the headers of a client's request."""
    return {
        "Host": HOST,
        "Request-Id": request,
        "Model": "m",
        "Deadline-Ms": str(deadline_ms),
        "X-Api-Key": key,
    }


async def read_job(front: str, job: str, key: str = "key-club") -> tuple[int, list[dict[str, Any]]]:
    """Read all results of a job from position 0; returns the last status and the results."""
    results: list[dict[str, Any]] = []
    while True:
        headers = {"Host": HOST, "X-Api-Key": key}
        answer: Answer = await call(front, "GET", f"/-/lots/{job}?after={len(results)}", headers)
        if answer.status != 200:
            return answer.status, results
        page = answer.json()["results"]
        if not page:
            return 200, results
        results += page


def run_case(case: str, scenario: Callable[[Fleet], Awaitable[bool]]) -> None:
    """Run a scenario that returns whether the rule was broken, and exit with the code of a case."""
    record = Record(Path(case).resolve().parent / "record.txt")

    async def run() -> bool:
        task = asyncio.current_task()
        assert task is not None
        # A case that is stopped from outside still ends its processes.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            fleet = Fleet(record, Path(folder))
            await fleet.store.start()
            try:
                async with asyncio.timeout(LIMIT_S):
                    return await scenario(fleet)
            finally:
                await fleet.close()
                if kept := os.environ.get("KEEP_LOGS"):
                    for daemon in fleet.daemons:
                        Path(kept, f"daemon-{daemon.number}.log").write_text(daemon.read_log())

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record.add(f"the case could not run: {error!r}")
        print(json.dumps({"error": repr(error)}), file=sys.stderr)
        sys.exit(NOT_RUN)
    record.add("BROKEN" if broken else "held")
    record.close()
    sys.exit(BROKEN if broken else HELD)
