"""Which upstreams may get work, through outages of the store; no I/O."""

from collections.abc import Iterable

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.discovery.const import (
    EXPIRY_GRACE_MS,
    OUTAGE_MEMORY_MS,
    UNREADABLE_COLD_MS,
)
from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry


class DiscoveryController:
    """Keeps the list of upstreams from the store's rows."""

    def __init__(self, clock: Clock) -> None:
        """Know no upstream."""
        self._clock = clock
        self._entries: dict[str, UpstreamEntry] = {}
        self._lapsed: dict[str, Millis] = {}
        """Name to the time until which an entry that ran out is kept."""
        self._cold_until: dict[str, Millis] = {}
        self._known = False
        self._away_since: Millis | None = None
        self._back_at: Millis | None = None

    def record_contact(self, *, reached: bool) -> None:
        """Note whether the store answered."""
        now = self._clock.now()
        if reached and self._away_since is not None:
            self._away_since, self._back_at = None, now
        elif not reached and self._away_since is None:
            self._away_since = now

    def replace_all(self, entries: Iterable[UpstreamEntry]) -> None:
        """Take every upstream in the store."""
        found = {entry.name: entry for entry in entries}
        for name in self._entries.keys() - found.keys():
            self.remove(name)
        for entry in found.values():
            self.put(entry)
        self._known = True

    def put(self, entry: UpstreamEntry) -> None:
        """Take what one upstream says of itself."""
        self._lapsed.pop(entry.name, None)
        # An address belongs to the upstream that started last: one that ended in silence may
        # still be listed when its address has gone to another.
        for name, other in tuple(self._entries.items()):
            if other.address == entry.address and name != entry.name:
                if other.started_ms > entry.started_ms:
                    return
                self._drop(name)
        self._note_cold(entry)
        self._entries[entry.name] = entry

    def remove(self, name: str) -> None:
        """Take it that an upstream's entry is gone."""
        entry = self._entries.get(name)
        if entry is None:
            return
        # While the store was away nobody could renew an entry: all upstreams would seem gone at
        # its return, and every request be refused until they have registered again.
        if self._was_away() and not entry.draining:
            self._lapsed.setdefault(name, Millis(self._clock.now() + EXPIRY_GRACE_MS))
        else:
            self._drop(name)

    def has_expired(self) -> bool:
        """Return whether an entry ran out that may come back."""
        return bool(self._lapsed)

    def expire(self) -> None:
        """Drop the upstreams that did not come back after an outage."""
        now = self._clock.now()
        for name in [name for name, until in self._lapsed.items() if until <= now]:
            self._drop(name)

    def read(self) -> LiveUpstreams:
        """Return the upstreams as they stand."""
        return LiveUpstreams(
            dict(self._entries), frozenset(self._lapsed), self._known, dict(self._cold_until)
        )

    def _note_cold(self, entry: UpstreamEntry) -> None:
        if entry.cold_ms is None:
            # What was known of it holds: neither opened nor shut by a field that cannot be read.
            known = self._entries.get(entry.name)
            if known is not None and known.started_ms == entry.started_ms:
                return
        cold_ms = UNREADABLE_COLD_MS if entry.cold_ms is None else entry.cold_ms
        if cold_ms > 0:
            self._cold_until[entry.name] = Millis(self._clock.now() + cold_ms)
        else:
            self._cold_until.pop(entry.name, None)

    def _drop(self, name: str) -> None:
        self._entries.pop(name, None)
        self._cold_until.pop(name, None)
        self._lapsed.pop(name, None)

    def _was_away(self) -> bool:
        if self._away_since is not None:
            return True
        since_ms = self._clock.now() - (self._back_at or 0)
        return self._back_at is not None and since_ms <= OUTAGE_MEMORY_MS
