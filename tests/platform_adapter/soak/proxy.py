"""A TCP proxy on loopback that can delay, reset and hold connections, also in one direction only."""

import asyncio
import os
import re
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

from tests.platform_adapter.soak.record import Attempt

READ_BYTES: Final = 65_536
REQUEST_ID: Final = re.compile(rb"\r\nRequest-Id: ([^\r]+)\r\n", re.IGNORECASE)
LINGER_NONE: Final = struct.pack("ii", 1, 0)
"""Socket option with which a close resets the connection."""


@dataclass(slots=True, eq=False)
class Link:
    """One connection through a proxy; `near` is the side that opened it, `far` the target's side."""

    near: asyncio.StreamWriter
    far: asyncio.StreamWriter
    record_requests: Callable[[bytes, "Link"], None]
    disturbed_until: float = float("-inf")
    """When the last disturbance ended; infinite while it goes on, and after a reset."""
    was_reset: bool = False
    attempt: Attempt | None = None
    to_far: asyncio.Event = field(default_factory=asyncio.Event)
    to_near: asyncio.Event = field(default_factory=asyncio.Event)

    def hold(self, to_far: bool, to_near: bool) -> None:
        """Hold all data in these directions, and the end of the connection as well."""
        self.disturbed_until = float("inf")
        if to_far:
            self.to_far.clear()
        if to_near:
            self.to_near.clear()

    def release(self) -> None:
        """Pass on all data again, beginning with what was held."""
        self.to_far.set()
        self.to_near.set()
        self.disturbed_until = min(self.disturbed_until, time.monotonic())

    def was_disturbed(self, since: float) -> bool:
        """Return whether a disturbance went on at the time `since` or began later."""
        return self.disturbed_until >= since

    def reset(self) -> None:
        """Reset the connection on both sides."""
        self.was_reset = True
        if self.attempt is not None:
            self.attempt.broken_at = min(self.attempt.broken_at, time.monotonic())
        for writer in (self.near, self.far):
            raw = writer.get_extra_info("socket")
            if not writer.is_closing():
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self.close_near(self.near.transport.abort)
        self.far.transport.abort()
        self.release()
        self.disturbed_until = float("inf")

    def close_near(self, close: Callable[[], None]) -> None:
        """Close the near side by `close`, and record the requests that are lost with its connection."""
        if self.near.is_closing():
            return
        # The transport closes its socket in the next step of the loop, and requests arrive until then.
        kept = os.dup(self.near.get_extra_info("socket").fileno())
        close()
        asyncio.get_running_loop().call_soon(self._record_unread, kept)

    def _record_unread(self, descriptor: int) -> None:
        try:
            pending = read_pending(descriptor)
        finally:
            os.close(descriptor)
        if pending:
            self.was_reset = True
            self.record_requests(pending, self)


@dataclass(slots=True)
class Proxy:
    """Forwards connections to one address, and records the requests on them."""

    name: str
    target: str
    attempts: list[Attempt] = field(default_factory=list)
    delay_s: float = 0.0
    address: str = ""
    links: dict[int, Link] = field(default_factory=dict)
    """Connections by the port of the side that opened them; kept until that port opens another."""
    _open: set[Link] = field(default_factory=set)
    _server: asyncio.Server | None = None
    _held: socket.socket = field(default_factory=socket.socket)

    async def async_start(self) -> None:
        """Listen on any free port."""
        self._server = await asyncio.start_server(self._async_carry, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def refuse(self) -> None:
        """Reset all open connections and refuse new ones."""
        if self._server is not None:
            for listening in self._server.sockets:
                self._reset_unaccepted(listening.fileno())
            self._server.close()
        # Without a socket that holds the port, another connection may take it.
        self._held = socket.socket()
        self._held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._held.bind(self._list_address())
        for link in self.list_open():
            link.reset()

    async def async_accept(self) -> None:
        """Accept connections again, at the same address."""
        self._server = await asyncio.start_server(
            self._async_carry, sock=self._held, start_serving=False
        )
        # Set before it listens, so that `refuse` closes it at any time.
        await self._server.start_serving()

    def _list_address(self) -> tuple[str, int]:
        host, _, port = self.address.rpartition(":")
        return host, int(port)

    def close(self) -> None:
        """Stop listening and reset all open connections."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._open):
            link.reset()

    def list_open(self) -> list[Link]:
        """Return the open connections, oldest first."""
        return [link for link in self.links.values() if link in self._open]

    def find_link(self, port: int) -> Link | None:
        """Return the connection that a port opened, or None if it did not reach the target."""
        return self.links.get(port)

    async def _async_carry(self, reader: asyncio.StreamReader, near: asyncio.StreamWriter) -> None:
        host, _, port = self.target.rpartition(":")
        near_port = near.get_extra_info("peername")[1]
        self.links.pop(near_port, None)
        try:
            far_reader, far = await asyncio.open_connection(host, int(port))
        except OSError:
            self._add_attempts(await async_abort(reader, near), broken=True)
            return
        link = Link(near, far, self._record_requests)
        link.release()
        self.links[near_port] = link
        self._open.add(link)
        try:
            await asyncio.gather(
                self._async_pump(reader, far, link, link.to_far),
                self._async_pump(far_reader, near, link, link.to_near),
            )
        finally:
            self._open.discard(link)

    async def _async_pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        link: Link,
        passes: asyncio.Event,
    ) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                if passes is link.to_far:
                    self._record_requests(data, link)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await passes.wait()
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        await passes.wait()
        if writer is link.near:
            link.close_near(writer.close)
        else:
            writer.close()

    def _record_requests(self, data: bytes, link: Link) -> None:
        added = self._add_attempts(data, broken=link.was_reset)
        if added:
            link.attempt = added[-1]

    def _add_attempts(self, data: bytes, *, broken: bool) -> list[Attempt]:
        now = time.monotonic()
        names = [found.decode() for found in REQUEST_ID.findall(data)]
        broken_at = now if broken else float("inf")
        added = [Attempt(name, self.name, now, broken_at) for name in names]
        self.attempts += added
        return added

    def _reset_unaccepted(self, listening: int) -> None:
        """Reset the connections that the kernel has accepted and this process has not seen yet."""
        with socket.socket(fileno=os.dup(listening)) as server:
            while True:
                try:
                    connection, _ = server.accept()
                except BlockingIOError:
                    return
                with connection:
                    self._add_attempts(read_pending(connection.fileno()), broken=True)
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)


async def async_abort(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bytes:
    """Abort a connection and return what had arrived on it and was not read."""
    pending = read_pending(writer.get_extra_info("socket").fileno())
    writer.transport.abort()
    try:
        return await reader.read() + pending
    except ConnectionError:
        return pending


def read_pending(descriptor: int) -> bytes:
    """Return what a socket has received and nobody has read, without waiting for more."""
    pending = bytearray()
    with socket.socket(fileno=os.dup(descriptor)) as connection:
        connection.setblocking(False)
        try:
            while data := connection.recv(READ_BYTES):
                pending += data
        except OSError:
            pass  # Nothing is left, or the other side has reset the connection.
    return bytes(pending)
