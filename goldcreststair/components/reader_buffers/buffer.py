"""Holds the bytes of one answer that its caller's connection has not accepted yet."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from goldcreststair.clock import Clock
from goldcreststair.components.reader_buffers.const import MAX_STALL_MS, WRITE_BYTES
from goldcreststair.components.reader_buffers.controller import BufferController
from goldcreststair.components.reader_buffers.models import ReaderIdentity, ReaderState
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.helpers.refusals import Refusal
from goldcreststair.upstreams.dialect import RunHead

if TYPE_CHECKING:
    from goldcreststair.components.forwarding.protocols import Responder


class BufferedResponder:
    """Implements `Responder`; passes bytes on as fast as the caller's connection accepts them."""

    def __init__(
        self,
        responder: "Responder",
        identity: ReaderIdentity,
        clock: Clock,
        controller: BufferController,
        on_held: Callable[[], None],
        on_stalled: Callable[["BufferedResponder"], None],
    ) -> None:
        """Buffer in front of `responder`; `on_held` is called after bytes were added."""
        self.state = ReaderState(identity)
        self.is_closed = False
        """Whether nothing more is passed on."""
        self._responder = responder
        self._clock = clock
        self._controller = controller
        self._on_held = on_held
        self._on_stalled = on_stalled
        self._buffer = bytearray()
        self._delivery: asyncio.Task[None] | None = None
        self._written: asyncio.Future[None] | None = None
        """The write that the caller's connection has not accepted yet."""
        self._finishes = False
        """Whether the stream ends once the buffer is empty."""
        self._waiter: asyncio.Future[None] | None = None
        """Resolved when the upstream may be read again."""

    def begin(self, head: RunHead) -> None:
        """Send the head of a stream."""
        self._responder.begin(head)

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send or hold a chunk of a stream; the awaitable completes when reading may go on."""
        if self.is_closed:
            return None
        if self._delivery is None:
            written = self._responder.write(data)
            if written is None:
                self._controller.end_lag(self.state)
                return None
            self._hold(written, len(data))
        else:
            self._buffer += data
            self._controller.hold(self.state, len(data))
            self._on_held()
        return None if self._may_continue() else self._async_wait()

    def finish(self) -> None:
        """End a complete stream after what is held."""
        if self._delivery is not None:
            self._finishes = True
        elif not self.is_closed:
            self._responder.finish()

    def answer(self, head: RunHead, body: bytes) -> Awaitable[None] | None:
        """Send a complete answer of an upstream, which counts as held until it was accepted."""
        if self.is_closed:
            return None
        written = self._responder.answer(head, body)
        if written is not None and self._delivery is None:
            self._hold(written, len(body))
        return None

    def accept(self) -> None:
        """Report that a job was accepted."""
        self._responder.accept()

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal as the complete answer."""
        if not self.is_closed:
            self._responder.refuse(refusal)

    def abort(self) -> None:
        """Drop what is held and close the connection, so that the answer does not look complete."""
        self.close()
        self._responder.abort()

    def close(self) -> None:
        """Drop what is held and stop."""
        self.is_closed = True
        self._controller.remove(self.state)
        self._buffer.clear()
        if self._delivery is not None:
            self._delivery.cancel()
        if self._written is not None:
            self._written.cancel()
        self._wake()

    async def async_drain(self) -> None:
        """Wait until the caller's connection has accepted everything."""
        if self._delivery is not None and not self.is_closed:
            await self._delivery

    def _hold(self, written: Awaitable[None], size: int) -> None:
        self._written = asyncio.ensure_future(written)
        self._delivery = asyncio.ensure_future(self._async_deliver(size))
        self._controller.hold(self.state, size)
        self._on_held()

    async def _async_deliver(self, size: int) -> None:
        """Wait for the current write of `size` bytes, and write what was added meanwhile."""
        try:
            while await self._async_accept():
                self._controller.release(self.state, size)
                if not self._buffer:
                    break
                self._wake()
                size = self._write_piece()
            if self._finishes and not self.is_closed:
                self._responder.finish()
        except Exception:
            # Bytes may be missing, so the stream must not go on.
            self.abort()
            raise
        finally:
            self._delivery = self._written = None
            self._wake()

    def _write_piece(self) -> int:
        piece = bytes(self._buffer[:WRITE_BYTES])
        del self._buffer[:WRITE_BYTES]
        written = self._responder.write(piece)
        self._written = None if written is None else asyncio.ensure_future(written)
        return len(piece)

    async def _async_accept(self) -> bool:
        """Wait for the current write; returns False if the reader stalled and was shed."""
        if self._written is None:
            return True
        try:
            async with asyncio.timeout(MAX_STALL_MS / MS_PER_SECOND):
                await self._written
        except TimeoutError:
            self._on_stalled(self)
            return False
        return True

    def _may_continue(self) -> bool:
        return self.is_closed or self._delivery is None or self._controller.may_read(self.state)

    async def _async_wait(self) -> None:
        self._waiter = asyncio.get_running_loop().create_future()
        # One more ms, since the clock rounds down.
        pause_ms = self._controller.read_pause_ms(self.state) + 1
        timer = self._clock.call_later(pause_ms, self._wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done() and self._may_continue():
            self._waiter.set_result(None)
