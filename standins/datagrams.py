"""In-process datagrams with delay, loss and cut links."""

from dataclasses import dataclass, field
from random import Random

from goldcreststair.clock import Clock
from goldcreststair.datagrams import DatagramHandler


@dataclass(slots=True)
class FakeDatagramNetwork:
    """Datagram network of a test; `join` returns the transport of an address."""

    clock: Clock
    random: Random = field(default_factory=lambda: Random(1))
    delay_ms: int = 1
    loss: float = 0.0
    """Share of datagrams that are lost."""
    late: dict[str, int] = field(default_factory=dict)
    """Addresses that send and receive later, and by how many ms each time."""
    sent: int = 0
    sent_bytes: int = 0
    _listeners: dict[tuple[str, int], DatagramHandler] = field(default_factory=dict)
    held_until: dict[str, int] = field(default_factory=dict)
    """Addresses whose processes stand still, and until when; what reaches them waits in their sockets."""
    _cut: set[frozenset[str]] = field(default_factory=set)
    _cut_one_way: set[tuple[str, str]] = field(default_factory=set)

    def join(self, address: str) -> "FakeDatagrams":
        """Return the transport of one address."""
        return FakeDatagrams(self, address)

    def cut(self, left: str, right: str) -> None:
        """Drop all datagrams between two addresses."""
        self._cut.add(frozenset((left, right)))

    def cut_one_way(self, source: str, target: str) -> None:
        """Drop all datagrams from one address to another."""
        self._cut_one_way.add((source, target))

    def clear_cuts(self) -> None:
        """Restore all cut links."""
        self._cut.clear()
        self._cut_one_way.clear()

    def listen(self, address: str, port: int, on_datagram: DatagramHandler) -> None:
        """Register the receiver of an address."""
        self._listeners[(address, port)] = on_datagram

    def stop_listening(self, address: str) -> None:
        """Remove the receivers of an address."""
        self._listeners = {at: on for at, on in self._listeners.items() if at[0] != address}

    def send(self, source: str, target: str, port: int, datagram: bytes) -> None:
        """Deliver a datagram after the delay."""
        self.sent += 1
        self.sent_bytes += len(datagram)
        lost = self.random.random() < self.loss
        if lost or frozenset((source, target)) in self._cut:
            return
        if (source, target) in self._cut_one_way:
            return

        def deliver() -> None:
            on_datagram = self._listeners.get((target, port))
            if on_datagram is not None:
                on_datagram(datagram, source)

        late_ms = self.late.get(source, 0) + self.late.get(target, 0)
        held_ms = self.held_until.get(target, 0) - self.clock.now()
        self.clock.call_later(max(self.delay_ms + late_ms, held_ms), deliver)


@dataclass(slots=True)
class FakeDatagrams:
    """The transport of one address; implements `DatagramTransport`."""

    network: FakeDatagramNetwork
    address: str
    closed: bool = False

    async def async_listen(self, address: str, port: int, on_datagram: DatagramHandler) -> int:
        """Register the receiver of datagrams."""
        self.network.listen(self.address, port, on_datagram)
        return port

    def send(self, address: str, port: int, datagram: bytes) -> None:
        """Send one datagram."""
        if not self.closed:
            self.network.send(self.address, address, port, datagram)

    def close(self) -> None:
        """Stop sending and receiving."""
        self.closed = True
        self.network.stop_listening(self.address)
