"""Which connections a listener serves when it stops accepting."""

import asyncio
import socket
from dataclasses import dataclass, field
from typing import Any, Final

import pytest

from goldcreststair.client_limits.const import ACCEPTS_PER_STEP
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.listener import ClientListener
from goldcreststair.client_limits.models import ClientLimits, CloseCause
from tests.helpers.virtual_time import ManualClock

LIMITS: Final = ClientLimits(
    held_bytes=1024, large_bytes=1024, job_bytes=1024, connections=4 * ACCEPTS_PER_STEP
)


@dataclass(slots=True)
class Server:
    """Keeps the streams that it is to serve; implements `StreamHandler` and `ClientReporter`."""

    streams: list[Any] = field(default_factory=list)

    def handle_stream(self, stream: Any, _address: Any) -> None:
        self.streams.append(stream)

    def count_closed_client(self, cause: CloseCause) -> None:
        raise AssertionError(cause)


@pytest.mark.parametrize("queued", [0, 1, ACCEPTS_PER_STEP + 1])
def test_queued_connections_are_served_when_a_listener_stops(queued: int) -> None:
    """Guards against resets of connections that the kernel had queued when a shutdown began."""

    async def async_test() -> int:
        server = Server()
        budget = ClientBudget(ManualClock(), LIMITS, server)
        listener = ClientListener(budget, "front", server)
        listening = socket.create_server(("127.0.0.1", 0), backlog=2 * ACCEPTS_PER_STEP)
        address = listening.getsockname()
        listener.start([listening])
        clients = [socket.create_connection(address) for _ in range(queued)]
        listener.stop_accepting()
        for client in clients:
            client.close()
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(address)
        for stream in server.streams:
            stream.close()
        return len(server.streams)

    assert asyncio.run(async_test()) == queued
