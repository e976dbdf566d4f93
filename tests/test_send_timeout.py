"""Tests of the user timeout of connections on which long requests are sent."""

import asyncio
import socket

from goldcreststair.const import MS_PER_SECOND
from goldcreststair.send_timeout import (
    CHECK_MS,
    MIN_WATCHED_BYTES,
    NO_TIMEOUT_MS,
    USER_TIMEOUT_MS,
    SendTimeout,
    set_user_timeout,
)

LONG_BYTES = 1_000_000
CHECKED_S = 1.5 * CHECK_MS / MS_PER_SECOND


def read_user_timeout(sock: socket.socket) -> int:
    """Return the user timeout of a socket, in ms."""
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)


def open_pair() -> tuple[socket.socket, socket.socket]:
    """Return the two ends of a TCP connection, the first one with a user timeout."""
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen()
        ours = socket.create_connection(listening.getsockname())
        theirs, _ = listening.accept()
    for each in (ours, theirs):
        each.setblocking(False)
    set_user_timeout(ours, USER_TIMEOUT_MS)
    return ours, theirs


def test_user_timeout_is_off_only_while_the_peer_does_not_read() -> None:
    """Guards against a lost path that goes unnoticed on a connection that once carried a long request."""

    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        ours, theirs = open_pair()
        timeout = SendTimeout(ours)
        sending = asyncio.create_task(loop.sock_sendall(ours, b"x" * LONG_BYTES))
        timeout.begin(LONG_BYTES)
        for _ in range(2):
            await asyncio.sleep(CHECKED_S)
            assert read_user_timeout(ours) == NO_TIMEOUT_MS
        received = 0
        while received < LONG_BYTES:
            received += len(await loop.sock_recv(theirs, LONG_BYTES))
        await sending
        await asyncio.sleep(CHECKED_S)
        assert read_user_timeout(ours) == USER_TIMEOUT_MS
        timeout.close()
        ours.close()
        theirs.close()

    asyncio.run(scenario())


def test_short_request_keeps_the_user_timeout() -> None:
    async def scenario() -> None:
        ours, theirs = open_pair()
        SendTimeout(ours).begin(MIN_WATCHED_BYTES - 1)
        assert read_user_timeout(ours) == USER_TIMEOUT_MS
        ours.close()
        theirs.close()

    asyncio.run(scenario())


def test_connection_closed_while_it_is_watched() -> None:
    """Guards against an error in the event loop when a check meets a closed connection."""

    async def scenario() -> None:
        errors: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda _, context: errors.append(context))
        ours, theirs = open_pair()
        SendTimeout(ours).begin(LONG_BYTES)
        ours.close()
        theirs.close()
        await asyncio.sleep(CHECKED_S)
        assert errors == []

    asyncio.run(scenario())
