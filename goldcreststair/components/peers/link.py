"""One open link to one session: frames, heartbeats, and answers matched to requests."""

import asyncio
import logging
from typing import Any, Protocol

from result import Err, Ok, Result

from goldcreststair.clock import Clock
from goldcreststair.components.peers.const import (
    HEARTBEAT_MS,
    IDLE_MS,
    MAX_SERVED,
    SILENT_MS,
)
from goldcreststair.components.peers.protocols import PeerError
from goldcreststair.transport import MAX_FRAME_BYTES, PeerChannel
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.peers.ttypes import Envelope, FrameKind

_LOGGER = logging.getLogger(__name__)

_HEARTBEAT = encode_struct(Envelope(kind=FrameKind.HEARTBEAT))


class LinkOwner(Protocol):
    """Serves what comes in on a link."""

    async def async_serve(self, session_id: str, envelope: Any) -> tuple[int, bytes] | None:
        """Return the answer's number and payload, or None if the message is refused."""

    def forget(self, link: "Link") -> None:
        """Drop a link that has closed."""


class Link:
    """A link after both Hellos."""

    def __init__(
        self, channel: PeerChannel, session_id: str, owner: LinkOwner, clock: Clock
    ) -> None:
        """Take an open channel to `session_id`."""
        self.session_id = session_id
        self.closed = False
        self._channel = channel
        self._owner = owner
        self._clock = clock
        self._received_at = self._used_at = self._sent_at = clock.now()
        self._pending: dict[int, asyncio.Future[Result[Any, PeerError]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def usable(self) -> bool:
        """Return whether the link is open and the other side was heard lately."""
        return not self.closed and self._clock.now() - self._received_at <= SILENT_MS

    def start(self) -> None:
        """Receive and send heartbeats from now on."""
        self._spawn(self._async_receive())
        self._spawn(self._async_beat())

    def close(self, reason: str) -> None:
        """Close at once; requests without answer end with an error."""
        if self.closed:
            return
        self.closed = True
        self._channel.close()
        self._owner.forget(self)
        for waiting in self._pending.values():
            if not waiting.done():
                waiting.set_result(Err(PeerError(f"link to {self.session_id} lost: {reason}")))
        self._pending.clear()
        current = asyncio.current_task()
        for task in tuple(self._tasks):
            if task is not current:
                task.cancel()

    def send(self, envelope: Any) -> bool:
        """Queue a frame; False if it certainly was not sent."""
        frame = encode_struct(envelope)
        if self.closed or len(frame) > MAX_FRAME_BYTES or not self._channel.send(frame):
            return False
        self._used_at = self._sent_at = self._clock.now()
        return True

    async def async_request(
        self, correlation_id: int, number: int, payload: bytes, timeout_ms: int
    ) -> Result[Any, PeerError]:
        """Send a request and return the envelope of its answer."""
        waiting: asyncio.Future[Result[Any, PeerError]] = asyncio.Future()
        self._pending[correlation_id] = waiting
        try:
            envelope = Envelope(FrameKind.REQUEST, number, correlation_id, payload)
            if not self.send(envelope):
                return Err(PeerError("link closed or full", not_sent=True))
            async with asyncio.timeout(timeout_ms / 1000):
                return await waiting
        except TimeoutError:
            return Err(PeerError(f"no answer from {self.session_id} in {timeout_ms} ms"))
        finally:
            self._pending.pop(correlation_id, None)

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _async_receive(self) -> None:
        while (frame := await self._channel.async_receive()) is not None:
            decoded = decode_struct(Envelope, frame)
            if isinstance(decoded, Err):
                self.close(decoded.err_value.message)
                return
            self._received_at = self._clock.now()
            self._handle(decoded.ok_value)
        self.close("closed by the other side")

    def _handle(self, envelope: Any) -> None:
        if envelope.kind in (FrameKind.REQUEST, FrameKind.POST):
            self._used_at = self._clock.now()
            self._accept(envelope)
        elif envelope.kind in (FrameKind.ANSWER, FrameKind.REFUSED):
            self._match(envelope)

    def _accept(self, envelope: Any) -> None:
        # A peer that asks faster than it is served must not fill the memory.
        if len(self._tasks) > MAX_SERVED:
            self._refuse(envelope)
            return
        self._spawn(self._async_serve(envelope))

    def _match(self, envelope: Any) -> None:
        # An answer that comes late or crossed names a request that no longer waits on this link:
        # it is dropped, so that nobody takes it for the answer to something else.
        waiting = self._pending.get(envelope.correlation_id)
        if waiting is None or waiting.done():
            return
        if envelope.kind == FrameKind.REFUSED:
            waiting.set_result(Err(PeerError("refused before it was handled", not_sent=True)))
        else:
            waiting.set_result(Ok(envelope))

    async def _async_serve(self, envelope: Any) -> None:
        try:
            answer = await self._owner.async_serve(self.session_id, envelope)
        except Exception:
            _LOGGER.exception("Handler of message %s failed", envelope.number)
            return
        if envelope.kind != FrameKind.REQUEST:
            return
        if answer is None:
            self._refuse(envelope)
            return
        number, payload = answer
        self.send(Envelope(FrameKind.ANSWER, number, envelope.correlation_id, payload))

    def _refuse(self, envelope: Any) -> None:
        if envelope.kind == FrameKind.REQUEST:
            self.send(Envelope(FrameKind.REFUSED, envelope.number, envelope.correlation_id))

    async def _async_beat(self) -> None:
        while True:
            await self._clock.async_sleep(HEARTBEAT_MS)
            now = self._clock.now()
            # TCP keeps a connection open whose path has lost track of it; the other side's
            # heartbeats stop, so the link is left and the next message opens a new one.
            if now - self._received_at > SILENT_MS:
                self.close("silent")
                return
            if now - self._used_at > IDLE_MS and not self._pending:
                self.close("idle")
                return
            if now - self._sent_at >= HEARTBEAT_MS:
                self._channel.send(_HEARTBEAT)
