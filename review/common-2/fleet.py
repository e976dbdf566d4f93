"""Starts the daemons with the command of `deploy/system.toml` and its template of settings, on loopback addresses."""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
CONTRACTS = "base,drain,config,cost,recover,batch,stream,engine,tenants,quota,platform"
BOUNDS = {"grace_s": 8, "status_s": 120}


class CannotRun(Exception):
    """The case could not be run: exit status 2."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, path):
        self.path, self.lines, self.began = Path(path), [], time.monotonic()

    def __call__(self, event, **details):
        now = time.monotonic() - self.began
        self.lines.append((now, event, details))

    def write(self):
        text = (
            f"{at:8.3f} {event} " + " ".join(f"{k}={v}" for k, v in details.items())
            for at, event, details in self.lines
        )
        self.path.write_text("\n".join(text) + "\n")


METRICS_PORT = 9464
"""Fixed in the template of settings; taken on the loopback addresses of a run alone."""


def choose_net(count):
    """Return the first three numbers of loopback addresses at which nothing uses the metrics port."""
    for _ in range(50):
        net = f"127.{random.randint(2, 250)}.{random.randint(0, 250)}"
        try:
            for number in range(count):
                with socket.socket() as probe:
                    probe.bind((f"{net}.{number + 1}", METRICS_PORT))
        except OSError:
            continue
        return net
    raise CannotRun("no free loopback addresses")


def find_port(host):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def render(template, fields):
    """Fill in the template as DEPLOY.md tells, as far as the deploy file uses it."""

    def section(found):
        entries = list(look(found[1]).items())
        shown = []
        for at, (key, value) in enumerate(entries):
            comma = "," if at < len(entries) - 1 else ""
            shown.append(
                found[2].replace("{{@}}", key).replace("{{.}}", str(value)).replace("{{,}}", comma)
            )
        return "".join(shown)

    def look(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return value

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda found: str(look(found[1])), text)


class Daemon:
    def __init__(self, fleet, number):
        self.fleet, self.number = fleet, number
        self.ip = f"{fleet.net}.{number + 1}"
        self.front, self.ready = f"{self.ip}:{fleet.ports[0]}", f"{self.ip}:{fleet.ports[1]}"
        self.process = None
        self.store_address = ""
        """Where this daemon reaches the store, if not where the others do."""

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["gateway"]
        fields = {
            "ip": self.ip,
            "zone": "zone-a",
            "region": "region-a",
            "zones": {"zone-a": "region-a"},
            "contracts": CONTRACTS,
            "platform": {"address": self.store_address or self.fleet.store_address},
            "listen": {
                "front": self.front,
                "ready": self.ready,
                "directory": f"{self.ip}:{self.fleet.ports[2]}",
            },
            "internal_ports": [self.fleet.ports[3], self.fleet.ports[3]],
            "limits": {"memory_mb": 340, "max_fds": 8200},
            "bounds": BOUNDS,
        }
        settings = self.fleet.folder / f"daemon-{self.number}.toml"
        settings.write_text(render((ROOT / deploy["template"]).read_text(), fields))
        env = {
            name: value for name, value in os.environ.items() if name in ("PATH", "HOME", "LANG")
        }
        env |= {name: render(value, fields) for name, value in deploy["env"].items()}
        env |= {
            "GOLDCRESTSTAIR_BOOT": str(settings),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with (self.fleet.folder / f"daemon-{self.number}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["run"].split(), cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.fleet.record("started", daemon=self.front)

    async def is_ready(self):
        try:
            status, _, _ = await call(self.ready, "GET", "/-/ready", {"Host": "x"}, timeout_s=1.0)
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200

    def send(self, number):
        self.fleet.record("signal", daemon=self.front, signal=signal.Signals(number).name)
        self.process.send_signal(number)


class Fleet:
    def __init__(self, record, count):
        self.record, self.net = record, choose_net(count)
        self.folder = Path(tempfile.mkdtemp(prefix="review-2-"))
        self.ports = [find_port(f"{self.net}.1") for _ in range(4)]
        self.store_address = ""
        self.daemons = [Daemon(self, number) for number in range(count)]

    async def start(self, store_address, wait_s=25.0):
        self.store_address = store_address
        for daemon in self.daemons:
            await daemon.start()
        await self.wait_ready(wait_s)

    async def wait_ready(self, wait_s=25.0):
        ends_at = time.monotonic() + wait_s
        while not all([await daemon.is_ready() for daemon in self.daemons]):
            if time.monotonic() > ends_at or any(
                each.process.returncode is not None for each in self.daemons
            ):
                raise CannotRun("the daemons are not ready: " + self.read_logs()[-1500:])
            await asyncio.sleep(0.1)

    def read_logs(self):
        return "\n".join(
            path.read_text(errors="replace") for path in sorted(self.folder.glob("*.log"))
        )

    async def stop(self):
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                await daemon.process.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def call(address, method, path, headers, body=b"", timeout_s=5.0):
    """One call on a new channel; returns status, headers, body."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = [
                f"{method} {path} HTTP/1.1",
                *(f"{name}: {value}" for name, value in headers.items()),
            ]
            writer.write(
                "\r\n".join([*head, f"Content-Length: {len(body)}", "", ""]).encode() + body
            )
            await writer.drain()
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
            found = {
                line.partition(":")[0].strip().lower(): line.partition(":")[2].strip()
                for line in lines[1:]
                if line
            }
            status = int(lines[0].split(" ")[1])
            if found.get("transfer-encoding", "").lower() == "chunked":
                content = b""
                while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
                    content += await reader.readexactly(size)
                    await reader.readline()
            elif "content-length" in found:
                content = await reader.readexactly(int(found["content-length"]))
            else:
                content = await reader.read()
            return status, found, content
        finally:
            writer.close()


def make_config(version, cap=1_200_000, tenants=None, **changes):
    """Return a configuration of a small deployment: one service, two streaming routes and a batch route."""
    common = {
        "host": "host.example",
        "slo_ms": 400,
        "priority": 0,
        "service": "llm",
        "anonymous": False,
        "sticky": True,
    }
    return {
        "version": version,
        "routes": [
            common
            | {
                "name": "r-online",
                "prefix": "/online/",
                "kind": "streaming",
                "timeout_ms": 5000,
                "max_attempts": 2,
                "resumable": True,
                "gap_target_ms": 250,
            },
            common
            | {
                "name": "r-once",
                "prefix": "/once/",
                "kind": "streaming",
                "timeout_ms": 5000,
                "max_attempts": 1,
                "resumable": False,
                "gap_target_ms": 250,
            },
            common
            | {
                "name": "r-batch",
                "prefix": "/batch/",
                "kind": "batch",
                "timeout_ms": 15000,
                "max_attempts": 3,
                "resumable": True,
                "gap_target_ms": 250,
                "completion_target_ms": 18000,
                "max_wait_s": 60,
                "cap": cap,
                "priority": 2,
            },
        ],
        "services": [
            {
                "name": "llm",
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
        "tenants": tenants
        or [{"name": "club", "api_keys": ["key-club"], "rate_per_s": 0, "burst": 0, "priority": 0}],
    } | changes


def put_config(store, record, config):
    store.put("op", "", "config", json.dumps(config).encode())
    record("config", version=config["version"])


def run(main, folder):
    """Run a case; exit status 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def guarded():
        async with asyncio.timeout(110):
            return await main(record, trouble)

    try:
        broken = asyncio.run(guarded())
        record("verdict", broken=bool(broken), what=broken or "the rule held")
        print("BROKEN: " + broken if broken else "held")
        status = 1 if broken else 0
    except Exception as error:
        # A mistake of the case itself must not look like a broken rule.
        record("could-not-run", error=repr(error))
        print(f"could not run: {error!r}", file=sys.stderr)
        status = 2
    record.write()
    sys.exit(status)
