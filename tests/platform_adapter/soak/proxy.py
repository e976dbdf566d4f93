"""A TCP proxy on loopback that can delay, reset and hold connections, also in one direction only."""

import asyncio
import re
import socket
import struct
import time
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
    disturbed: bool = False
    attempt: Attempt | None = None
    to_far: asyncio.Event = field(default_factory=asyncio.Event)
    to_near: asyncio.Event = field(default_factory=asyncio.Event)

    def hold(self, to_far: bool, to_near: bool) -> None:
        """Hold all data in these directions, and the end of the connection as well."""
        self.disturbed = True
        if to_far:
            self.to_far.clear()
        if to_near:
            self.to_near.clear()

    def release(self) -> None:
        """Pass on all data again, beginning with what was held."""
        self.to_far.set()
        self.to_near.set()

    def reset(self) -> None:
        """Reset the connection on both sides."""
        self.disturbed = True
        if self.attempt is not None:
            self.attempt.broken = True
        for writer in (self.near, self.far):
            raw = writer.get_extra_info("socket")
            if not writer.is_closing():
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            writer.transport.abort()
        self.release()


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
            self._server.close()
        # Without a socket that holds the port, another connection may take it.
        self._held = socket.socket()
        self._held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._held.bind(self._list_address())
        for link in self.list_open():
            link.reset()

    async def async_accept(self) -> None:
        """Accept connections again, at the same address."""
        self._server = await asyncio.start_server(self._async_carry, sock=self._held)

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
            near.transport.abort()
            return
        link = Link(near, far)
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
        writer.close()

    def _record_requests(self, data: bytes, link: Link) -> None:
        for found in REQUEST_ID.findall(data):
            link.attempt = Attempt(found.decode(), self.name, time.monotonic())
            self.attempts.append(link.attempt)
