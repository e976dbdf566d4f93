"""In-process links between daemons, without transport or codec, with faults."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from result import Err, Ok, Result

from goldcreststair.clock import Clock
from goldcreststair.components.peers.protocols import Handler, PeerError, PeerMessage


class FakePeerNetwork:
    """Links of a test; `join` returns the end of one daemon."""

    def __init__(self, clock: Clock, delay_ms: int = 1) -> None:
        self.clock = clock
        self.delay_ms = delay_ms
        self.lose_answers = 0
        self.sent: list[tuple[str, str, PeerMessage]] = []
        self._ends: dict[str, FakePeerLinks] = {}
        self._cut: set[frozenset[str]] = set()
        self._tasks: set[asyncio.Task[Any]] = set()

    def join(self, session_id: str) -> "FakePeerLinks":
        self._ends[session_id] = FakePeerLinks(self, session_id)
        return self._ends[session_id]

    def kill(self, session_id: str) -> None:
        self._ends.pop(session_id, None)

    def cut(self, left: str, right: str) -> None:
        self._cut.add(frozenset((left, right)))

    def clear_cuts(self) -> None:
        self._cut.clear()

    def find(self, source: str, target: str) -> "FakePeerLinks | None":
        if frozenset((source, target)) in self._cut or source not in self._ends:
            return None
        return self._ends.get(target)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


class FakePeerLinks:
    """Links of one daemon; implements `PeerLinks`."""

    def __init__(self, network: FakePeerNetwork, session_id: str) -> None:
        self.session_id = session_id
        self.handlers: dict[type[PeerMessage], Handler | None] = {}
        self._network = network

    def register(self, number: int, struct: type[PeerMessage], handler: Handler | None) -> None:
        assert struct not in self.handlers, "registered twice"
        self.handlers[struct] = handler

    async def async_request(
        self, session_id: str, message: PeerMessage, timeout_ms: int
    ) -> Result[PeerMessage, PeerError]:
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                return await self._async_deliver(session_id, message)
        except TimeoutError:
            return Err(PeerError("no answer in time"))

    def post(self, session_id: str, message: PeerMessage) -> None:
        self._network.spawn(self._async_deliver(session_id, message))

    async def _async_deliver(
        self, session_id: str, message: PeerMessage
    ) -> Result[PeerMessage, PeerError]:
        network = self._network
        network.sent.append((self.session_id, session_id, message))
        await network.clock.async_sleep(network.delay_ms)
        target = network.find(self.session_id, session_id)
        if target is None:
            return Err(PeerError("no link", not_sent=True))
        handler = target.handlers.get(type(message))
        assert handler is not None, f"no handler for {type(message).__name__}"
        answer = await handler(self.session_id, message)
        await network.clock.async_sleep(network.delay_ms)
        if network.find(self.session_id, session_id) is not target:
            return Err(PeerError("link lost"))
        if network.lose_answers > 0:
            network.lose_answers -= 1
            return Err(PeerError("answer lost"))
        return Ok(answer)
