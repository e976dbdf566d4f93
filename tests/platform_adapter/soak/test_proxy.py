"""The proxy records every request that was sent to it, also one that it resets before it reads it."""

import asyncio
import contextlib
import socket
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest

from tests.platform_adapter.local import make_request
from tests.platform_adapter.soak.proxy import Proxy


@dataclass(slots=True)
class Target:
    """A proxy, and the server behind it, which accepts connections and sends nothing."""

    server: asyncio.Server
    proxy: Proxy
    accepted: list[asyncio.StreamWriter] = field(default_factory=list)

    def connect(self) -> socket.socket:
        """Open a connection to the proxy."""
        host, _, port = self.proxy.address.rpartition(":")
        return socket.create_connection((host, int(port)))

    def list_attempts(self) -> list[tuple[str, bool]]:
        """Return the requests that the proxy recorded, and whether each was broken."""
        return [(each.request, each.broken) for each in self.proxy.attempts]


@contextlib.asynccontextmanager
async def async_open_target() -> AsyncIterator[Target]:
    """Start a server and a proxy for it."""
    accepted: list[asyncio.StreamWriter] = []
    server = await asyncio.start_server(lambda _, writer: accepted.append(writer), "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    target = Target(server, Proxy("i-0", f"{host}:{port}"), accepted)
    await target.proxy.async_start()
    try:
        yield target
    finally:
        target.proxy.close()
        server.close()


REQUEST = make_request("POST", "/x", headers={"Request-Id": "r"})


@pytest.mark.parametrize("is_accepted", [False, True])
def test_a_request_that_is_reset_before_it_is_read_counts_as_sent(is_accepted: bool) -> None:
    """Guards against attempts of a daemon that the soak's checker does not see."""

    async def scenario() -> None:
        async with async_open_target() as target:
            with target.connect() as connection:
                if is_accepted:
                    await asyncio.sleep(0.05)
                connection.sendall(REQUEST)
                target.proxy.refuse()
            await asyncio.sleep(0.05)
            assert target.list_attempts() == [("r", True)]

    asyncio.run(scenario())


def test_a_request_that_crosses_the_end_of_its_connection_counts_as_sent() -> None:
    """Guards against the same where the upstream closes the connection and the request is in the proxy's socket."""

    async def scenario() -> None:
        async with async_open_target() as target:
            with target.connect() as connection:
                await asyncio.sleep(0.05)
                (link,) = target.proxy.list_open()
                link.near.transport.pause_reading()  # type: ignore[attr-defined]
                connection.sendall(REQUEST)
                target.accepted[0].close()
                await asyncio.sleep(0.05)
            assert target.list_attempts() == [("r", True)]

    asyncio.run(scenario())


def test_a_request_that_arrives_while_its_connection_is_closed_counts_as_sent() -> None:
    """Guards against the same between the decision to reset a connection and its end, a step of the loop later."""

    async def scenario() -> None:
        async with async_open_target() as target:
            with target.connect() as connection:
                await asyncio.sleep(0.05)
                for link in target.proxy.list_open():
                    link.reset()
                connection.sendall(REQUEST)
                await asyncio.sleep(0.05)
            assert target.list_attempts() == [("r", True)]

    asyncio.run(scenario())


def test_a_request_to_an_upstream_that_is_down_counts_as_sent() -> None:
    """Guards against the same where the upstream is down before the proxy connects to it."""

    async def scenario() -> None:
        async with async_open_target() as target:
            target.server.close()
            with target.connect() as connection:
                connection.sendall(REQUEST)
                await asyncio.sleep(0.05)
            assert target.list_attempts() == [("r", True)]

    asyncio.run(scenario())


@pytest.mark.parametrize("steps", range(4))
def test_a_proxy_that_begins_to_accept_again_can_refuse(steps: int) -> None:
    """Guards against `Address already in use` as an upstream crashes in the step in which it is up again."""

    async def scenario() -> None:
        proxy = Proxy("i-0", "127.0.0.1:1")
        await proxy.async_start()
        proxy.refuse()
        accepting = asyncio.create_task(proxy.async_accept())
        for _ in range(steps):
            await asyncio.sleep(0)
        proxy.refuse()
        await accepting
        proxy.close()

    asyncio.run(scenario())


def test_a_disturbance_belongs_to_the_requests_during_it() -> None:
    """Guards against a cut that is excused by a disturbance that was over before its request was sent."""

    async def scenario() -> None:
        async with async_open_target() as target:
            with target.connect():
                await asyncio.sleep(0.05)
                (link,) = target.proxy.list_open()
                sent_at = time.monotonic()
                seen = [link.was_disturbed(sent_at)]
                link.hold(True, True)
                seen += [link.was_disturbed(sent_at), link.was_disturbed(time.monotonic())]
                link.release()
                await asyncio.sleep(0.01)
                seen += [link.was_disturbed(sent_at), link.was_disturbed(time.monotonic())]
                link.reset()
                await asyncio.sleep(0.01)
                seen += [link.was_disturbed(sent_at), link.was_disturbed(time.monotonic())]
        assert seen == [False, True, True, True, False, True, True]

    asyncio.run(scenario())
