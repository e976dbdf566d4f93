"""Answers that an engine begins, and breaks off, before it has read the request."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Final

import pytest
from result import Err, Ok
from users_platform.dialect import PlatformDialect

from goldcreststair.clock import LoopClock
from goldcreststair.http_exchange import Exchange, ExchangeFailure, async_exchange
from goldcreststair.http_pool import ConnectionPool
from goldcreststair.upstreams.errors import UpstreamFailure
from goldcreststair.upstreams.runner import UpstreamRunner, async_run_checked
from tests.platform_adapter.test_runner import Sink, make_call
from tests.platform_adapter.wire_engine import make_event, make_head

RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)
PAUSE_S: Final = 0.02
PART: Final = make_event(1)
SIZES: Final = [200_000, 3_000_000]


class Ending(StrEnum):
    """How the engine ends the connection."""

    RESET = "reset"
    RESET_BEHIND_HEAD = "reset behind the head"
    CLOSE = "close"
    SHUTDOWN = "shutdown"
    """Closes its sending side, and keeps the connection open."""
    SHUTDOWN_RESET = "shutdown and reset"
    """Closes its sending side, and resets the connection a little later."""
    READS_ON = "reads on"
    """Reads the rest of the request, and then closes."""


@dataclass(slots=True)
class EarlyEngine:
    """Answers at once, and ends the connection."""

    ending: Ending
    head: bytes
    body: bytes = PART
    connections: int = 0
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set["asyncio.Task[None] | None"] = field(default_factory=set)

    async def async_start(self) -> None:
        """Listen on any free port."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def async_close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        tasks = [task for task in self._tasks if task is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._tasks.add(asyncio.current_task())
        try:
            await self._async_answer(reader, writer)
        finally:
            writer.transport.abort()

    async def _async_answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        raw = writer.get_extra_info("socket")
        try:
            request = await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            return
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        writer.write(self.head)
        if self.ending is not Ending.RESET_BEHIND_HEAD:
            writer.write(self.body)
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        if self.ending is Ending.READS_ON:
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            _, _, rest = request.lower().partition(b"content-length: ")
            await reader.readexactly(int(rest.partition(b"\r")[0]))
        if self.ending in (Ending.SHUTDOWN, Ending.SHUTDOWN_RESET):
            raw.shutdown(socket.SHUT_WR)
            await asyncio.sleep(PAUSE_S if self.ending is Ending.SHUTDOWN_RESET else 1.0)
        if self.ending not in (Ending.CLOSE, Ending.READS_ON):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def run_early(
    engine: EarlyEngine, scenario: Callable[[UpstreamRunner, ConnectionPool], Awaitable[None]]
) -> None:
    """Run a scenario against an engine on loopback."""

    async def async_run() -> None:
        await engine.async_start()
        pool = ConnectionPool(LoopClock())
        try:
            async with asyncio.timeout(20):
                await scenario(UpstreamRunner(pool, PlatformDialect()), pool)
        finally:
            pool.close()
            await engine.async_close()

    asyncio.run(async_run())


BROKEN: Final = [
    Ending.RESET,
    Ending.RESET_BEHIND_HEAD,
    Ending.CLOSE,
    Ending.SHUTDOWN,
    Ending.SHUTDOWN_RESET,
]


BROKEN_ANSWERS: Final = [
    (ending, size)
    for ending in BROKEN
    for size in SIZES
    # The kernel of the engine has all of a shorter request, and nothing follows in time.
    if (ending, size) != (Ending.SHUTDOWN, SIZES[0])
]


@pytest.mark.parametrize("streams", [False, True])
@pytest.mark.parametrize(("ending", "size"), BROKEN_ANSWERS)
def test_an_answer_that_ends_before_its_request_is_delivered_is_not_whole(
    ending: Ending, size: int, streams: bool
) -> None:
    """A caller got the part of an answer as a whole one, as its engine broke off while the upload was written."""
    engine = EarlyEngine(ending, make_head(200, "r1", "Connection: close"))

    async def scenario(runner: UpstreamRunner, _: ConnectionPool) -> None:
        call, sink = make_call(body=b"x" * size), Sink(streams)
        end = await async_run_checked(runner, engine.address, call, sink)
        assert isinstance(end, Err) and end.err_value.failure is UpstreamFailure.LOST
        assert not end.err_value.not_run

    run_early(engine, scenario)


@pytest.mark.parametrize("size", SIZES)
def test_an_answer_whose_engine_reads_on_is_whole(size: int) -> None:
    """An engine may answer before it has read a long body; its answer counts once it has the rest."""
    engine = EarlyEngine(Ending.READS_ON, make_head(200, "r1", "Connection: close"))

    async def scenario(runner: UpstreamRunner, _: ConnectionPool) -> None:
        call, sink = make_call(body=b"x" * size), Sink()
        end = await async_run_checked(runner, engine.address, call, sink)
        assert isinstance(end, Ok) and sink.data == PART

    run_early(engine, scenario)


@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("ending", [Ending.RESET, Ending.CLOSE, Ending.SHUTDOWN])
def test_a_whole_answer_with_a_length_counts_whatever_follows(ending: Ending, size: int) -> None:
    """A whole answer was lost with its connection, which must not carry another request."""
    engine = EarlyEngine(ending, make_head(200, "r1", f"Content-Length: {len(PART)}"))

    async def scenario(runner: UpstreamRunner, pool: ConnectionPool) -> None:
        call, sink = make_call(body=b"x" * size), Sink()
        end = await async_run_checked(runner, engine.address, call, sink)
        assert isinstance(end, Ok) and sink.data == PART
        await asyncio.sleep(3 * PAUSE_S)
        assert not pool.has_idle(engine.address)

    run_early(engine, scenario)


@pytest.mark.parametrize("more", ["Connection: close", "Content-Length: 50"])
@pytest.mark.parametrize("ending", BROKEN)
def test_a_refusal_needs_no_whole_body(ending: Ending, more: str) -> None:
    """A refused upload counted as one that may have run, as the engine closed without reading it."""
    engine = EarlyEngine(ending, make_head(503, "r1", f"Not-Run: 1\r\n{more}"))

    async def scenario(runner: UpstreamRunner, _: ConnectionPool) -> None:
        call = make_call(body=b"x" * SIZES[0])
        end = await async_run_checked(runner, engine.address, call, Sink())
        assert isinstance(end, Err) and end.err_value.not_run

    run_early(engine, scenario)


@pytest.mark.parametrize(
    ("ending", "size"), [*BROKEN_ANSWERS, *((Ending.READS_ON, size) for size in SIZES)]
)
def test_exchanges_on_one_connection_know_the_same(ending: Ending, size: int) -> None:
    """A service's answer that was broken off reached its caller as a whole one."""
    engine = EarlyEngine(ending, b"HTTP/1.1 200 X\r\nContent-Type: text/plain\r\n\r\n")

    async def scenario(_: UpstreamRunner, __: ConnectionPool) -> None:
        exchange = Exchange(engine.address, "POST", "/", 5_000, body=b"x" * size)
        outcome = await async_exchange(exchange)
        if ending is Ending.READS_ON:
            assert isinstance(outcome, Ok) and outcome.ok_value.body == PART
        else:
            assert isinstance(outcome, Err)
            assert outcome.err_value.failure is ExchangeFailure.BROKEN

    run_early(engine, scenario)
