"""One gateway daemon as a process, with a store and an engine, whose limits are lowered."""

import asyncio
import contextlib
import copy
import resource
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import orjson

from goldcreststair.clock import BootClock
from goldcreststair.store.rows import RowKey
from standins.rows import FakeRowStore
from tests.client_limits.crowd import (
    ANSWER_TIMEOUT_S,
    MAX_BODY_BYTES,
    MEMORY_MB,
    RETURN_S,
    TRIES,
)
from tests.helpers.processes import count_descriptors, read_peak_mb
from tests.platform_adapter.local import (
    CONFIG,
    HttpAnswer,
    async_read_answer,
    make_request,
    register,
)
from tests.platform_adapter.ports import find_port
from tests.platform_adapter.soak.daemons import Daemon, DaemonPlan
from tests.platform_adapter.soak.proxy import Proxy
from tests.platform_adapter.soak.record import Record
from tests.platform_adapter.wire_engine import WireEngine
from tests.platform_adapter.wire_store import WireStore

ADDRESS: Final = "127.0.0.3"


def make_config() -> dict[str, Any]:
    """Return a configuration with the platform's usual limits, and time for long bodies."""
    config = copy.deepcopy(CONFIG)
    config["limits"] = {"max_header_bytes": 16 * 1024, "max_body_bytes": MAX_BODY_BYTES}
    for route in config["routes"]:
        route["timeout_ms"] = 30_000
    return config


@dataclass(slots=True)
class GatewaySite:
    """The daemon under test and what it needs; use as a context manager."""

    folder: Path
    memory_mb: int = MEMORY_MB
    descriptors: int = 0
    """Limit on open descriptors of the daemon; 0 for that of this process."""
    store: WireStore = field(default_factory=lambda: WireStore(FakeRowStore(BootClock())))
    engine: WireEngine = field(default_factory=WireEngine)
    front: str = ""
    entry: str = ""
    ready: str = ""
    metrics: str = ""
    peer: str = ""
    _daemon: Daemon | None = None

    async def __aenter__(self) -> "GatewaySite":
        """Start everything; returns once the daemon is ready."""
        self.store.start()
        self.store.store.put(RowKey("op", "", "config"), orjson.dumps(make_config()))
        await self.engine.async_start()
        register(self.store, self.engine)
        ports = [find_port() for _ in range(5)]
        self.front, self.ready, self.peer, self.entry, self.metrics = (
            f"{ADDRESS}:{port}" for port in ports
        )
        flags = (
            f"--memory-mb={self.memory_mb}",
            f"--entry={self.entry}",
            f"--metrics-port={ports[4]}",
        )
        plan = DaemonPlan(
            ADDRESS, ports[0], ports[1], ports[2], self.store.address, (ADDRESS,), flags
        )
        proxy = Proxy("front", plan.front)
        await proxy.async_start()
        self._daemon = Daemon(plan, proxy, Record(), self.folder / "daemon.log")
        with limit_descriptors(self.descriptors):
            await self._daemon.async_start()
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stop everything."""
        if self._daemon is not None:
            await self._daemon.async_close()
        await self.engine.async_close()
        self.store.stop()

    @property
    def pid(self) -> int:
        """Return the daemon's process id; raises `AssertionError` if the process has ended."""
        assert self._daemon is not None
        return self._daemon.read_pid()

    def read_peak_mb(self) -> float:
        """Return the most memory that the daemon has had, MB."""
        return read_peak_mb(self.pid)

    def count_descriptors(self) -> int:
        """Return the number of the daemon's open descriptors."""
        return count_descriptors(self.pid)

    async def async_call(self, request: bytes) -> HttpAnswer:
        """Send one request on a connection of its own, and return the answer."""
        host, _, port = self.front.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(request)
            return await async_read_answer(reader)
        finally:
            writer.close()

    async def async_is_served(self) -> bool:
        """Return whether an ordinary request is answered in one of `TRIES` attempts."""
        body = b"x" * 1500
        for number in range(TRIES):
            request = make_request("POST", "/call/x", body, {"Request-Id": f"ordinary-{number}"})
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    if (await self.async_call(request)).status == 200:
                        return True
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(RETURN_S)
        return False


@contextlib.contextmanager
def limit_descriptors(limit: int) -> Iterator[None]:
    """Lower the limit on open descriptors that processes inherit meanwhile; 0 changes nothing."""
    before = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit or before[0], before[1]))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, before)
