"""Requests in chunks and slow readers reach a server as they are meant."""

import asyncio
import time

import pytest

from tests.platform_adapter.soak.manners import Manner, async_read_slowly, async_send


@pytest.mark.parametrize(
    ("manner", "length"),
    [
        (Manner(), b"Content-Length: 5"),
        (Manner((0.0, 0.01, 0.1)), b"Transfer-Encoding: chunked"),
        (Manner((0.0,) * 9), b"Transfer-Encoding: chunked"),
    ],
    ids=["plain", "late last chunk", "more chunks than bytes"],
)
def test_a_body_arrives_whole(manner: Manner, length: bytes) -> None:
    """Guards against bodies in chunks that no daemon could read."""

    async def scenario() -> None:
        received = asyncio.Queue[bytes]()

        async def serve(reader: asyncio.StreamReader, near: asyncio.StreamWriter) -> None:
            received.put_nowait(await reader.read())
            near.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        since = time.monotonic()
        sent_at = await async_send(writer, "/x", b"12345", {}, manner)
        assert sent_at - since >= sum(manner.chunk_pauses_s)
        writer.close()
        head, _, body = (await received.get()).partition(b"\r\n\r\n")
        assert head.endswith(length)
        if manner.chunk_pauses_s:
            lines = body.split(b"\r\n")
            assert [int(size, 16) for size in lines[0:-3:2]] == [len(x) for x in lines[1:-3:2]]
            assert lines[-3:] == [b"0", b"", b""]
            body = b"".join(lines[1:-3:2])
        assert body == b"12345"
        server.close()

    asyncio.run(scenario())


def test_a_slow_reader_gets_all() -> None:
    """Guards against answers that the soak itself cuts."""

    async def scenario() -> None:
        answer = b"x" * 2_000_000

        async def serve(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(answer)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        since = time.monotonic()
        async with async_read_slowly(writer, Manner(read_pause_s=0.1)):
            assert await reader.read() == answer
        assert time.monotonic() - since >= 0.1
        writer.close()
        server.close()

    asyncio.run(scenario())
