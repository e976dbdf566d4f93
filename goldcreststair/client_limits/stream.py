"""A client's connection whose bytes are counted as they arrive and leave."""

import errno
import os
import socket
from collections.abc import Awaitable, Callable

from tornado.concurrent import Future
from tornado.iostream import IOStream, StreamClosedError

from goldcreststair.client_limits.const import (
    CHUNKS_PER_TURN,
    FIELDS_PER_TURN,
    MAX_HEADER_FIELDS,
    RECEIVE_BUFFER_BYTES,
)
from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.models import CloseCause, Holding


class ClientStream(IOStream):
    """Implements `Connection`; counts the bytes of the current message, and those before and behind it."""

    def __init__(
        self,
        opened: socket.socket,
        budget: ClientBudget,
        port: str,
        *,
        max_buffer_bytes: int | None = None,
    ) -> None:
        """Count what is held for `opened`, which was accepted at `port`, in `budget`."""
        self.on_shed: Callable[[], None] | None = None
        """Refuses the current request before the connection is closed."""
        self._budget = budget
        self._message_bytes = 0
        """Bytes of the current message that have left the read buffer and are still held."""
        self._unsent = 0
        self._pending = 0
        """Bytes that probably wait in the kernel's receive buffer."""
        self._chunks = 0
        """Chunk sizes that were read of the current message."""
        super().__init__(opened, max_buffer_size=max_buffer_bytes)
        self._holding: Holding = budget.open(self, port)

    def drop_if_gone(self) -> None:
        """Free what was received if the client has disconnected; a closed stream would still return it."""
        if self._read_buffer_size:
            self._close_if_reset()
        if self.closed():
            self.discard()

    def begin_message(self) -> None:
        """Record that nothing is held any more but what was received behind the last message."""
        self.on_shed = None
        self._message_bytes = self._chunks = 0
        self._holding.is_serving = False
        self._count()

    def add_message_bytes(self, size: int) -> None:
        """Record that `size` more bytes of the current message are held outside of this connection."""
        self.set_message_bytes(self._message_bytes + size)

    def set_message_bytes(self, size: int) -> None:
        """Record that `size` bytes of the current message are held outside of this connection."""
        self._message_bytes = size
        self._count()

    def end_message(self) -> bool:
        """Record that the current message is complete; returns whether it can still be answered."""
        if self._read_buffer_size:
            self._close_if_reset()
        self._holding.is_serving = True
        return not self.closed()

    def drop_message(self) -> None:
        """Record that the current message is not held any more."""
        self.set_message_bytes(0)

    def shed(self, cause: CloseCause) -> None:
        """Refuse the request that is being received, and close the connection."""
        if not self.closed() and not self._holding.is_serving and self.on_shed is not None:
            self.on_shed()
        self.close()
        self.discard()

    def discard(self) -> None:
        """Free what was received; called once the connection is closed and nothing reads from it.

        A closed stream may stay referenced until the next garbage collection.
        """
        self._read_buffer = bytearray()
        self._read_buffer_size = 0

    async def read_until_regex(self, regex: bytes, max_bytes: int | None = None) -> bytes:
        """Read the head of a message; one with many fields takes turns with other clients."""
        head = await super().read_until_regex(regex, max_bytes)
        fields = head.count(b"\n")
        if fields > MAX_HEADER_FIELDS:
            self._budget.reject(self._holding, CloseCause.FIELDS)
            raise StreamClosedError
        if fields >= FIELDS_PER_TURN:
            await self._budget.async_take_turn(self._holding, fields // FIELDS_PER_TURN)
        return head

    def read_until(self, delimiter: bytes, max_bytes: int | None = None) -> Awaitable[bytes]:
        """Read the size of a chunk; a body of many chunks takes turns with other clients."""
        self._chunks += 1
        if self._chunks % CHUNKS_PER_TURN:
            return super().read_until(delimiter, max_bytes)
        return self._async_read_in_turn(delimiter, max_bytes)

    async def _async_read_in_turn(self, delimiter: bytes, max_bytes: int | None) -> bytes:
        await self._budget.async_take_turn(self._holding, self._chunks // CHUNKS_PER_TURN)
        self._close_if_reset()
        return await super().read_until(delimiter, max_bytes)

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read and count bytes; the connection is reset if they can't be held."""
        size = len(buf)
        try:
            received = super().read_from_fd(buf)
        finally:
            # An error is kept with its frames until the next garbage collection.
            del buf
        if received:
            self._budget.advance(self._holding)
            self._pending = RECEIVE_BUFFER_BYTES if received == size else 0
            self._count(received)
            self._budget.enforce()
            if self.closed():
                raise ConnectionResetError(errno.ECONNRESET, os.strerror(errno.ECONNRESET))
        return received

    def write(self, data: bytes | memoryview) -> "Future[None]":
        """Write, and count what the connection does not accept at once."""
        self._unsent += len(data)
        try:
            written = super().write(data)
        except Exception:
            self._unsent -= len(data)
            raise
        if self._unsent:
            self._count()
            self._budget.enforce()
        return written

    def write_to_fd(self, data: memoryview) -> int:
        """Write bytes, and stop counting them."""
        try:
            written = super().write_to_fd(data)
        finally:
            del data
        if written:
            self._budget.advance(self._holding)
            self._unsent -= written
            self._count()
        return written

    def close_fd(self) -> None:
        """Close the socket, and give back what was counted."""
        self._budget.close(self._holding)
        super().close_fd()

    def _close_if_reset(self) -> None:
        # The socket is not watched while received bytes wait to be used, and what was received before
        # a reset could still be read for a long time.
        if not self.closed() and self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self.close()

    def _count(self, received: int = 0) -> None:
        if self.closed():
            return
        buffered = self._read_buffer_size + received + self._pending
        ahead = buffered if self._holding.is_serving else 0
        self._budget.resize(self._holding, self._message_bytes + buffered, self._unsent, ahead)
