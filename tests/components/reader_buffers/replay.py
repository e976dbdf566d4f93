"""Slow and normal readers of upstreams that cut an answer which is unread for 3 s, on virtual time."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.forwarding.protocols import Responder
from goldcreststair.components.reader_buffers.models import ReaderIdentity
from goldcreststair.components.reader_buffers.service import ReaderBufferService
from standins.gateways import FakeResponder, GatewayFleet
from tests.helpers.gateways import run_fleet

FAR = Millis(10**9)
EVENTS = 20
EVENT_MS = 35
UNREAD_MS = 3_000
"""Time after which upstreams cut an answer that is unread."""


@dataclass(slots=True)
class PacedResponder(FakeResponder):
    """A caller that reads at `rate` bytes per second; 0 reads nothing."""

    rate: float = 1_000.0
    socket_bytes: int = 4_096
    """Bytes that the kernel holds for the reader."""
    read_until: float = 0.0
    """Time at which the reader has read everything that was written."""

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Record a chunk; returns a wait until the kernel has accepted it."""
        FakeResponder.write(self, data)
        return self.wait_for(len(data))

    def wait_for(self, size: int) -> Awaitable[None] | None:
        """Return a wait until the kernel has accepted `size` more bytes."""
        now = self.clock.now()
        if not self.rate:
            fits = len(self.body) <= self.socket_bytes
            return None if fits else self.clock.async_sleep(10**9)
        self.read_until = max(float(now), self.read_until) + size / self.rate * 1_000
        wait_ms = self.read_until - self.socket_bytes / self.rate * 1_000 - now
        return None if wait_ms <= 0 else self.clock.async_sleep(round(wait_ms))


@dataclass(slots=True)
class WholeResponder(PacedResponder):
    """The same for an answer that is sent as a whole."""

    def answer(self, head: object, body: bytes) -> Awaitable[None] | None:  # type: ignore[override]
        """Record the answer; returns a wait until the kernel has accepted it."""
        self.body, self.whole = body, True
        return self.wait_for(len(body))


async def async_stream(clock: Clock, caller: Responder, event: bytes) -> None:
    """Send an answer as an upstream does; it is cut once one of its events is unread for too long."""
    began_at = clock.now()
    for number in range(EVENTS):
        due_at = began_at + number * EVENT_MS
        await clock.async_sleep(max(0, due_at - clock.now()))
        try:
            async with asyncio.timeout((due_at + UNREAD_MS - clock.now()) / 1_000):
                taken = caller.write(event)
                if taken is not None:
                    await taken
        except TimeoutError:
            caller.abort()
            return
    caller.finish()


def make_identity(name: str = "r", resumable: bool = True) -> ReaderIdentity:
    """Return the identity of a request whose deadline is far away."""
    return ReaderIdentity(name, resumable, FAR)


@dataclass(slots=True)
class Readers:
    """Readers of one daemon, and the most bytes that were held for them."""

    fleet: GatewayFleet
    service: ReaderBufferService
    peak_bytes: int = 0

    async def async_serve(
        self, caller: PacedResponder, event: bytes, resumable: bool = True, name: str = ""
    ) -> None:
        """Stream an answer to one reader."""
        clock = self.fleet.clock
        identity = make_identity(name, resumable)
        await self.service.async_serve(caller, identity, lambda to: async_stream(clock, to, event))

    async def async_watch(self) -> None:
        """Record the most bytes held."""
        while True:
            self.peak_bytes = max(self.peak_bytes, self.service.count_bytes())
            await self.fleet.clock.async_sleep(5)


def run_readers(
    scenario: Callable[[Readers], Awaitable[None]], *, active: bool = True, memory_mb: int = 340
) -> None:
    """Run a scenario on the readers of one daemon."""

    async def async_run(fleet: GatewayFleet) -> None:
        fleet.features = "buffer-limits" if active else ""
        (member,) = await fleet.async_add_many(1)
        settings = replace(member.core.settings, memory_mb=memory_mb)
        readers = Readers(fleet, ReaderBufferService(replace(member.core, settings=settings)))
        watch = asyncio.create_task(readers.async_watch())
        try:
            await scenario(readers)
            assert readers.service.count_bytes() == readers.service.count_slow() == 0
        finally:
            watch.cancel()

    run_fleet(async_run)
