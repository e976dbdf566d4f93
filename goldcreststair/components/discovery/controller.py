"""Keeps the upstreams that may get work, also during store outages; no I/O."""

from collections.abc import Iterable

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.discovery.const import (
    EXPIRY_GRACE_MS,
    OUTAGE_MEMORY_MS,
    UNREADABLE_COLD_MS,
)
from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry


class DiscoveryController:
    """Maintains the list of upstreams from the rows of the store."""

    def __init__(self, clock: Clock) -> None:
        """Create a controller without upstreams."""
        self._clock = clock
        self._entries: dict[str, UpstreamEntry] = {}
        self._expired: dict[str, Millis] = {}
        """Time until which an expired entry is kept, by name."""
        self._cold_until: dict[str, Millis] = {}
        self._known = False
        self._store_away_since: Millis | None = None
        self._store_back_at: Millis | None = None

    def record_contact(self, *, reached: bool) -> None:
        """Record whether the store answered."""
        now = self._clock.now()
        if reached and self._store_away_since is not None:
            self._store_away_since, self._store_back_at = None, now
        elif not reached and self._store_away_since is None:
            self._store_away_since = now

    def replace_all(self, entries: Iterable[UpstreamEntry]) -> None:
        """Replace the list by all upstreams in the store."""
        found = {entry.name: entry for entry in entries}
        for name in self._entries.keys() - found.keys():
            self.remove(name)
        for entry in found.values():
            self.put(entry)
        self._known = True

    def put(self, entry: UpstreamEntry) -> None:
        """Add or update the entry of one upstream."""
        self._expired.pop(entry.name, None)
        # An address belongs to the upstream that started last. An upstream that was lost may still
        # be listed when its address has been assigned to another one.
        for name, other in tuple(self._entries.items()):
            if other.address == entry.address and name != entry.name:
                if other.started_ms > entry.started_ms:
                    return
                self._drop(name)
        self._update_cold(entry)
        self._entries[entry.name] = entry

    def remove(self, name: str) -> None:
        """Handle the removal of an upstream's entry from the store."""
        entry = self._entries.get(name)
        if entry is None:
            return
        # No entry can be renewed during a store outage. Without the grace period all upstreams
        # would be dropped afterwards, and every request refused until they have registered again.
        if self._store_was_away() and not entry.draining:
            self._expired.setdefault(name, Millis(self._clock.now() + EXPIRY_GRACE_MS))
        else:
            self._drop(name)

    def has_expired(self) -> bool:
        """Return whether there are expired entries that may be renewed."""
        return bool(self._expired)

    def expire(self) -> None:
        """Drop the upstreams that did not register again after an outage."""
        now = self._clock.now()
        for name in [name for name, until in self._expired.items() if until <= now]:
            self._drop(name)

    def read(self) -> LiveUpstreams:
        """Return the current upstreams."""
        return LiveUpstreams(
            dict(self._entries), frozenset(self._expired), self._known, dict(self._cold_until)
        )

    def _update_cold(self, entry: UpstreamEntry) -> None:
        if entry.cold_ms is None:
            # An unreadable field does not change the known cold state.
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
        self._expired.pop(name, None)

    def _store_was_away(self) -> bool:
        if self._store_away_since is not None:
            return True
        since_ms = self._clock.now() - (self._store_back_at or 0)
        return self._store_back_at is not None and since_ms <= OUTAGE_MEMORY_MS
