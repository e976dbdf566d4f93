"""Tests of responses on persistent connections, complete and broken."""

import asyncio
import errno
import os
import socket
from collections.abc import Awaitable, Callable

import pytest
from result import Err, Ok, Result

from goldcreststair.clock import LoopClock
from goldcreststair.http_connection import PersistentConnection, ResponseHooks
from goldcreststair.http_exchange import Exchange, ExchangeError, ExchangeFailure, HttpResponse
from goldcreststair.http_pool import ConnectionPool
from goldcreststair.transport import TcpTransport
from standins.budgets import make_budget
from tests.helpers.conditions import async_wait_until

HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSE = HEAD + b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n"
SHORT_KEPT = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 1\r\n\r\na"
STALL_S = 1.1


class Server:
    """Sends the same parts in response to each request; closes the connection then if `closes`."""

    def __init__(self, *parts: bytes, closes: bool = False) -> None:
        self.connections = 0
        self.open = 0
        self._parts = parts
        self._closes = closes

    async def async_start(self) -> str:
        """Start listening; returns HOST:PORT."""
        self._server = await asyncio.start_server(self._async_serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def async_close(self) -> None:
        """Stop listening."""
        self._server.close()
        await self._server.wait_closed()

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.open += 1
        try:
            while await reader.readuntil(b"\r\n\r\n"):
                for part in self._parts:
                    writer.write(part)
                    await asyncio.sleep(0.02)
                if self._closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.open -= 1
        writer.close()


class StallingServer(Server):
    """Pauses before each part but the first."""

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            for number, part in enumerate(self._parts):
                await asyncio.sleep(STALL_S if number else 0)
                writer.write(part)
        finally:
            writer.close()


class CuttingServer(Server):
    """Sends the first byte of a response to the first request, two to the next, and so on; then closes."""

    async def _async_serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._parts[0][: self.connections])
        writer.close()
        await writer.wait_closed()


SendRequest = Callable[[ResponseHooks], Awaitable[Result[HttpResponse, ExchangeError]]]


def run_server(
    server: Server, scenario: Callable[[SendRequest], Awaitable[None]], limit: int = 100
) -> None:
    """Run a scenario with a connection pool to a server; responses may have up to `limit` bytes."""

    async def async_run() -> None:
        address = await server.async_start()
        pool = ConnectionPool(LoopClock())

        async def async_send_request(hooks: ResponseHooks) -> Result[HttpResponse, ExchangeError]:
            exchange = Exchange(address, "GET", "/", 5_000, max_response_bytes=limit)
            return await pool.async_exchange(exchange, hooks)

        try:
            async with asyncio.timeout(20):
                await scenario(async_send_request)
        finally:
            pool.close()
            await server.async_close()

    asyncio.run(async_run())


@pytest.mark.parametrize(
    ("parts", "reused"),
    [
        ((RESPONSE,), True),
        (tuple(RESPONSE[n : n + 7] for n in range(0, len(RESPONSE), 7)), True),
        ((b"HTTP/1.1 100 Continue\r\n\r\n" + RESPONSE,), True),
        ((HEAD + b"2\r\nab\r\n0\r\nTrailer: 1\r\n\r\n",), True),
        ((b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",), True),
        ((b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nab",), False),
        ((b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nab",), False),
        ((RESPONSE + RESPONSE,), False),
        ((RESPONSE + b"garbage",), False),
        ((RESPONSE, b"late"), False),
    ],
)
def test_connection_is_reused_only_after_a_complete_response(
    parts: tuple[bytes, ...], reused: bool
) -> None:
    """Guards against reading the rest of one response as the beginning of the next one."""
    server = Server(*parts)

    async def scenario(send: SendRequest) -> None:
        for _ in range(2):
            response = await send(ResponseHooks())
            assert isinstance(response, Ok) and response.ok_value.body == b"ab"
            await asyncio.sleep(0.06)
        assert (server.connections == 1) == reused

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
def test_incomplete_response_is_broken(part: bytes) -> None:
    """Guards against accepting a partial response as a complete one."""

    async def scenario(send: SendRequest) -> None:
        response = await send(ResponseHooks())
        assert isinstance(response, Err) and response.err_value.failure is ExchangeFailure.BROKEN

    run_server(Server(part, closes=True), scenario)


@pytest.mark.parametrize("more", [b"", b"Content-Length: 0\r\n", b"Connection: close\r\n"])
@pytest.mark.parametrize("before", [b"", b"HTTP/1.1 103 Early Hints\r\nContent-Length: 0\r\n\r\n"])
def test_head_that_is_cut_at_any_byte_is_broken(more: bytes, before: bytes) -> None:
    """Guards against an empty 200, as the end of the connection counted as the end of the answer."""
    head = before + b"HTTP/1.1 200 OK\r\nA: b\r\n" + more + b"\r\n"
    server = CuttingServer(head)

    async def scenario(send: SendRequest) -> None:
        for number in range(1, len(head)):
            response = await send(ResponseHooks())
            assert server.connections == number
            assert isinstance(response, Err)
            assert response.err_value.failure is ExchangeFailure.BROKEN

    run_server(server, scenario)


@pytest.mark.parametrize(
    "parts",
    [
        (HEAD + b"1\r\na", b"\r\n", b"1\r\n", b"b\r\n0\r\n\r\n"),
        (HEAD + b"1\r\na\r\n", b"1", b"\r\n", b"b\r\n0\r\n\r\n"),
        (b"HTTP/1.1 200 OK\r\n", b"Content-", b"Length: 2\r\n", b"\r\nab"),
        (HEAD + b"1\r\na\r\n1\r\nb\r\n", b"0\r\n", b"A: b\r\n", b"\r\n"),
    ],
    ids=["between chunks", "in a chunk size", "in the head", "in the trailer"],
)
def test_server_that_pauses_within_the_framing_of_a_response_is_waited_for(
    parts: tuple[bytes, ...],
) -> None:
    """Guards against a stream that is cut because its engine paused around a chunk size sent apart."""

    async def scenario(send: SendRequest) -> None:
        received: list[bytes] = []
        response = await send(ResponseHooks(on_data=received.append))
        assert isinstance(response, Ok) and b"".join(received) == b"ab"

    run_server(StallingServer(*parts), scenario)


def test_response_without_a_length_ends_with_its_connection() -> None:
    async def scenario(send: SendRequest) -> None:
        response = await send(ResponseHooks())
        assert isinstance(response, Ok) and response.ok_value.body == b"ab"

    run_server(Server(b"HTTP/1.1 200 OK\r\n\r\na", b"b", closes=True), scenario)


def test_reading_pauses_while_a_chunk_is_being_processed() -> None:
    """Guards against buffering the complete response for a slow caller in this process's memory."""

    async def scenario(send: SendRequest) -> None:
        received: list[bytes] = []
        gate = asyncio.Event()

        async def async_wait_for_gate() -> None:
            await gate.wait()

        def receive(data: bytes) -> Awaitable[None]:
            received.append(data)
            return async_wait_for_gate()

        sending = asyncio.ensure_future(send(ResponseHooks(on_data=receive)))
        await asyncio.sleep(0.15)
        assert received == [b"ab"]
        gate.set()
        response = await sending
        assert isinstance(response, Ok) and b"".join(received) == b"abcd"

    parts = (HEAD + b"1\r\na\r\n1\r\nb\r\n", b"1\r\nc\r\n", b"1\r\nd\r\n0\r\n\r\n")
    run_server(Server(*parts), scenario)


def test_error_in_a_hook_is_raised_to_the_requester() -> None:
    """Guards against an error of the client's own code that is attributed to the server, or lost."""

    async def scenario(send: SendRequest) -> None:
        def fail(*_: object) -> None:
            raise RuntimeError("fault")

        with pytest.raises(RuntimeError, match="fault"):
            await send(ResponseHooks(on_head=fail))
        with pytest.raises(RuntimeError, match="fault"):
            await send(ResponseHooks(on_data=fail))

    run_server(Server(RESPONSE), scenario)


def test_chunk_received_after_a_cancellation_is_dropped() -> None:
    """Guards against a late chunk of a cancelled run in a text that continues at another upstream."""

    async def async_run() -> None:
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        connection = PersistentConnection(ours)
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: connection, sock=ours)
        received: list[bytes] = []
        hooks = ResponseHooks(on_data=received.append)
        sending = asyncio.ensure_future(connection.async_send(Exchange("", "GET", "/", 1), hooks))
        await asyncio.sleep(0)
        theirs.sendall(HEAD + b"1\r\na\r\n")
        await asyncio.sleep(0.02)
        # Bytes that have already arrived are processed after the cancellation, in the same iteration
        # of the event loop.
        theirs.sendall(b"1\r\nb\r\n")
        sending.cancel()
        connection.buffer_updated(ours.recv_into(connection.get_buffer(0)))
        await asyncio.gather(sending, return_exceptions=True)
        connection.close()
        theirs.close()
        assert received == [b"a"]

    asyncio.run(async_run())


def test_bodies_that_hold_too_much_together_end_with_the_largest() -> None:
    """Guards against the memory of a daemon that many long responses use up at the same time."""
    size = 50_000
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n"
    longest = Server(head % (3 * size), *[b"x" * size] * 3)
    late = [b"x" * (size - 1), *[b""] * 10, b"x"]
    others = [Server(head % size, *late) for _ in range(2)]

    async def scenario() -> None:
        addresses = [await server.async_start() for server in (longest, *others)]
        pool = ConnectionPool(LoopClock(), max_buffered_bytes=3 * size)
        exchanges = [Exchange(address, "GET", "/", 5_000) for address in addresses]
        sending = [pool.async_exchange(exchange, ResponseHooks()) for exchange in exchanges]
        ended, *whole = await asyncio.gather(*sending)
        assert isinstance(ended, Err) and ended.err_value.failure is ExchangeFailure.BROKEN
        assert all(isinstance(each, Ok) and len(each.ok_value.body) == size for each in whole)
        # Bodies that have ended count no more.
        assert isinstance(await pool.async_exchange(exchanges[0], ResponseHooks()), Ok)
        pool.close()
        for server in (longest, *others):
            await server.async_close()

    asyncio.run(scenario())


def test_requests_that_repeat_a_key_leave_one_connection_idle() -> None:
    """Guards against callers that repeat a request id, so that each request opens a connection which stays."""

    async def scenario() -> int:
        server, pool = Server(RESPONSE), ConnectionPool(LoopClock())
        address = await server.async_start()
        for _ in range(5):
            exchange = Exchange(address, "GET", "/", 2_000, {}, key="repeated")
            assert isinstance(await pool.async_exchange(exchange, ResponseHooks()), Ok)
        left = pool.count_open(address)
        pool.close()
        # The server's side of the connections is closed before the loop ends.
        await asyncio.sleep(0.1)
        await server.async_close()
        return left

    assert asyncio.run(scenario()) == 1


def test_a_lack_of_descriptors_is_a_failed_connection(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against requests and store calls that end in an exception while all descriptors are used."""

    def fail(*_: object) -> None:
        raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

    async def scenario() -> None:
        pool, transport = ConnectionPool(LoopClock()), TcpTransport(make_budget(LoopClock()))
        monkeypatch.setattr("socket.socket", fail)
        outcome = await pool.async_exchange(
            Exchange("127.0.0.1:1", "GET", "/", 2_000), ResponseHooks()
        )
        channel = await transport.async_connect("127.0.0.1", 1, 2_000)
        monkeypatch.undo()
        assert isinstance(outcome, Err) and outcome.err_value.failure is ExchangeFailure.CONNECT
        assert isinstance(channel, Err)

    asyncio.run(scenario())


def test_idle_connections_are_closed_without_a_further_request() -> None:
    """Guards against connections that stay open after a burst of requests until the next one comes."""

    async def scenario() -> None:
        server, pool = Server(SHORT_KEPT), ConnectionPool(LoopClock())
        address = await server.async_start()
        exchanges = (Exchange(address, "GET", "/", 2_000) for _ in range(3))
        outcomes = await asyncio.gather(
            *(pool.async_exchange(each, ResponseHooks()) for each in exchanges)
        )
        assert all(isinstance(each, Ok) for each in outcomes)
        await async_wait_until(lambda: not server.open)
        await server.async_close()

    asyncio.run(scenario())
