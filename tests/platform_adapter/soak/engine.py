"""An upstream whose events contain their request id, and that records its runs."""

import asyncio
import time
from dataclasses import dataclass, field
from typing import Final

from tests.platform_adapter.soak.record import Run
from tests.platform_adapter.wire_engine import WireEngine, make_head

EVENTS_HEADER: Final = "Soak-Events"
PAUSE_HEADER: Final = "Soak-Pause-Ms"


def make_event(request: str, number: int) -> bytes:
    """Return one event of a request."""
    return f"id: {number}\ndata: {request} {number}\n\n".encode()


def make_text(request: str, events: int) -> bytes:
    """Return all events of a request."""
    return b"".join(make_event(request, number) for number in range(1, events + 1))


@dataclass(slots=True)
class SoakEngine(WireEngine):
    """Runs every request, or refuses all of them as not run while `refuses` is set."""

    refuses: bool = False
    runs: list[Run] = field(default_factory=list)

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, number: int
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(headers.get("Content-Length", "0")))
        request = headers.get("Request-Id", "")
        if self.refuses:
            writer.write(make_head(503, request, "Not-Run: 1\r\nContent-Length: 0"))
            return True
        run = Run(request, self.name, time.monotonic())
        self.runs.append(run)
        try:
            await self._async_run(writer, request, headers)
        finally:
            run.ended_at = time.monotonic()
        return True

    async def _async_run(
        self, writer: asyncio.StreamWriter, request: str, headers: dict[str, str]
    ) -> None:
        first = int(headers.get("Last-Event-Id", "0")) + 1
        writer.write(make_head(200, request, "Transfer-Encoding: chunked"))
        for number in range(first, int(headers.get(EVENTS_HEADER, "3")) + 1):
            await asyncio.sleep(int(headers.get(PAUSE_HEADER, "0")) / 1000)
            event = make_event(request, number)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
