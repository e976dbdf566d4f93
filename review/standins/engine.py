"""A sound engine: runs requests for tokens in slots, and registers itself in the store."""

import asyncio
import contextlib
import time
from dataclasses import dataclass

from standins.store import Store
from standins.web import Request, Server

HEARTBEAT_S = 1.2
QUEUE = 4


@dataclass
class Run:
    """One request that reached an engine."""

    engine: str
    request: str
    tenant: str
    path: str
    began_at: float
    after: int
    """`Last-Event-Id` of the request."""
    status: int = 0
    """Status of the engine's answer; 0 if the channel ended before it."""
    whole: bool = False
    """Whether the engine sent its whole answer."""
    ended_at: float = 0.0


class Engine:
    """An engine of one service."""

    def __init__(self, name: str, service: str, store: Store, slots: int = 8) -> None:
        """Set up an engine that is not registered yet."""
        self.name, self.service, self.slots = name, service, slots
        self.runs: list[Run] = []
        self.refused: list[Run] = []
        """Requests that it answered as not run."""
        self.events = 6
        self.event_s = 0.05
        self.server = Server(self._handle)
        self._store = store
        self._running = self._sequence = 0
        self._free = asyncio.Semaphore(slots)
        self._born = int(time.time() * 1000)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen and register."""
        await self.server.start()
        self._task = asyncio.create_task(self._register())

    async def close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
        await self.server.close()

    async def crash(self) -> None:
        """End at once: all channels are reset, and no new one is accepted."""
        if self._task is not None:
            self._task.cancel()
        self.server.reset()
        await self.server.close()

    @property
    def running(self) -> int:
        """Number of requests that run now."""
        return self._running

    def entry(self) -> dict[str, object]:
        """Return the engine's entry in the store."""
        return {
            "service": self.service,
            "address": self.server.address,
            "zone": "dc-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }

    async def _register(self) -> None:
        while True:
            self._sequence += 1
            self._store.put("servers", self.name, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    def head(self, request: Request, status: int, more: str) -> bytes:
        """Return the head of an answer."""
        load = f"{self._running},0,{self.slots}"
        return (
            f"HTTP/1.1 {status} X\r\nRequest-Id: {request.headers.get('request-id', '')}\r\n"
            f"Response-Stamp: {self.name}.{len(self.runs)}\r\nServer-Load: {load}\r\n"
            f"Keep-Alive: timeout=10\r\n{more}\r\n\r\n"
        ).encode()

    async def _handle(self, request: Request) -> bool:
        headers = request.headers
        run = Run(
            self.name,
            headers.get("request-id", ""),
            headers.get("tenant", ""),
            request.target,
            time.monotonic(),
            int(headers.get("last-event-id", "0")),
        )
        if headers.get("target-instance", self.name) != self.name:
            run.status = 421
            self.refused.append(run)
            more = f"Instance-Id: {self.name}\r\nContent-Length: 0"
            request.writer.write(self.head(request, 421, more))
            return True
        if self._running >= self.slots + QUEUE:
            run.status = 503
            self.refused.append(run)
            request.writer.write(self.head(request, 503, "Not-Run: 1\r\nContent-Length: 0"))
            return True
        self._running += 1
        answering = asyncio.ensure_future(self._run(request, run))
        leaving = asyncio.ensure_future(self._wait_closed(request))
        try:
            await asyncio.wait({answering, leaving}, return_when=asyncio.FIRST_COMPLETED)
            return await answering if answering.done() else False
        finally:
            for task in (answering, leaving):
                task.cancel()
            self._running -= 1
            run.ended_at = time.monotonic()

    async def _wait_closed(self, request: Request) -> None:
        """Return once the caller has closed its channel."""
        while not (request.reader.at_eof() or request.writer.transport.is_closing()):
            await asyncio.sleep(0.02)

    async def _run(self, request: Request, run: Run) -> bool:
        async with self._free:
            self.runs.append(run)
            return await self.answer(request, run)

    async def answer(self, request: Request, run: Run) -> bool:
        """Write the answer; returns whether the channel stays open."""
        await self.write_stream(request, run, self.events)
        return True

    async def write_stream(self, request: Request, run: Run, events: int) -> None:
        """Write events, one after the other."""
        run.status = 200
        more = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
        request.writer.write(self.head(request, 200, more))
        for number in range(run.after + 1, events + 1):
            await asyncio.sleep(self.event_s)
            event = f"id: {number}\ndata: {make_data(run.request, number)}\n\n".encode()
            request.writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        request.writer.write(b"0\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            await request.writer.drain()
        run.whole = True


def make_data(request: str, number: int) -> str:
    """Return the data of one event."""
    return f"{request} {number}"


def make_text(request: str, events: int) -> str:
    """Return the whole text of an item."""
    return "\n".join(make_data(request, number) for number in range(1, events + 1))
