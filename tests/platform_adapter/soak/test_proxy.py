"""The proxy records every request that was sent to it, also one that it resets before it reads it."""

import asyncio
import socket
import time

import pytest

from tests.platform_adapter.local import make_request
from tests.platform_adapter.soak.proxy import Proxy


@pytest.mark.parametrize("is_accepted", [False, True])
def test_a_request_that_is_reset_before_it_is_read_counts_as_sent(is_accepted: bool) -> None:
    """Guards against attempts of a daemon that the soak's checker does not see."""

    async def scenario() -> None:
        target = await asyncio.start_server(lambda _, __: asyncio.sleep(10), "127.0.0.1", 0)
        host, port = target.sockets[0].getsockname()
        proxy = Proxy("i-0", f"{host}:{port}")
        await proxy.async_start()
        proxy_host, _, proxy_port = proxy.address.rpartition(":")
        with socket.create_connection((proxy_host, int(proxy_port))) as connection:
            if is_accepted:
                await asyncio.sleep(0.05)
            connection.sendall(make_request("POST", "/x", headers={"Request-Id": "r"}))
            proxy.refuse()
        await asyncio.sleep(0.05)
        assert [(each.request, each.broken) for each in proxy.attempts] == [("r", True)]
        proxy.close()
        target.close()

    asyncio.run(scenario())


def test_a_request_that_crosses_the_end_of_its_connection_counts_as_sent() -> None:
    """Guards against the same where the upstream closes the connection and the request is in the proxy's socket."""

    async def scenario() -> None:
        accepted: list[asyncio.StreamWriter] = []
        target = await asyncio.start_server(lambda _, w: accepted.append(w), "127.0.0.1", 0)
        host, port = target.sockets[0].getsockname()
        proxy = Proxy("i-0", f"{host}:{port}")
        await proxy.async_start()
        proxy_host, _, proxy_port = proxy.address.rpartition(":")
        with socket.create_connection((proxy_host, int(proxy_port))) as connection:
            await asyncio.sleep(0.05)
            (link,) = proxy.list_open()
            link.near.transport.pause_reading()  # type: ignore[attr-defined]
            connection.sendall(make_request("POST", "/x", headers={"Request-Id": "r"}))
            accepted[0].close()
            await asyncio.sleep(0.05)
        assert [(each.request, each.broken) for each in proxy.attempts] == [("r", True)]
        proxy.close()
        target.close()

    asyncio.run(scenario())


def test_a_request_to_an_upstream_that_is_down_counts_as_sent() -> None:
    """Guards against the same where the upstream is down before the proxy connects to it."""

    async def scenario() -> None:
        target = await asyncio.start_server(lambda _, __: asyncio.sleep(10), "127.0.0.1", 0)
        host, port = target.sockets[0].getsockname()
        proxy = Proxy("i-0", f"{host}:{port}")
        await proxy.async_start()
        proxy_host, _, proxy_port = proxy.address.rpartition(":")
        target.close()
        request = make_request("POST", "/x", headers={"Request-Id": "r"})
        with socket.create_connection((proxy_host, int(proxy_port))) as connection:
            connection.sendall(request)
            await asyncio.sleep(0.05)
        assert [(each.request, each.broken) for each in proxy.attempts] == [("r", True)]
        proxy.close()

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
        target = await asyncio.start_server(lambda _, __: asyncio.sleep(10), "127.0.0.1", 0)
        host, port = target.sockets[0].getsockname()
        proxy = Proxy("front", f"{host}:{port}")
        await proxy.async_start()
        proxy_host, _, proxy_port = proxy.address.rpartition(":")
        with socket.create_connection((proxy_host, int(proxy_port))):
            await asyncio.sleep(0.05)
            (link,) = proxy.list_open()
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
        proxy.close()
        target.close()

    asyncio.run(scenario())
