"""In-process network of channels with delay that can be cut or silenced."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err, Ok, Result

from goldcreststair.clock import Clock
from goldcreststair.transport import OnAccept, PeerChannel, TransportError


@dataclass(slots=True)
class Traffic:
    """Frames and bytes that one address has sent."""

    frames: int = 0
    bytes: int = 0


class FakeNetwork:
    """Network of a test; `join` returns the transport of an address."""

    def __init__(self, clock: Clock, delay_ms: int = 1) -> None:
        """Create a network without faults."""
        self.clock = clock
        self.delay_ms = delay_ms
        self.traffic: dict[str, Traffic] = {}
        self.on_frame: Callable[[str, str, bytes], bytes | None] | None = None
        """Gets (source, target, frame); returns the frame to deliver, or None to drop it."""
        self._listeners: dict[tuple[str, int], OnAccept] = {}
        self._channels: list[FakeChannel] = []
        self._cut: set[frozenset[str]] = set()
        self._next_port = 20_000

    def join(self, address: str) -> "FakeTransport":
        """Return the transport of one address."""
        return FakeTransport(self, address)

    def cut(self, left: str, right: str) -> None:
        """Close all channels between two addresses; none opens until `clear_cuts`."""
        self._cut.add(frozenset((left, right)))
        for channel in self._between(left, right):
            channel.close()

    def clear_cuts(self) -> None:
        """Restore all cut links."""
        self._cut.clear()

    def silence(self, left: str, right: str) -> None:
        """Drop all further frames on open channels between two addresses; new channels work."""
        for channel in self._between(left, right):
            channel.silent = True

    def is_cut(self, left: str, right: str) -> bool:
        """Return whether the link between two addresses is cut."""
        return frozenset((left, right)) in self._cut

    def listen(self, address: str, port: int, on_accept: OnAccept) -> int:
        """Bind a port, or a free one for 0; returns it."""
        if not port:
            self._next_port += 1
            port = self._next_port
        self._listeners[(address, port)] = on_accept
        return port

    def stop_listening(self, address: str) -> None:
        """Release the ports of an address."""
        self._listeners = {at: on for at, on in self._listeners.items() if at[0] != address}

    def open(self, source: str, target: str, port: int) -> "FakeChannel | None":
        """Open a channel; returns None if nothing listens or the link is cut."""
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
        """Create the end at `source` of a channel to `target`."""
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
        passed = network.on_frame(self.source, self.target, frame) if network.on_frame else frame
        if not self.silent and passed is not None:
            network.clock.call_later(network.delay_ms, lambda: self._deliver(passed))
        return True

    async def async_receive(self) -> bytes | None:
        """Return the next frame."""
        if self.closed and self._frames.empty():
            return None
        return await self._frames.get()

    def close(self) -> None:
        """Close this end, and the other one unless the channel is silent."""
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
        """Create the transport of `address`."""
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
        self._network.stop_listening(self._address)
