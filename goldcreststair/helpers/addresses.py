"""Addresses that other writers put into shared rows."""

from ipaddress import AddressValueError, IPv4Address
from typing import Final

MAX_PORT: Final = 65_535
MAX_PORT_DIGITS: Final = 5


def normalise_address(address: str) -> str | None:
    """Return IP:PORT in its usual form, or None if nothing can listen there.

    >>> normalise_address("10.1.0.9:8080"), normalise_address("10.1.0.9:0080")
    ('10.1.0.9:8080', '10.1.0.9:80')
    >>> [normalise_address(each) for each in ("10.1.0.9:65536", "10.1.0.9", "10.1.0.9 :80", "host:80")]
    [None, None, None, None]
    """
    host, _, port = address.rpartition(":")
    if not (port.isascii() and port.isdigit()) or len(port) > MAX_PORT_DIGITS:
        return None
    if not is_ip_address(host) or not is_port(int(port)):
        return None
    return f"{host}:{int(port)}"


def is_ip_address(host: str) -> bool:
    """Return whether a text is an IPv4 address in its usual form."""
    try:
        return str(IPv4Address(host)) == host
    except AddressValueError:
        return False


def is_port(port: int) -> bool:
    """Return whether a connection to a port can be opened."""
    return 0 < port <= MAX_PORT
