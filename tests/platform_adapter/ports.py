"""Ports for servers of tests: no two test processes of a machine are given the same one."""

import errno
import functools
import itertools
import socket
from typing import Final

FIRST_PORT: Final = 20_000
BLOCK_SIZE: Final = 400
BLOCKS: Final = 30
"""All blocks are below the ports that the system assigns to outgoing connections."""

LOCK_NAME: Final = "\0goldcreststair-test-ports-{}"
"""Abstract names are shared by the processes that share ports, and are free again as their process ends."""


class PortBlock:
    """Ports reserved for one process, until it ends."""

    def __init__(self, number: int, lock: socket.socket) -> None:
        """Take over `lock`, which reserves the block with this number."""
        self._lock = lock
        first = FIRST_PORT + number * BLOCK_SIZE
        self._ports = itertools.cycle(range(first, first + BLOCK_SIZE))

    def find_port(self, address: str) -> int:
        """Return the next port that is free at an address; raises `OSError` if none is."""
        for port in itertools.islice(self._ports, BLOCK_SIZE):
            with socket.socket() as probe:
                try:
                    probe.bind((address, port))
                except OSError:
                    continue
            return port
        raise OSError(errno.EADDRINUSE, f"no port of the block is free at {address}")


@functools.cache
def reserve_block() -> PortBlock:
    """Return the block of this process, which no other one has; raises `OSError` if none is left."""
    for number in range(BLOCKS):
        lock = socket.socket(socket.AF_UNIX)
        try:
            lock.bind(LOCK_NAME.format(number))
        except OSError as error:
            lock.close()
            if error.errno != errno.EADDRINUSE:
                raise
            continue
        return PortBlock(number, lock)
    raise OSError(errno.EADDRINUSE, "all blocks of ports are reserved")


def find_port(address: str = "127.0.0.1") -> int:
    """Return a port that is free at an address, and that is given to no other test of this machine."""
    return reserve_block().find_port(address)
