"""One open link to one session: frames, heartbeats, and matching of responses to requests."""

import asyncio
import logging
from typing import Any, Protocol

from result import Err, Ok, Result

from goldcreststair.clock import Clock
from goldcreststair.components.peers.const import (
    HEARTBEAT_MS,
    IDLE_TIMEOUT_MS,
    MAX_CONCURRENT_REQUESTS,
    SILENCE_TIMEOUT_MS,
)
from goldcreststair.components.peers.protocols import PeerError
from goldcreststair.transport import MAX_FRAME_BYTES, PeerChannel
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.peers.ttypes import Envelope, FrameKind

_LOGGER = logging.getLogger(__name__)

_HEARTBEAT_FRAME = encode_struct(Envelope(kind=FrameKind.HEARTBEAT))


class LinkHandler(Protocol):
    """Handles what a link receives."""

    async def async_serve(self, session_id: str, envelope: Any) -> tuple[int, bytes] | None:
        """Return the message number and payload of the response, or None to refuse the message."""

    def forget(self, link: "Link") -> None:
        """Remove a link that has closed."""


class Link:
    """A link on which both sides have sent their Hello."""

    def __init__(
        self, channel: PeerChannel, session_id: str, handler: LinkHandler, clock: Clock
    ) -> None:
        """Wrap an open channel to `session_id`."""
        self.session_id = session_id
        self.closed = False
        self._channel = channel
        self._handler = handler
        self._clock = clock
        self._received_at = self._used_at = self._sent_at = clock.now()
        self._pending: dict[int, asyncio.Future[Result[Any, PeerError]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def usable(self) -> bool:
        """Return whether the link is open and has received a frame recently."""
        return not self.closed and self._clock.now() - self._received_at <= SILENCE_TIMEOUT_MS

    def start(self) -> None:
        """Start to receive frames and to send heartbeats."""
        self._spawn(self._async_receive())
        self._spawn(self._async_maintain())

    def close(self, reason: str) -> None:
        """Close at once; pending requests end with an error."""
        if self.closed:
            return
        self.closed = True
        self._channel.close()
        self._handler.forget(self)
        for pending in self._pending.values():
            if not pending.done():
                pending.set_result(Err(PeerError(f"link to {self.session_id} lost: {reason}")))
        self._pending.clear()
        current = asyncio.current_task()
        for task in tuple(self._tasks):
            if task is not current:
                task.cancel()

    def send(self, envelope: Any) -> bool:
        """Queue a frame; returns False if it is certain that it was not sent."""
        frame = encode_struct(envelope)
        if self.closed or len(frame) > MAX_FRAME_BYTES or not self._channel.send(frame):
            return False
        self._used_at = self._sent_at = self._clock.now()
        return True

    async def async_request(
        self, correlation_id: int, number: int, payload: bytes, timeout_ms: int
    ) -> Result[Any, PeerError]:
        """Send a request and return the envelope of its response."""
        pending: asyncio.Future[Result[Any, PeerError]] = asyncio.Future()
        self._pending[correlation_id] = pending
        try:
            envelope = Envelope(FrameKind.REQUEST, number, correlation_id, payload)
            if not self.send(envelope):
                return Err(PeerError("link closed or full", not_sent=True))
            async with asyncio.timeout(timeout_ms / 1000):
                return await pending
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
            self._handle_envelope(decoded.ok_value)
        self.close("closed by the other side")

    def _handle_envelope(self, envelope: Any) -> None:
        if envelope.kind in (FrameKind.REQUEST, FrameKind.POST):
            self._used_at = self._clock.now()
            self._accept_request(envelope)
        elif envelope.kind in (FrameKind.ANSWER, FrameKind.REFUSED):
            self._resolve_response(envelope)

    def _accept_request(self, envelope: Any) -> None:
        # A peer that sends requests faster than they are served must not exhaust the memory.
        if len(self._tasks) > MAX_CONCURRENT_REQUESTS:
            self._refuse(envelope)
            return
        self._spawn(self._async_serve(envelope))

    def _resolve_response(self, envelope: Any) -> None:
        # A late or misdirected response has the correlation id of a request that is no longer
        # pending on this link. It is dropped, so that it is not used for another request.
        pending = self._pending.get(envelope.correlation_id)
        if pending is None or pending.done():
            return
        if envelope.kind == FrameKind.REFUSED:
            pending.set_result(
                Err(PeerError("request refused before it was handled", not_sent=True))
            )
        else:
            pending.set_result(Ok(envelope))

    async def _async_serve(self, envelope: Any) -> None:
        try:
            response = await self._handler.async_serve(self.session_id, envelope)
        except Exception:
            _LOGGER.exception("Handler of message %s failed", envelope.number)
            return
        if envelope.kind != FrameKind.REQUEST:
            return
        if response is None:
            self._refuse(envelope)
            return
        number, payload = response
        self.send(Envelope(FrameKind.ANSWER, number, envelope.correlation_id, payload))

    def _refuse(self, envelope: Any) -> None:
        if envelope.kind == FrameKind.REQUEST:
            self.send(Envelope(FrameKind.REFUSED, envelope.number, envelope.correlation_id))

    async def _async_maintain(self) -> None:
        while True:
            await self._clock.async_sleep(HEARTBEAT_MS)
            now = self._clock.now()
            # TCP does not notice that a path lost track of its connection, but the other side's
            # heartbeats stop. The link is closed then, and the next message opens a new one.
            if now - self._received_at > SILENCE_TIMEOUT_MS:
                self.close("silent")
                return
            if now - self._used_at > IDLE_TIMEOUT_MS and not self._pending:
                self.close("idle")
                return
            if now - self._sent_at >= HEARTBEAT_MS:
                self._channel.send(_HEARTBEAT_FRAME)
