"""A gateway daemon on loopback, with a store and an engine that speak the platform's wire format."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import orjson
from serve import create_gateway
from tornado.httpserver import HTTPServer
from users_platform.callers import CallerServer
from users_platform.early_listener import listen
from users_platform.entry import create_entry_application

from goldcreststair.clock import BootClock
from goldcreststair.components.entry.service import ENTRY
from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.gateway import Gateway
from goldcreststair.gateway_settings import GatewaySettings
from goldcreststair.store.rows import RowKey
from standins.rows import FakeRowStore
from tests.platform_adapter.ports import find_port
from tests.platform_adapter.wire_engine import WireEngine
from tests.platform_adapter.wire_store import WireStore

HOST = "host.example"
KEY = "key-club"
OTHER_KEY = "key-other"

CONFIG: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "r-stream",
            "host": HOST,
            "prefix": "/stream/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "slo_ms": 300,
            "service": "engine",
            "max_attempts": 2,
            "resumable": True,
        },
        {
            "name": "r-once",
            "host": HOST,
            "prefix": "/once/",
            "kind": "streaming",
            "timeout_ms": 5000,
            "slo_ms": 300,
            "service": "engine",
            "max_attempts": 1,
            "resumable": False,
        },
        {
            "name": "r-call",
            "host": HOST,
            "prefix": "/call/",
            "kind": "idempotent",
            "timeout_ms": 5000,
            "slo_ms": 300,
            "service": "engine",
            "max_attempts": 1,
        },
        {
            "name": "r-batch",
            "host": HOST,
            "prefix": "/batch/",
            "kind": "batch",
            "timeout_ms": 15000,
            "slo_ms": 400,
            "service": "engine",
            "max_attempts": 3,
            "max_wait_s": 60,
            "completion_target_ms": 18000,
            "cap": 2000,
            "resumable": True,
        },
    ],
    "services": [{"name": "engine", "max_conns": 100, "engine": {"slots": 8}}],
    "limits": {"max_header_bytes": 4096, "max_body_bytes": 100_000},
    "tenants": [
        {"name": "club", "api_keys": [KEY], "rate_per_s": 0, "burst": 0},
        {"name": "other", "api_keys": [OTHER_KEY]},
    ],
}


@dataclass(slots=True)
class HttpAnswer:
    """One HTTP answer as it was read."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    """Whether it was complete according to its framing."""

    def read_json(self) -> Any:
        """Return the body, decoded as JSON."""
        return orjson.loads(self.body)


@dataclass(slots=True)
class LocalGateway:
    """The daemon with its servers, store and engine."""

    store: WireStore
    engine: WireEngine
    gateway: Gateway
    callers: CallerServer
    entry: HTTPServer
    front: str
    entry_address: str
    connections: list[asyncio.StreamWriter] = field(default_factory=list)

    async def async_open(
        self, address: str = ""
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection, by default to the server for callers."""
        host, _, port = (address or self.front).rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        self.connections.append(writer)
        return reader, writer

    async def async_call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        address: str = "",
    ) -> HttpAnswer:
        """Send one request on a connection of its own."""
        reader, writer = await self.async_open(address)
        writer.write(make_request(method, path, body, headers))
        return await async_read_answer(reader)


def make_request(
    method: str, path: str, body: bytes = b"", headers: Mapping[str, str] | None = None
) -> bytes:
    """Return a request's bytes; `headers` override the defaults, and an empty value omits one."""
    defaults: dict[str, str] = {
        "Host": HOST,
        "Request-Id": "r1",
        "X-Api-Key": KEY,
        "Deadline-Ms": "3000",
    }
    fields = defaults | dict(headers or {}) | {"Content-Length": str(len(body))}
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items() if v)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


async def async_read_answer(reader: asyncio.StreamReader) -> HttpAnswer:
    """Read one answer; its `whole` is False if the connection ends within the body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
    headers = dict(line.split(": ", 1) for line in head[1:] if line)
    status = int(head[0].split(" ")[1])
    body, whole = b"", True
    try:
        if headers.get("Transfer-Encoding") == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readexactly(2)
        else:
            body = await reader.readexactly(int(headers.get("Content-Length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        whole = False
    return HttpAnswer(status, headers, body, whole)


def run_local(
    scenario: Callable[[LocalGateway], Awaitable[None]], config: Mapping[str, Any] = CONFIG
) -> None:
    """Run a scenario with a daemon that is ready, for at most 40 s."""

    async def async_run() -> None:
        local = await async_start_local(config)
        try:
            async with asyncio.timeout(40):
                await scenario(local)
        finally:
            for writer in local.connections:
                writer.close()
            local.entry.stop()
            await local.callers.async_close()
            await local.gateway.async_close()
            await local.engine.async_close()
            local.store.stop()

    asyncio.run(async_run())


async def async_start_local(config: Mapping[str, Any]) -> LocalGateway:
    """Start everything and wait until the daemon is ready."""
    store = WireStore(FakeRowStore(BootClock()))
    store.start()
    engine = WireEngine()
    await engine.async_start()
    store.store.put(RowKey("op", "", "config"), orjson.dumps(config))
    register(store, engine)
    front, entry_address = f"127.0.0.1:{find_port()}", f"127.0.0.1:{find_port()}"
    settings = GatewaySettings(
        "127.0.0.1",
        "dc-a",
        store.address,
        front=front,
        entry=entry_address,
        peer_port=find_port(),
        grace_s=1.0,
    )
    gateway = create_gateway(settings)
    await gateway.async_start()
    callers = CallerServer(gateway.core)
    gateway.core.get(ENTRY).add_leave_handler(callers)
    callers.start(listen("127.0.0.1", int(front.rpartition(":")[2])))
    entry = HTTPServer(create_entry_application(gateway.core))
    entry.listen(int(entry_address.rpartition(":")[2]), "127.0.0.1")
    await async_wait_ready(gateway)
    return LocalGateway(store, engine, gateway, callers, entry, front, entry_address)


async def async_wait_ready(gateway: Gateway) -> None:
    """Return once the daemon is listed for callers and can accept jobs; raises `TimeoutError`."""
    links, entry = gateway.core.get(FLEET_LINKS), gateway.core.get(ENTRY)
    for _ in range(500):
        if entry.list_addresses("dc-a", "default") and links.is_registered():
            return
        await asyncio.sleep(0.02)
    raise TimeoutError("not ready")


def register(
    store: WireStore,
    engine: WireEngine,
    state: str = "ready",
    zone: str = "dc-a",
    version: str = "v1",
    born: int = 1,
    slots: int = 8,
    service: str = "engine",
) -> None:
    """Write an engine's entry to the store's table of upstreams."""
    entry = {
        "service": service,
        "address": engine.address,
        "zone": zone,
        "version": version,
        "slots": slots,
        "cold_left_ms": 0,
        "state": state,
        "sequence": 1,
        "born": born,
    }
    store.store.put(RowKey("servers", "", engine.name), orjson.dumps(entry))
