"""Daemons as processes, upstreams of a changing pace, and callers that keep their connections."""

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import orjson

from goldcreststair.clock import BootClock
from goldcreststair.store.rows import RowKey
from standins.rows import FakeRowStore
from tests.platform_adapter.local import CONFIG, make_request, register
from tests.platform_adapter.ports import find_port
from tests.platform_adapter.soak.callers import async_open
from tests.platform_adapter.soak.daemons import Daemon, DaemonPlan
from tests.platform_adapter.soak.engine import (
    EVENTS_HEADER,
    PADDING_HEADER,
    PAUSE_HEADER,
    make_event,
)
from tests.platform_adapter.soak.proxy import Proxy
from tests.platform_adapter.soak.record import Record, Run
from tests.platform_adapter.wire_engine import WireEngine, make_head
from tests.platform_adapter.wire_store import WireStore

DAEMONS: Final = 3
ENGINES: Final = 4
SEEDS: Final = 2
PATH: Final = "/once/x"
EVENTS: Final = 12
PAUSES_MS: Final = (5, 40)
"""Least and longest time between two events."""
DEADLINE_S: Final = 5.0
"""The caller's deadline, and the timeout of the route."""
READ_SLACK_S: Final = 2.0
REST_S: Final = (0.0, 4.0)
"""Least and longest pause of a caller between two requests."""
SHORT_REST_S: Final = 0.5
"""Pause of a caller that is in a hurry."""
IDLE_SHARE: Final = 0.5
"""Share of the pauses that are long."""
LIFETIMES_S: Final = (1.0, 1.0, 3.0)
"""How long callers use the addresses of one lookup."""


@dataclass(slots=True)
class Pace:
    """How many times longer than planned all upstreams take for each event."""

    factor: float = 1.0


@dataclass(slots=True)
class PacedEngine(WireEngine):
    """Streams events at the pace that a request's headers and `pace` give, and records its runs."""

    pace: Pace = field(default_factory=Pace)
    runs: dict[str, Run] = field(default_factory=dict)

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(headers.get("Content-Length", "0")))
        request = headers.get("Request-Id", "")
        run = self.runs[request] = Run(request, self.name, time.monotonic())
        try:
            writer.write(make_head(200, request, "Transfer-Encoding: chunked"))
            for event_number in range(1, int(headers.get(EVENTS_HEADER, "3")) + 1):
                pause_s = int(headers.get(PAUSE_HEADER, "0")) / 1_000
                await asyncio.sleep(pause_s * self.pace.factor)
                padding = int(headers.get(PADDING_HEADER, "0"))
                event = make_event(request, event_number, padding=padding)
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            run.ended_at = time.monotonic()
        return True


@dataclass(slots=True)
class Sent:
    """One attempt of a caller; times are in s of one monotonic clock."""

    request: str
    daemon: str
    sent_at: float
    first_event_at: float = float("inf")
    ended_at: float = float("inf")
    status: int = 0
    """0 if there was no readable head."""
    whole: bool = False
    headers: dict[str, str] = field(default_factory=dict)
    retry: "Sent | None" = None
    """The attempt that followed it."""

    @property
    def refused(self) -> bool:
        """Whether it was refused as not run."""
        return self.status in (429, 503)


async def async_read(
    reader: asyncio.StreamReader,
    sent: Sent,
    wait_s: float = DEADLINE_S + READ_SLACK_S,
    pause_s: float = 0.0,
) -> None:
    """Read one answer into `sent`, with a pause behind its head.

    `whole` stays False if the connection ends within the answer.
    """
    with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, TimeoutError):
        async with asyncio.timeout(wait_s):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            await asyncio.sleep(pause_s)
            sent.headers = dict(line.split(": ", 1) for line in head[1:] if line)
            sent.status = int(head[0].split(" ")[1])
            if sent.headers.get("Transfer-Encoding") == "chunked":
                while size := int(await reader.readuntil(b"\r\n"), 16):
                    await reader.readexactly(size + 2)
                    sent.first_event_at = min(sent.first_event_at, time.monotonic())
                await reader.readexactly(2)
            else:
                await reader.readexactly(int(sent.headers.get("Content-Length", "0")))
            sent.whole = True
    sent.ended_at = time.monotonic()


@dataclass(slots=True)
class LeaveSite:
    """Daemons without proxies before them, upstreams of one pace, and a store."""

    folder: Path
    config: Mapping[str, Any] = field(default_factory=lambda: CONFIG)
    slots: int = 8
    """Requests that one engine serves at a time."""
    pace: Pace = field(default_factory=Pace)
    record: Record = field(default_factory=Record)
    store: WireStore = field(default_factory=lambda: WireStore(FakeRowStore(BootClock())))
    engines: list[PacedEngine] = field(default_factory=list)
    daemons: list[Daemon] = field(default_factory=list)
    leaving: set[str] = field(default_factory=set)
    sent: list[Sent] = field(default_factory=list)

    async def async_start(self) -> None:
        """Start everything and wait until all daemons are ready."""
        self.store.start()
        self.store.store.put(RowKey("op", "", "config"), orjson.dumps(self.config))
        for number in range(ENGINES):
            engine = PacedEngine(f"i-{number}", pace=self.pace)
            await engine.async_start()
            self.engines.append(engine)
            register(self.store, engine, slots=self.slots)
        peer_port = find_port()
        addresses = [f"127.0.0.{number + 2}" for number in range(DAEMONS)]
        for address in addresses:
            plan = DaemonPlan(
                address,
                find_port(address),
                find_port(address),
                peer_port,
                self.store.address,
                tuple(addresses[:SEEDS]),
            )
            front = Proxy(f"front-{address}", plan.front)
            log = self.folder / f"{address}.log"
            self.daemons.append(Daemon(plan, front, self.record, log))
        await asyncio.gather(*(daemon.async_start() for daemon in self.daemons))

    async def async_close(self) -> None:
        """Stop everything."""
        await asyncio.gather(*(daemon.async_close() for daemon in self.daemons))
        for engine in self.engines:
            await engine.async_close()
        self.store.stop()

    def find_run(self, request: str) -> Run | None:
        """Return the run of a request, if an upstream began it."""
        return next(iter(self.list_runs(request)), None)

    def list_runs(self, request: str) -> list[Run]:
        """Return the runs of a request, at most one for each upstream."""
        return [each.runs[request] for each in self.engines if request in each.runs]

    def list_addresses(self) -> list[Daemon]:
        """Return the daemons that a lookup names now."""
        return [daemon for daemon in self.daemons if daemon.name not in self.leaving]

    def send_sigterm(self, daemon: Daemon) -> "asyncio.Task[float]":
        """Send SIGTERM to a daemon; the task returns when its process ended."""
        self.leaving.add(daemon.name)

        async def async_end() -> float:
            return (await daemon.async_leave()).since

        return asyncio.create_task(async_end())

    async def async_restart(self, daemon: Daemon) -> None:
        """Start a daemon again that has left."""
        await daemon.async_start()
        self.leaving.discard(daemon.name)


@contextlib.asynccontextmanager
async def async_open_leave_site(
    folder: Path, config: Mapping[str, Any] = CONFIG, slots: int = 8
) -> AsyncIterator[LeaveSite]:
    """Start a site; it is stopped in any case."""
    site = LeaveSite(folder, config, slots)
    try:
        await site.async_start()
        yield site
    finally:
        await site.async_close()


@dataclass(slots=True)
class Connection:
    """An open connection to a daemon."""

    daemon: Daemon
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


@dataclass(slots=True)
class KeepingCaller:
    """Keeps a connection to each daemon; looks addresses up again and retries once when one fails it."""

    name: str
    site: LeaveSite
    chooser: random.Random
    _known: Sequence[Daemon] = ()
    _known_until: float = 0.0
    _kept: dict[str, Connection] = field(default_factory=dict)
    _number: int = 0

    async def async_run(self, ended: asyncio.Event) -> None:
        """Send requests until `ended` is set."""
        while not ended.is_set():
            pause_ms = self.chooser.randint(*PAUSES_MS)
            headers = {EVENTS_HEADER: str(EVENTS), PAUSE_HEADER: str(pause_ms)}
            connection = await self._async_choose()
            if connection is not None:
                sent = await self._async_send(connection, headers, DEADLINE_S)
                if not sent.whole or sent.refused:
                    self._known_until = 0.0
                if sent.refused or self._is_unread(sent):
                    sent.retry = await self._async_retry(sent, headers)
            idle = self.chooser.random() < IDLE_SHARE
            await asyncio.sleep(self.chooser.uniform(*REST_S) if idle else SHORT_REST_S)
        for connection in self._kept.values():
            connection.writer.close()

    def _is_unread(self, sent: Sent) -> bool:
        return not sent.status and self.site.find_run(sent.request) is None

    async def _async_choose(self) -> Connection | None:
        """Return a kept connection, or a new one to a daemon without one."""
        for name in [name for name, kept in self._kept.items() if kept.reader.at_eof()]:
            self._kept.pop(name).writer.close()
        if len(self._kept) < DAEMONS:
            opened = await self._async_open(frozenset(self._kept))
            if opened is not None:
                return opened
        return self.chooser.choice([*self._kept.values()]) if self._kept else None

    async def _async_retry(self, failed: Sent, headers: dict[str, str]) -> Sent | None:
        await asyncio.sleep(float(failed.headers.get("Retry-After", "0")))
        left_s = failed.sent_at + DEADLINE_S - time.monotonic()
        connection = await self._async_open(frozenset((failed.daemon,)))
        if connection is None:
            return None
        return await self._async_send(connection, headers, left_s)

    async def _async_send(
        self, connection: Connection, headers: dict[str, str], deadline_s: float
    ) -> Sent:
        """Send one request and read its answer; the connection is kept if it can be."""
        self._number += 1
        daemon = connection.daemon.name
        sent = Sent(f"{self.name}-{self._number}", daemon, time.monotonic())
        self.site.sent.append(sent)
        deadline = {"Deadline-Ms": str(round(deadline_s * 1_000))}
        fields = headers | deadline | {"Request-Id": sent.request}
        connection.writer.write(make_request("POST", PATH, sent.request.encode(), fields))
        await async_read(connection.reader, sent)
        if not sent.whole or sent.headers.get("Connection") == "close":
            connection.writer.close()
            self._kept.pop(daemon, None)
        return sent

    async def _async_open(self, without: frozenset[str]) -> Connection | None:
        """Open a connection to a daemon that is not in `without`; None if there is none."""
        if time.monotonic() >= self._known_until:
            self._known = self.site.list_addresses()
            self._known_until = time.monotonic() + self.chooser.choice(LIFETIMES_S)
        daemons = [daemon for daemon in self._known if daemon.name not in without]
        if not daemons:
            return None
        daemon = self.chooser.choice(daemons)
        try:
            connection = Connection(daemon, *await async_open(daemon.plan.front))
        except OSError:
            self._known_until = 0.0
            return None
        replaced = self._kept.pop(daemon.name, None)
        if replaced is not None:
            replaced.writer.close()
        self._kept[daemon.name] = connection
        return connection


async def async_slow_down(pace: Pace, after_s: float, factor: float) -> None:
    """Make all upstreams slower after `after_s`."""
    await asyncio.sleep(after_s)
    pace.factor = factor
