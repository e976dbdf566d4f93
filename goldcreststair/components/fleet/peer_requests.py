"""Questions that one daemon asks another over a connection of their own, rare ones only."""

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
"""A daemon in the next data centre accepts within a few ms."""
SERVE_TIMEOUT_MS: Final = 5_000
"""An asker that says nothing, or reads nothing, is let go after so long."""


class PeerRequestKind(IntEnum):
    """The first byte of a question."""

    CATALOGUE = 1
    JOB = 2


@dataclass(frozen=True, slots=True)
class PeerRequestError(GoldcreststairError):
    """A question without an answer."""

    not_sent: bool = False
    """Whether the other daemon certainly did not get it."""


PeerRequestHandler = Callable[[bytes], Awaitable[bytes]]


class PeerRequests:
    """Asks and answers."""

    def __init__(self, core: GatewayCore) -> None:
        """Answer nothing yet."""
        self._core = core
        self._handlers: dict[PeerRequestKind, PeerRequestHandler] = {}
        self._serving: set[asyncio.Task[None]] = set()

    async def async_start(self) -> None:
        """Accept questions."""
        settings = self._core.settings
        await self._core.transport.async_listen(
            settings.address, settings.peer_port, self._on_accept
        )

    async def async_close(self) -> None:
        """Stop."""
        await self._core.transport.async_close()
        for task in self._serving:
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    def register_request_handler(self, kind: PeerRequestKind, handler: PeerRequestHandler) -> None:
        """Answer the questions of one kind."""
        self._handlers[kind] = handler

    async def async_request(
        self, session: str, kind: PeerRequestKind, question: bytes, timeout_ms: int
    ) -> Result[bytes, PeerRequestError]:
        """Ask one daemon."""
        vm = self._core.blackboard.read(FLEET).vms.get(session)
        if vm is None:
            return Err(PeerRequestError(f"{session} is no daemon", not_sent=True))
        opened = await self._core.transport.async_connect(
            vm.address, vm.peer_port, min(CONNECT_TIMEOUT_MS, timeout_ms)
        )
        if isinstance(opened, Err):
            return Err(PeerRequestError(opened.err_value.message, not_sent=True))
        channel = opened.ok_value
        try:
            channel.send(bytes((kind,)) + question)
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                answer = await channel.async_receive()
        except TimeoutError:
            return Err(PeerRequestError(f"{vm.address} is silent"))
        finally:
            channel.close()
        return (
            Ok(answer)
            if answer is not None
            else Err(PeerRequestError(f"{vm.address} gave no answer"))
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
                # The asker closes once it has the answer; closing here could cut it.
                await channel.async_receive()
        except TimeoutError:
            _LOGGER.info("A daemon that asked fell silent")
        except ValueError:
            _LOGGER.warning("A daemon asked what is not known here")
        finally:
            channel.close()
