"""Keeps the upstreams that may get work, also during store outages; no I/O.

The table of upstreams has other writers, too: an entry of an unknown service, or one that cannot be read, names no
upstream and must not change which others may get work.
"""

from collections import defaultdict
from collections.abc import Collection, Iterable

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.discovery.const import (
    EXPIRY_GRACE_MS,
    OUTAGE_MEMORY_MS,
    RENEWED_MS,
    UNREADABLE_COLD_MS,
)
from goldcreststair.components.discovery.models import LiveUpstreams, UpstreamEntry


class DiscoveryController:
    """Maintains the list of upstreams from the rows of the store."""

    def __init__(self, clock: Clock) -> None:
        """Create a controller without upstreams, for which every service is known."""
        self._clock = clock
        self._services: Collection[str] | None = None
        self._newest: dict[str, UpstreamEntry] = {}
        """The newest readable entry of each name, of any service."""
        self._usable: dict[str, UpstreamEntry] = {}
        """The newest entry of a known service of each name; kept while an unusable one stands in its place."""
        self._renewed_at: dict[str, Millis] = {}
        """When each usable entry was last written, as seen here."""
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

    def set_services(self, services: Collection[str]) -> None:
        """Set the services of the catalogue; entries of others are not used."""
        self._services = frozenset(services)
        for name, entry in self._newest.items():
            if self._is_usable(entry) and self._usable.get(name) != entry:
                self._use(entry)

    def replace_all(
        self, entries: Iterable[UpstreamEntry], unreadable: Collection[str] = ()
    ) -> None:
        """Replace the list by all upstreams in the store; `unreadable` names the rows that are none."""
        found = {entry.name: entry for entry in entries}
        for name in self._newest.keys() - found.keys() - set(unreadable):
            self.remove(name)
        for entry in found.values():
            self.put(entry)
        self._known = True

    def put(self, entry: UpstreamEntry) -> None:
        """Add or update the entry of one upstream."""
        self._newest[entry.name] = entry
        if self._is_usable(entry):
            self._use(entry)

    def has_entry(self, name: str) -> bool:
        """Return whether the store has a readable entry of this name, as far as it was followed."""
        return name in self._newest

    def remove(self, name: str) -> None:
        """Handle the removal of an upstream's entry from the store."""
        self._newest.pop(name, None)
        entry = self._usable.get(name)
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
        live = self._list_live()
        return LiveUpstreams(
            live,
            frozenset(self._expired.keys() & live.keys()),
            self._known,
            {name: until for name, until in self._cold_until.items() if name in live},
        )

    def _is_usable(self, entry: UpstreamEntry) -> bool:
        return self._services is None or entry.service in self._services

    def _use(self, entry: UpstreamEntry) -> None:
        self._expired.pop(entry.name, None)
        self._update_cold(entry)
        self._usable[entry.name] = entry
        self._renewed_at[entry.name] = self._clock.now()

    def _list_live(self) -> dict[str, UpstreamEntry]:
        """Return the usable upstreams, one for each address."""
        usable = {n: entry for n, entry in self._usable.items() if self._is_usable(entry)}
        if len({entry.address for entry in usable.values()}) == len(usable):
            return usable
        by_address: defaultdict[str, list[str]] = defaultdict(list)
        for name, entry in usable.items():
            by_address[entry.address].append(name)
        owners = {address: self._choose_owner(names) for address, names in by_address.items()}
        return {name: entry for name, entry in usable.items() if owners[entry.address] == name}

    def _choose_owner(self, names: list[str]) -> str:
        """Return which of several upstreams has an address.

        It belongs to the one that started last. An upstream that was lost may still be listed when its address has
        been assigned to another one; it does not renew its entry any more, while one that does is there.
        """
        renewed_at = max(self._renewed_at[name] for name in names)
        renewing = [name for name in names if self._renewed_at[name] >= renewed_at - RENEWED_MS]
        return max(renewing, key=lambda n: (self._usable[n].started_ms, self._renewed_at[n], n))

    def _update_cold(self, entry: UpstreamEntry) -> None:
        if entry.cold_ms is None:
            # An unreadable field does not change the known cold state.
            known = self._usable.get(entry.name)
            if known is not None and known.started_ms == entry.started_ms:
                return
        cold_ms = UNREADABLE_COLD_MS if entry.cold_ms is None else entry.cold_ms
        if cold_ms > 0:
            self._cold_until[entry.name] = Millis(self._clock.now() + cold_ms)
        else:
            self._cold_until.pop(entry.name, None)

    def _drop(self, name: str) -> None:
        self._usable.pop(name, None)
        self._renewed_at.pop(name, None)
        self._cold_until.pop(name, None)
        self._expired.pop(name, None)

    def _store_was_away(self) -> bool:
        if self._store_away_since is not None:
            return True
        since_ms = self._clock.now() - (self._store_back_at or 0)
        return self._store_back_at is not None and since_ms <= OUTAGE_MEMORY_MS
