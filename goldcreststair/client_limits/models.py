"""What is held for the clients of a process."""

import resource
import sys
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from goldcreststair.client_limits.const import (
    CONNECTION_BYTES,
    CONNECTIONS_SHARE,
    FILE_DESCRIPTORS,
    HELD_SHARE,
    JOB_SHARE,
    MIN_CONNECTIONS,
    SMALL_SHARE,
    SOCKETS_KEPT_SHARE,
)
from goldcreststair.clock import Millis
from goldcreststair.helpers.memory import compute_memory_bytes


class CloseCause(StrEnum):
    """Why the connection of a client was closed."""

    MEMORY = "memory"
    """All clients together held too many bytes."""
    CONNECTIONS = "connections"
    """There were too many connections."""
    CHUNKS = "chunks"
    """Too many clients sent bodies in many small chunks, or heads with many fields."""
    FIELDS = "fields"
    """A head had too many fields."""


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on all clients of a process together."""

    held_bytes: int
    """Bytes received and not yet answered, and of answers not yet accepted."""
    large_bytes: int
    """The part of these that clients may hold who hold much; the rest stays free for the others."""
    job_bytes: int
    """Bodies of the items of accepted jobs that this process runs."""
    connections: int
    """Open connections, at all ports."""


def compute_limits(memory_mb: int = 0, descriptors: int = 0) -> ClientLimits:
    """Return the limits of a process that may use `memory_mb`, MB, and so many descriptors.

    Where one is 0, the limit of the machine or of the process holds.

    >>> compute_limits(320, 8_200)
    ClientLimits(held_bytes=67108864, large_bytes=58720256, job_bytes=41943040, connections=2560)
    >>> compute_limits(320, 300).connections
    75
    """
    memory_bytes = compute_memory_bytes(memory_mb)
    held = memory_bytes // HELD_SHARE
    sockets = (descriptors or _read_descriptor_limit()) - FILE_DESCRIPTORS
    connections = min(
        sockets - sockets // SOCKETS_KEPT_SHARE,
        memory_bytes // CONNECTIONS_SHARE // CONNECTION_BYTES,
    )
    return ClientLimits(
        held_bytes=held,
        large_bytes=held - held // SMALL_SHARE,
        job_bytes=memory_bytes // JOB_SHARE,
        connections=max(connections, MIN_CONNECTIONS),
    )


def _read_descriptor_limit() -> int:
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return sys.maxsize if limit == resource.RLIM_INFINITY else limit


class Connection(Protocol):
    """A client's connection, as far as it can be closed."""

    def shed(self, cause: CloseCause) -> None:
        """Refuse the client's request if it can be, and close the connection."""


@dataclass(slots=True, eq=False)
class Holding:
    """What is held for one connection."""

    connection: Connection
    port: str
    """Which of the process's ports the client has connected to."""
    progressed_at: Millis
    """When the client last sent or accepted a byte."""
    received: int = 0
    """Bytes of the client's message, and behind it, that are held."""
    ahead: int = 0
    """Those of them behind a message that is being answered."""
    unsent: int = 0
    """Bytes of answers that the client's connection has not accepted."""
    is_serving: bool = False
    """Whether its message is complete and being answered."""

    @property
    def size(self) -> int:
        """Return the bytes held."""
        return self.received + self.unsent


class ClientReporter(Protocol):
    """Receives counts of closed connections."""

    def count_closed_client(self, cause: CloseCause) -> None:
        """Count a connection that was closed to stay within the limits."""
