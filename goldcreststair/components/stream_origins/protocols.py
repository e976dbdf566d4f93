"""The interface of stream origins to other components."""

from collections.abc import Set as AbstractSet
from typing import Final, Protocol

from result import Result

from goldcreststair.components.stream_origins.models import OriginUnknown, StreamKey, StreamOrigin
from goldcreststair.core import ComponentKey


class StreamOrigins(Protocol):
    """Records which software began each stream, and finds it for callers that take up a stream."""

    def record(self, stream: StreamKey, origin: StreamOrigin) -> None:
        """Record the origin of a stream that this daemon relays, and announce it to other daemons."""

    def release(self, stream: StreamKey) -> None:
        """Record that this daemon no longer relays a stream."""

    async def async_find(
        self, stream: StreamKey | None, services: AbstractSet[str], request_ms: int
    ) -> Result[StreamOrigin, OriginUnknown]:
        """Return the origin of a stream, asking other daemons if this one does not know it.

        `stream` is None if the caller does not name the stream. `services` are those that its route
        uses, and `request_ms` is the longest time that its caller may have waited since it began.
        """


STREAM_ORIGINS: Final = ComponentKey[StreamOrigins]("stream_origins")
