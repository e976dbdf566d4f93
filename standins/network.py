"""A network in process: channels with delay that can be cut, or go silent while open."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.clock import Clock
from goldcreststair.transport import OnAccept, PeerChannel, TransportError


@dataclass(slots=True)
class Traffic:
    """What one address sent."""

    frames: int = 0
    bytes: int = 0


class FakeNetwork:
    """All channels of a test; `join` gives each address its transport."""

    def __init__(self, clock: Clock, delay_ms: int = 1) -> None:
        """Start without faults."""
        self.clock = clock
        self.delay_ms = delay_ms
        self.traffic: dict[str, Traffic] = {}
        self.on_frame: Callable[[str, str, bytes], bytes | None] | None = None
        """Sees (source, target, frame) and may change or drop it."""
        self._listeners: dict[tuple[str, int], OnAccept] = {}
        self._channels: list[FakeChannel] = []
        self._cut: set[frozenset[str]] = set()
        self._next_port = 20_000

    def join(self, address: str) -> "FakeTransport":
        """Return the transport of one address."""
        return FakeTransport(self, address)

    def cut(self, left: str, right: str) -> None:
        """Break all channels between two addresses; none opens until `heal`."""
        self._cut.add(frozenset((left, right)))
        for channel in self._between(left, right):
            channel.close()

    def heal(self) -> None:
        """Let channels open again."""
        self._cut.clear()

    def silence(self, left: str, right: str) -> None:
        """Let open channels between two addresses carry nothing more; new ones work."""
        for channel in self._between(left, right):
            channel.silent = True

    def is_cut(self, left: str, right: str) -> bool:
        """Return whether no channel may open."""
        return frozenset((left, right)) in self._cut

    def listen(self, address: str, port: int, on_accept: OnAccept) -> int:
        """Bind a port; 0 is any free one."""
        if not port:
            self._next_port += 1
            port = self._next_port
        self._listeners[(address, port)] = on_accept
        return port

    def unlisten(self, address: str) -> None:
        """Free the ports of an address."""
        self._listeners = {at: on for at, on in self._listeners.items() if at[0] != address}

    def open(self, source: str, target: str, port: int) -> "FakeChannel | None":
        """Open a channel, or return None if nothing listens or the path is cut."""
        on_accept = self._listeners.get((target, port))
        if on_accept is None or self.is_cut(source, target):
            return None
        near, far = FakeChannel(self, source, target), FakeChannel(self, target, source)
        near.far, far.far = far, near
        self._channels = [c for c in self._channels if not c.closed] + [near, far]
        on_accept(far)
        return near

    def _between(self, left: str, right: str) -> "list[FakeChannel]":
        pair = {left, right}
        return [c for c in self._channels if {c.source, c.target} == pair and not c.closed]


class FakeChannel:
    """One end of a channel; implements `PeerChannel`."""

    def __init__(self, network: FakeNetwork, source: str, target: str) -> None:
        """Stand at `source`, towards `target`."""
        self.source = source
        self.target = target
        self.closed = False
        self.silent = False
        self.far: FakeChannel | None = None
        self._network = network
        self._frames: asyncio.Queue[bytes | None] = asyncio.Queue()

    def send(self, frame: bytes) -> bool:
        """Deliver a frame after the delay."""
        if self.closed:
            return False
        network = self._network
        traffic = network.traffic.setdefault(self.source, Traffic())
        traffic.frames += 1
        traffic.bytes += len(frame) + 4
        seen = network.on_frame(self.source, self.target, frame) if network.on_frame else frame
        if not self.silent and seen is not None:
            network.clock.call_later(network.delay_ms, lambda: self._deliver(seen))
        return True

    async def async_receive(self) -> bytes | None:
        """Return the next frame."""
        if self.closed and self._frames.empty():
            return None
        return await self._frames.get()

    def close(self) -> None:
        """Close both ends, unless the path is silent and the other cannot know."""
        if self.closed:
            return
        self.closed = True
        self._frames.put_nowait(None)
        if self.far is not None and not self.silent:
            self._network.clock.call_later(self._network.delay_ms, self.far.close)

    def _deliver(self, frame: bytes) -> None:
        if self.far is not None and not self.far.closed and not self.silent:
            self.far._frames.put_nowait(frame)


class FakeTransport:
    """The transport of one address; implements `PeerTransport`."""

    def __init__(self, network: FakeNetwork, address: str) -> None:
        """Stand at `address`."""
        self._network = network
        self._address = address

    async def async_listen(self, address: str, port: int, on_accept: OnAccept) -> int:
        """Accept channels."""
        return self._network.listen(self._address, port, on_accept)

    async def async_connect(
        self, address: str, port: int, timeout_ms: int
    ) -> Result[PeerChannel, TransportError]:
        """Open a channel after the delay."""
        await self._network.clock.async_sleep(self._network.delay_ms)
        channel = self._network.open(self._address, address, port)
        if channel is not None:
            return Ok(channel)
        refused = not self._network.is_cut(self._address, address)
        return Err(TransportError(f"cannot reach {address}:{port}", refused))

    async def async_close(self) -> None:
        """Stop accepting."""
        self._network.unlisten(self._address)
