"""Callers on loopback that read slowly, with bounded buffers."""

import asyncio
import socket

import pytest

from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.reader_buffers.const import CONNECTION_BYTES
from goldcreststair.components.reader_buffers.protocols import READER_BUFFERS
from goldcreststair.components.reader_buffers.service import ReaderBufferService
from tests.helpers.conditions import async_wait_until
from tests.platform_adapter.local import (
    HttpAnswer,
    LocalGateway,
    async_read_answer,
    make_request,
    run_local,
)

EVENTS, PADDING = 1_200, 10_000
"""12 MB, more than the kernel holds for a connection."""


def prepare(local: LocalGateway, daemon_bytes: int) -> ReaderBufferService:
    """Activate the feature, with a bound of the daemon, for long answers."""
    local.engine.events, local.engine.padding = EVENTS, PADDING
    local.gateway.core.get(FEATURES).mark_shared("engine")
    service = local.gateway.core.get(READER_BUFFERS)
    assert isinstance(service, ReaderBufferService)
    service.controller._daemon_bytes = daemon_bytes
    return service


async def async_open_slow(
    local: LocalGateway, path: str, version: bytes = b"HTTP/1.1"
) -> asyncio.StreamReader:
    """Send a request on a connection whose answer is not read yet."""
    host, _, port = local.front.rpartition(":")
    slow = socket.socket()
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
    slow.setblocking(False)
    await asyncio.get_running_loop().sock_connect(slow, (host, int(port)))
    reader, writer = await asyncio.open_connection(sock=slow, limit=65_536)
    local.connections.append(writer)
    request = make_request("POST", path, headers={"Deadline-Ms": "5000"})
    writer.write(request.replace(b"HTTP/1.1", version))
    return reader


async def async_read(reader: asyncio.StreamReader) -> HttpAnswer:
    """Read an answer within 10 s."""
    async with asyncio.timeout(10):
        return await async_read_answer(reader)


@pytest.mark.parametrize("path", ["/stream/x", "/call/x"])
def test_a_slow_caller_gets_the_whole_answer(path: str) -> None:
    """Guards against bytes that are lost, doubled or never sent between buffer and connection."""

    async def scenario(local: LocalGateway) -> None:
        service = prepare(local, 32_000_000)
        reader = await async_open_slow(local, path)
        await async_wait_until(lambda: service.count_bytes() > 0)
        await asyncio.sleep(1.7)
        held = service.count_bytes()
        assert held > 0 and (held <= CONNECTION_BYTES or path == "/call/x")
        answer = await async_read(reader)
        assert answer.whole and len(answer.body) > EVENTS * PADDING
        assert answer.body.count(b"id: ") == EVENTS
        assert service.count_bytes() == 0 and local.callers.count_running() == 0

    run_local(scenario)


@pytest.mark.parametrize("path", ["/stream/x", "/call/x"])
def test_a_shed_answer_does_not_look_complete(path: str) -> None:
    """Guards against a shed answer that its caller takes for a whole one, or that runs twice."""

    async def scenario(local: LocalGateway) -> None:
        service = prepare(local, 1)
        reader = await async_open_slow(local, path)
        await async_wait_until(lambda: len(local.engine.seen) > 0)
        await async_wait_until(lambda: local.callers.count_running() == 0)
        answer = await async_read(reader)
        assert answer.status == 200 and not answer.whole
        assert len(local.engine.seen) == 1
        assert service.count_bytes() == 0 and local.callers.count_running() == 0
        page = local.gateway.core.meters.render().decode()
        assert "goldcreststair_readers_shed_total 1.0" in page

    run_local(scenario)


def test_a_caller_that_disconnects_releases_its_buffer() -> None:
    """Guards against memory that is held for a connection which is closed."""

    async def scenario(local: LocalGateway) -> None:
        service = prepare(local, 32_000_000)
        await async_open_slow(local, "/stream/x")
        await async_wait_until(lambda: service.count_bytes() > 0)
        local.connections[-1].transport.abort()
        await async_wait_until(lambda: not service.count_bytes() + local.callers.count_running())

    run_local(scenario)


def test_a_shed_answer_without_framing_is_reset() -> None:
    """Guards against an HTTP/1.0 caller that takes the end of its connection for that of the stream."""

    async def scenario(local: LocalGateway) -> None:
        prepare(local, 1)
        reader = await async_open_slow(local, "/stream/x", b"HTTP/1.0")
        await async_wait_until(lambda: len(local.engine.seen) > 0)
        await async_wait_until(lambda: local.callers.count_running() == 0)
        with pytest.raises(ConnectionResetError):
            while await reader.read(65_536):
                pass

    run_local(scenario)
