"""An upstream whose events contain their request id and its software version, and that records its runs."""

import asyncio
import re
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from standins.crash_rules import CrashRecord, PartArrival, PartCrash
from tests.platform_adapter.soak.record import Run
from tests.platform_adapter.wire_engine import WireEngine, make_head

EVENTS_HEADER: Final = "Soak-Events"
PAUSE_HEADER: Final = "Soak-Pause-Ms"
PADDING_HEADER: Final = "Soak-Padding"
"""Bytes that are added to each event."""
UNFRAMED_HEADER: Final = "Soak-Unframed"
"""Asks for an answer with neither a length nor chunks."""
PARTS_HEADER: Final = "Prompt-Prefix"
CRASH_AFTER_HEAD: Final = "c0"
CRASH_AFTER_EVENTS: Final = "c1"
CRASH_UNFRAMED: Final = "c2"
"""Prompt parts that crash each upstream that begins an answer on them."""
CRASH_PARTS: Final = (CRASH_AFTER_HEAD, CRASH_AFTER_EVENTS, CRASH_UNFRAMED)
CRASH_EVENTS: Final = 2
"""Events before a crash under `CRASH_AFTER_EVENTS`."""


BREAKS_EVERY: Final = 20
"""One request of so many is broken off, once by each upstream, in the middle of its first event."""
FAILS_EVERY: Final = 25
"""One request of so many fails at the first upstream that runs it."""
FAILURE_STATUSES: Final = (503, 429, 408)
"""To callers they promise that nothing ran; an upstream promises that only with `Not-Run`."""
CALL_PATH: Final = "/call/x"
SOFTWARE_MARK: Final = re.compile(r" by (\S+)")


def make_event(request: str, number: int, software: str = "", padding: int = 0) -> bytes:
    """Return one event of a request, with the software version that made it unless that is left out."""
    padded = f" {'x' * padding}" if padding else ""
    mark = f" by {software}" if software else ""
    return f"id: {number}\ndata: {request} {number}{padded}{mark}\n\n".encode()


def make_text(request: str, events: int, after: int = 0, padding: int = 0) -> bytes:
    """Return the events of a request after event `after`, without software versions."""
    numbers = range(after + 1, events + 1)
    return b"".join(make_event(request, number, padding=padding) for number in numbers)


def split_software(text: str) -> tuple[str, frozenset[str]]:
    """Return a text without software versions, and the versions that it named.

    >>> split_software(make_event("r", 1, "v2").decode())
    ('id: 1\\ndata: r 1\\n\\n', frozenset({'v2'}))
    """
    return SOFTWARE_MARK.sub("", text), frozenset(SOFTWARE_MARK.findall(text))


@dataclass(slots=True)
class SoakEngine(WireEngine):
    """Runs every request, or refuses all of them as not run while `refuses` is set."""

    refuses: bool = False
    slowness: float = 1.0
    """How many times its usual pause it takes between two events."""
    software: str = "v1"
    down: bool = False
    """Whether it has crashed: it closes every connection."""
    runs: list[Run] = field(default_factory=list)
    refusals: list[Run] = field(default_factory=list)
    """Requests that it refused as not run."""
    broken_off: list[Run] = field(default_factory=list)
    """Requests whose answer it broke off in the middle of their first event."""
    fails: bool = False
    """Whether some requests fail after it has begun them."""
    failed: list[Run] = field(default_factory=list)
    """Requests that failed after an upstream had begun them; one list for all upstreams."""
    crash_record: CrashRecord = field(default_factory=CrashRecord)
    on_crash: Callable[["SoakEngine"], None] = lambda _: None
    """Called when it ends under a prompt part."""

    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def crash(self) -> None:
        """Close all connections, and new ones until `down` is cleared."""
        self.down = True
        for writer in self._writers:
            writer.transport.abort()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            # `dataclass(slots=True)` creates a new class, so `super()` without arguments would fail.
            await WireEngine._async_serve(self, reader, writer)
        finally:
            self._writers.discard(writer)

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        if self.down:
            return False
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(headers.get("Content-Length", "0")))
        request = headers.get("Request-Id", "")
        if self.down:
            return False
        if self.refuses:
            self.refusals.append(Run(request, self.name, time.monotonic()))
            writer.write(make_head(503, request, "Not-Run: 1\r\nContent-Length: 0"))
            return True
        part = find_crash_part(headers)
        if part:
            # The daemon that sent it is found by the request's id.
            arrival = PartArrival(part, request, "", time.monotonic())
            self.crash_record.arrivals.append(arrival)
        run = Run(request, self.name, time.monotonic())
        self.runs.append(run)
        try:
            if part:
                await self._async_crash(writer, request, headers, part)
            elif status := self._find_failure(request):
                self.failed.append(run)
                writer.write(make_head(status, request, "Content-Length: 0"))
                return True
            else:
                await self._async_run(writer, request, head[0].split()[1], headers)
        finally:
            run.ended_at = time.monotonic()
        return UNFRAMED_HEADER not in headers

    async def _async_run(
        self, writer: asyncio.StreamWriter, request: str, path: str, headers: dict[str, str]
    ) -> None:
        first, software = int(headers.get("Last-Event-Id", "0")) + 1, self.software
        framed, padding = UNFRAMED_HEADER not in headers, int(headers.get(PADDING_HEADER, "0"))
        framing = "Transfer-Encoding: chunked" if framed else "Connection: close"
        writer.write(make_head(200, request, framing))
        if first == 1 and self._breaks_off(request, path):
            self.broken_off.append(Run(request, self.name, time.monotonic()))
            half = make_event(request, 1, software)[:-4]
            chunks = f"{len(half):x}\r\n".encode() + half + b"\r\n0\r\n\r\n"
            writer.write(chunks if framed else half)
            await writer.drain()
            return
        for number in range(first, int(headers.get(EVENTS_HEADER, "3")) + 1):
            await asyncio.sleep(int(headers.get(PAUSE_HEADER, "0")) / 1000 * self.slowness)
            event = make_event(request, number, software, padding)
            chunk = f"{len(event):x}\r\n".encode() + event + b"\r\n"
            writer.write(chunk if framed else event)
            await writer.drain()
        if framed:
            writer.write(b"0\r\n\r\n")
            await writer.drain()

    def _find_failure(self, request: str) -> int:
        """Return the status with which a request fails here; 0 if it does not."""
        number, kind = divmod(zlib.crc32(request.encode()), FAILS_EVERY)
        if not self.fails or kind or any(each.request == request for each in self.failed):
            return 0
        return FAILURE_STATUSES[number % len(FAILURE_STATUSES)]

    def _breaks_off(self, request: str, path: str) -> bool:
        # The body of a call holds no events by which it could be seen to be incomplete.
        if path == CALL_PATH or zlib.crc32(request.encode()) % BREAKS_EVERY:
            return False
        return not any(
            each.request == request for each in self.broken_off if each.upstream == self.name
        )

    async def _async_crash(
        self, writer: asyncio.StreamWriter, request: str, headers: dict[str, str], part: str
    ) -> None:
        """Begin an answer and crash."""
        framed = part != CRASH_UNFRAMED
        framing = "Transfer-Encoding: chunked" if framed else "Connection: close"
        writer.write(make_head(200, request, framing))
        first = int(headers.get("Last-Event-Id", "0")) + 1
        for number in range(first, first + CRASH_EVENTS if part == CRASH_AFTER_EVENTS else first):
            event = make_event(request, number, self.software)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        if not self.down:
            self.crash_record.crashes.append(PartCrash(part, self.name, time.monotonic()))
            self.on_crash(self)


def find_crash_part(headers: dict[str, str]) -> str:
    """Return the part of a prompt that crashes upstreams; empty if there is none.

    >>> find_crash_part({"Prompt-Prefix": "s1:100,c0:50,own:20"}), find_crash_part({})
    ('c0', '')
    """
    listed = headers.get(PARTS_HEADER, "").split(",")[:-1]
    names = (each.partition(":")[0] for each in listed)
    return next((name for name in names if name in CRASH_PARTS), "")
