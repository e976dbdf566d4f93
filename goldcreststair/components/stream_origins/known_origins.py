"""Origins of streams that this daemon and others relay; no I/O."""

from collections.abc import Iterable
from dataclasses import dataclass

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.stream_origins.const import (
    ANNOUNCE_MS,
    MAX_ANNOUNCED,
    MAX_KNOWN,
    ORIGIN_MEMORY_MS,
    RENEW_MS,
)
from goldcreststair.components.stream_origins.models import StreamKey


@dataclass(frozen=True, slots=True)
class _Known:
    origin: int
    """Key of the origin."""
    at: Millis
    """When it was last recorded or announced."""


class KnownOrigins:
    """Origins by stream, and those that this daemon still has to announce."""

    def __init__(self, clock: Clock) -> None:
        """Start without streams."""
        self._clock = clock
        self._known: dict[StreamKey, _Known] = {}
        """In the order in which they were last recorded."""
        self._running: dict[StreamKey, Millis] = {}
        """Streams that this daemon relays, and when each was last announced, the oldest first."""
        self._announced: dict[StreamKey, Millis] = {}
        """Own streams that beacons list, and since when; the oldest first."""

    def record_own(self, stream: StreamKey, origin: int) -> None:
        """Record the origin of a stream that this daemon relays."""
        self._record(stream, origin)
        self._running.pop(stream, None)
        self._running[stream] = self._clock.now()
        self._expire()

    def record_other(self, streams: Iterable[StreamKey], origin: int) -> None:
        """Record the origin of streams that another daemon relays."""
        for stream in streams:
            self._record(stream, origin)
        self._expire()

    def release(self, stream: StreamKey) -> None:
        """Record that this daemon no longer relays a stream; its origin is kept for a while."""
        self._running.pop(stream, None)

    def find(self, stream: StreamKey) -> int | None:
        """Return the key of a stream's origin, or None if it is not known."""
        known = self._known.get(stream)
        return None if known is None else known.origin

    def announce(self, stream: StreamKey) -> None:
        """List a stream in the beacons of the next `ANNOUNCE_MS`."""
        self._announced.setdefault(stream, self._clock.now())

    def announce_all(self) -> None:
        """List all streams that this daemon relays in the next beacons."""
        for stream in self._running:
            self.announce(stream)

    def has_long_stream(self) -> bool:
        """Return whether a stream has run for so long that it is due to be announced again."""
        first = next(iter(self._running.values()), None)
        return first is not None and self._clock.now() - first >= RENEW_MS

    def renew(self) -> None:
        """Announce streams again that have run for long."""
        now = self._clock.now()
        due = []
        for stream, at in self._running.items():
            if now - at < RENEW_MS:
                break
            due.append(stream)
        for stream in due:
            known = self._known.get(stream)
            if known is None:
                del self._running[stream]
                continue
            self.record_own(stream, known.origin)
            self.announce(stream)

    def list_announced(self) -> dict[int, list[StreamKey]]:
        """Return the streams to list in a beacon that is sent now, by the key of their origin."""
        now = self._clock.now()
        listed: dict[int, list[StreamKey]] = {}
        # The youngest are the least known to other daemons.
        for stream in tuple(reversed(self._announced))[:MAX_ANNOUNCED]:
            if stream in self._known:
                listed.setdefault(self._known[stream].origin, []).append(stream)
        for stream in [s for s, at in self._announced.items() if now - at >= ANNOUNCE_MS]:
            del self._announced[stream]
        return listed

    def _expire(self) -> None:
        """Drop the origins that were recorded long ago."""
        horizon = self._clock.now() - ORIGIN_MEMORY_MS
        old: list[StreamKey] = []
        for stream, known in self._known.items():
            if known.at >= horizon and len(self._known) - len(old) <= MAX_KNOWN:
                break
            old.append(stream)
        for stream in old:
            del self._known[stream]

    def _record(self, stream: StreamKey, origin: int) -> None:
        # A stream keeps its origin for good; another one would be a mistake of its sender.
        known = self._known.pop(stream, None)
        kept = origin if known is None else known.origin
        self._known[stream] = _Known(kept, self._clock.now())
