"""Requests from one daemon to another, each over its own connection; they are rare."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Final

from result import Err, Ok, Result

from goldcreststair.components.fleet.models import FLEET
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.errors import GoldcreststairError
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.transport import PeerChannel

_LOGGER = logging.getLogger(__name__)

CONNECT_TIMEOUT_MS: Final = 300
"""A daemon in the next data centre accepts a connection within a few ms."""
SERVE_TIMEOUT_MS: Final = 5_000
"""The connection of a requester that sends or reads nothing for this long is closed."""


class PeerRequestKind(IntEnum):
    """First byte of a request."""

    CATALOGUE = 1
    JOB = 2
    STREAM_ORIGIN = 3
    CRASH_VERDICTS = 4
    SOFTWARE_VERSIONS = 5


@dataclass(frozen=True, slots=True)
class PeerRequestError(GoldcreststairError):
    """A request failed or got no response."""

    not_sent: bool = False
    """Whether it is certain that the other daemon did not receive it."""


PeerRequestHandler = Callable[[bytes], Awaitable[bytes]]


class PeerRequests:
    """Sends requests to other daemons and serves theirs."""

    def __init__(self, core: GatewayCore) -> None:
        """Start without handlers and without a listening socket."""
        self._core = core
        self._handlers: dict[PeerRequestKind, PeerRequestHandler] = {}
        self._serving: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Listen for requests."""
        settings = self._core.settings
        await self._core.transport.async_listen(
            settings.address, settings.peer_port, self._on_accept
        )

    async def async_close(self) -> None:
        """Stop listening and cancel the requests being served."""
        await self._core.transport.async_close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def register_request_handler(self, kind: PeerRequestKind, handler: PeerRequestHandler) -> None:
        """Register the handler for requests of one kind."""
        self._handlers[kind] = handler

    async def async_request(
        self, session: str, kind: PeerRequestKind, payload: bytes, timeout_ms: int
    ) -> Result[bytes, PeerRequestError]:
        """Send a request to one daemon and return the response."""
        vm = self._core.blackboard.read(FLEET).vms.get(session)
        if vm is None:
            return Err(PeerRequestError(f"session {session} is unknown", not_sent=True))
        opened = await self._core.transport.async_connect(
            vm.address, vm.peer_port, min(CONNECT_TIMEOUT_MS, timeout_ms)
        )
        if isinstance(opened, Err):
            return Err(PeerRequestError(opened.err_value.message, not_sent=True))
        channel = opened.ok_value
        try:
            channel.send(bytes((kind,)) + payload)
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                response = await channel.async_receive()
        except TimeoutError:
            return Err(PeerRequestError(f"no response from {vm.address} in {timeout_ms} ms"))
        finally:
            channel.close()
        return (
            Ok(response)
            if response is not None
            else Err(PeerRequestError(f"{vm.address} closed the connection without a response"))
        )

    def _on_accept(self, channel: PeerChannel) -> None:
        task = asyncio.create_task(self._async_serve(channel))
        self._serving.add(task)
        task.add_done_callback(self._serving.discard)

    async def _async_serve(self, channel: PeerChannel) -> None:
        try:
            async with asyncio.timeout(SERVE_TIMEOUT_MS / MS_PER_SECOND):
                frame = await channel.async_receive()
                handler = self._handlers.get(PeerRequestKind(frame[0])) if frame else None
                if handler is None or not frame:
                    return
                channel.send(await handler(frame[1:]))
                # The requester closes once it has the response; closing here could cut the response
                # off.
                await channel.async_receive()
        except TimeoutError:
            _LOGGER.info("Peer request aborted: not finished in time")
        except ValueError:
            _LOGGER.warning("Peer request of an unknown kind")
        finally:
            channel.close()
