"""Origins of streams and how they are identified between daemons."""

import hashlib
from dataclasses import dataclass

from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.stream_origins.const import STREAM_HASH_BYTES
from goldcreststair.errors import GoldcreststairError


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software that began a stream or an item.

    What two software versions write cannot be joined, so that only upstreams of this one may continue it.
    """

    service: str
    software_version: str

    @property
    def key(self) -> int:
        """Return the hash that stands for it in messages between daemons, a signed 32-bit number."""
        return hash_name(f"{self.service}\0{self.software_version}")


StreamKey = bytes
"""Hash of a stream; the same for all attempts of its caller."""


def make_stream_key(customer: str, host: str, begun_as: str) -> StreamKey:
    """Return the key of a stream by the request id of the attempt that brought its first event.

    Customers choose their request ids, so that two of them may use the same one.

    >>> make_stream_key("a", "h", "1") == make_stream_key("b", "h", "1")
    False
    """
    text = "\0".join((customer, host, begun_as)).encode()
    return hashlib.blake2b(text, digest_size=STREAM_HASH_BYTES).digest()


@dataclass(frozen=True, slots=True)
class VersionRecord:
    """One software version of a service, as the store keeps it."""

    version: str
    listed: bool
    """Whether an upstream of it was listed when the record was written."""
    last_listed_at: int
    """When one was last listed, on the store's clock, ms."""


@dataclass(frozen=True, slots=True)
class OriginUnknown(GoldcreststairError):
    """Neither this daemon nor those that it asked know which software began a stream."""

    is_final: bool = False
    """Whether no other daemon can know it either."""
