"""Channels that carry frames between daemons: the interface, and an implementation over TCP."""

import asyncio
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Final, Protocol

from result import Err, Ok, Result
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.netutil import bind_sockets

from goldcreststair.client_limits.controller import ClientBudget
from goldcreststair.client_limits.listener import ClientListener
from goldcreststair.client_limits.stream import ClientStream
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.errors import GoldcreststairError

MAX_FRAME_BYTES: Final = 16 * 1024 * 1024
MAX_QUEUED_BYTES: Final = 32 * 1024 * 1024
"""Bytes that may be queued on one channel; `send` refuses frames beyond it."""
LENGTH: Final = struct.Struct("!I")


@dataclass(frozen=True, slots=True)
class TransportError(GoldcreststairError):
    """A channel that could not be opened; nothing was sent."""

    refused: bool = False
    """True if the remote machine answered that nothing listens on that port."""


class PeerChannel(Protocol):
    """One open channel that carries frames both ways, in order."""

    def send(self, frame: bytes) -> bool:
        """Queue a frame; False if it will certainly not be sent (closed, too large or queue full)."""

    async def async_receive(self) -> bytes | None:
        """Return the next frame, or None once the channel is closed or broken."""

    def close(self) -> None:
        """Close at once; safe to call twice."""


OnAccept = Callable[[PeerChannel], None]


class PeerTransport(Protocol):
    """Opens and accepts channels."""

    async def async_listen(self, address: str, port: int, on_accept: OnAccept) -> int:
        """Start accepting channels; returns the bound port."""

    async def async_connect(
        self, address: str, port: int, timeout_ms: int
    ) -> Result[PeerChannel, TransportError]:
        """Open a channel."""

    async def async_close(self) -> None:
        """Stop accepting."""


class TcpChannel:
    """Length-prefixed frames over one TCP connection."""

    def __init__(self, stream: IOStream) -> None:
        """Use an open stream."""
        self._stream = stream

    def send(self, frame: bytes) -> bool:
        """Queue a frame."""
        if self._stream.closed() or len(frame) > MAX_FRAME_BYTES:
            return False
        try:
            writing = self._stream.write(LENGTH.pack(len(frame)) + frame)
        except (StreamClosedError, StreamBufferFullError):
            return False
        # A failed write also ends `async_receive`, where the failure is handled.
        asyncio.ensure_future(writing).add_done_callback(lambda done: done.exception())
        return True

    async def async_receive(self) -> bytes | None:
        """Return the next frame, or None at the end."""
        try:
            (length,) = LENGTH.unpack(await self._stream.read_bytes(LENGTH.size))
            # A length beyond the limit means that the sender is out of sync; memory stays bounded.
            if length > MAX_FRAME_BYTES:
                self.close()
                return None
            return await self._stream.read_bytes(length) if length else b""
        except (StreamClosedError, OSError):
            return None

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()


class _AcceptedChannel(TcpChannel):
    """A channel that was accepted; what is held of a frame counts for all clients together."""

    def __init__(self, stream: ClientStream) -> None:
        super().__init__(stream)
        self._accepted = stream

    async def async_receive(self) -> bytes | None:
        """Return the next frame, or None at the end."""
        self._accepted.begin_message()
        frame = await super().async_receive()
        if frame is None:
            self._accepted.discard()
        else:
            # The caller decodes and serves it before it asks for the next one.
            self._accepted.add_message_bytes(len(frame))
        return frame


class _Acceptor:
    """Passes accepted streams on as channels."""

    def __init__(self, on_accept: OnAccept) -> None:
        self._on_accept = on_accept

    def handle_stream(self, stream: ClientStream, address: object) -> None:
        stream.set_nodelay(True)
        stream.max_write_buffer_size = MAX_QUEUED_BYTES
        self._on_accept(_AcceptedChannel(stream))


class TcpTransport:
    """Channels over TCP."""

    def __init__(self, budget: ClientBudget) -> None:
        """Create a transport that does not listen yet; accepted channels count in `budget`."""
        self._budget = budget
        self._listener: ClientListener | None = None

    async def async_listen(self, address: str, port: int, on_accept: OnAccept) -> int:
        """Bind the port and accept connections."""
        sockets = bind_sockets(port, address)
        self._listener = ClientListener(
            self._budget, "peer", _Acceptor(on_accept), max_buffer_bytes=MAX_FRAME_BYTES * 2
        )
        self._listener.start(sockets)
        bound: int = sockets[0].getsockname()[1]
        return bound

    async def async_connect(
        self, address: str, port: int, timeout_ms: int
    ) -> Result[PeerChannel, TransportError]:
        """Open a TCP connection."""
        family = socket.AF_INET6 if ":" in address else socket.AF_INET
        try:
            raw = socket.socket(family, socket.SOCK_STREAM)
        except OSError as error:
            return Err(TransportError(f"cannot connect to {address}:{port}: {error!r}"))
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = IOStream(
            raw, max_buffer_size=MAX_FRAME_BYTES * 2, max_write_buffer_size=MAX_QUEUED_BYTES
        )
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_SECOND):
                await stream.connect((address, port))
        except (TimeoutError, StreamClosedError, OSError) as error:
            stream.close()
            refused = isinstance(getattr(error, "real_error", error), ConnectionRefusedError)
            return Err(TransportError(f"cannot connect to {address}:{port}: {error!r}", refused))
        except BaseException:
            stream.close()
            raise
        return Ok(TcpChannel(stream))

    async def async_close(self) -> None:
        """Stop accepting."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
