"""Datagram transport between daemons, and its implementation over UDP."""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, Protocol

_LOGGER = logging.getLogger(__name__)

DatagramHandler = Callable[[bytes, str], None]
"""Receives a datagram and the sender's IP address."""


class DatagramTransport(Protocol):
    """Sends and receives datagrams, which may be lost, duplicated or delayed."""

    async def async_listen(self, address: str, port: int, on_datagram: DatagramHandler) -> int:
        """Start to receive; returns the port that was actually bound."""

    def send(self, address: str, port: int, datagram: bytes) -> None:
        """Send one datagram; never blocks and never raises."""

    def close(self) -> None:
        """Close the transport; safe to call twice."""


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, on_datagram: DatagramHandler) -> None:
        self._on_datagram = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str | Any, int]) -> None:
        self._on_datagram(data, str(addr[0]))

    def error_received(self, exc: Exception) -> None:
        # Called when a datagram reached a port without a listener: the other daemon has ended,
        # which its missing beacons show as well.
        _LOGGER.debug("Datagram failed: %r", exc)


class UdpTransport:
    """Implements `DatagramTransport` over UDP."""

    def __init__(self) -> None:
        """Start without a socket."""
        self._transport: asyncio.DatagramTransport | None = None

    async def async_listen(self, address: str, port: int, on_datagram: DatagramHandler) -> int:
        """Bind the socket and start to receive; returns the port that was actually bound."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(on_datagram), local_addr=(address, port)
        )
        bound: int = self._transport.get_extra_info("sockname")[1]
        return bound

    def send(self, address: str, port: int, datagram: bytes) -> None:
        """Send one datagram."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(datagram, (address, port))

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
