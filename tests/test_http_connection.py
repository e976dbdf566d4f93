"""Answers on kept connections, as a server may send them."""

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest
from result import Err, Ok, Result

from goldcreststair.clock import LoopClock
from goldcreststair.http_connection import PersistentConnection, ResponseHooks
from goldcreststair.http_exchange import Exchange, ExchangeError, ExchangeFailure, HttpResponse
from goldcreststair.http_pool import ConnectionPool

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER = HEAD + b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n"


class Server:
    """Answers each request with the same parts, and closes if it is told to."""

    def __init__(self, *parts: bytes, closes: bool = False) -> None:
        self.connections = 0
        self._parts = parts
        self._closes = closes

    async def async_start(self) -> str:
        """Listen; returns HOST:PORT."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def async_close(self) -> None:
        """Stop."""
        self._server.close()
        await self._server.wait_closed()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                for part in self._parts:
                    writer.write(part)
                    await asyncio.sleep(0.02)
                if self._closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


Ask = Callable[[ResponseHooks], Awaitable[Result[HttpResponse, ExchangeError]]]


def run_server(
    server: Server, scenario: Callable[[Ask], Awaitable[None]], limit: int = 100
) -> None:
    """Run a scenario with a pool of connections to a server; answers may have `limit` bytes."""

    async def async_run() -> None:
        address = await server.async_start()
        pool = ConnectionPool(LoopClock())

        async def async_ask(hooks: ResponseHooks) -> Result[HttpResponse, ExchangeError]:
            exchange = Exchange(address, "GET", "/", 5_000, max_response_bytes=limit)
            return await pool.async_exchange(exchange, hooks)

        try:
            async with asyncio.timeout(20):
                await scenario(async_ask)
        finally:
            pool.close()
            await server.async_close()

    asyncio.run(async_run())


@pytest.mark.parametrize(
    ("parts", "kept"),
    [
        ((ANSWER,), True),
        (tuple(ANSWER[n : n + 7] for n in range(0, len(ANSWER), 7)), True),
        ((b"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER,), True),
        ((HEAD + b"2\r\nab\r\n0\r\nTrailer: 1\r\n\r\n",), True),
        ((b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",), True),
        ((b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab",), False),
        ((b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab",), False),
        ((ANSWER + ANSWER,), False),
        ((ANSWER + b"garbage",), False),
        ((ANSWER, b"late"), False),
    ],
)
def test_a_whole_answer_and_whether_its_connection_is_kept(
    parts: tuple[bytes, ...], kept: bool
) -> None:
    """Guards against the rest of one answer that stands where the next one is due."""
    server = Server(*parts)

    async def scenario(ask: Ask) -> None:
        for _ in range(2):
            answer = await ask(ResponseHooks())
            assert isinstance(answer, Ok) and answer.ok_value.body == b"ab"
            await asyncio.sleep(0.06)
        assert (server.connections == 1) == kept

    run_server(server, scenario)


@pytest.mark.parametrize(
    "part",
    [
        HEAD + b"1\r\na\r\n",
        HEAD + b"zz\r\na\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nContent-",
        b"",
        b"SSH-2.0\r\n",
        HEAD + b"65\r\n" + b"x" * 101 + b"\r\n0\r\n\r\n",
    ],
)
def test_an_answer_that_is_not_whole_is_broken(part: bytes) -> None:
    """Guards against a part of an answer that passes for all of it."""

    async def scenario(ask: Ask) -> None:
        answer = await ask(ResponseHooks())
        assert isinstance(answer, Err) and answer.err_value.failure is ExchangeFailure.BROKEN

    run_server(Server(part, closes=True), scenario)


def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    async def scenario(ask: Ask) -> None:
        answer = await ask(ResponseHooks())
        assert isinstance(answer, Ok) and answer.ok_value.body == b"ab"

    run_server(Server(b"HTTP/1.1 200 OK\r\n\r\na", b"b", closes=True), scenario)


def test_nothing_is_read_while_the_last_piece_is_not_taken() -> None:
    """Guards against a slow caller whose whole answer lies in this process's memory."""

    async def scenario(ask: Ask) -> None:
        taken: list[bytes] = []
        gate = asyncio.Event()

        async def async_hold() -> None:
            await gate.wait()

        def take(data: bytes) -> Awaitable[None]:
            taken.append(data)
            return async_hold()

        asking = asyncio.ensure_future(ask(ResponseHooks(on_data=take)))
        await asyncio.sleep(0.15)
        assert taken == [b"ab"]
        gate.set()
        answer = await asking
        assert isinstance(answer, Ok) and b"".join(taken) == b"abcd"

    parts = (HEAD + b"1\r\na\r\n1\r\nb\r\n", b"1\r\nc\r\n", b"1\r\nd\r\n0\r\n\r\n")
    run_server(Server(*parts), scenario)


def test_an_error_of_who_takes_an_answer_reaches_who_asked() -> None:
    """Guards against a fault of our own that is taken for the server's, or lost."""

    async def scenario(ask: Ask) -> None:
        def take(*_: object) -> None:
            raise RuntimeError("fault")

        with pytest.raises(RuntimeError, match="fault"):
            await ask(ResponseHooks(on_head=take))
        with pytest.raises(RuntimeError, match="fault"):
            await ask(ResponseHooks(on_data=take))

    run_server(Server(ANSWER), scenario)


def test_a_piece_that_comes_after_its_asker_was_cancelled_is_dropped() -> None:
    """Guards against the last piece of a run that was given up, in a text that goes on elsewhere by then."""

    async def async_run() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        connection = PersistentConnection(ours)
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: connection, sock=ours)
        taken: list[bytes] = []
        hooks = ResponseHooks(on_data=taken.append)
        asking = asyncio.ensure_future(connection.async_ask(Exchange("", "GET", "/", 1), hooks))
        await asyncio.sleep(0)
        theirs.sendall(HEAD + b"1\r\na\r\n")
        await asyncio.sleep(0.02)
        # What has arrived already is handled after the cancellation, in the same turn of the loop.
        theirs.sendall(b"1\r\nb\r\n")
        asking.cancel()
        connection.buffer_updated(ours.recv_into(connection.get_buffer(0)))
        await asyncio.gather(asking, return_exceptions=True)
        connection.close()
        theirs.close()
        assert taken == [b"a"]

    asyncio.run(async_run())
