"""Origins of streams."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software that began a stream or an item.

    What two software versions write cannot be joined, so that only upstreams of this one may continue it.
    """

    service: str
    software_version: str
