"""The software versions that the upstreams of each service have had of late; no I/O.

A stream whose origin nobody knows can still be continued where only one software version may have
begun it. For this, a daemon must know all versions of the time since the stream began, also of the time
before its own start and while it had no contact with the store.
"""

from collections.abc import Iterable, Sequence
from collections.abc import Set as AbstractSet

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.stream_origins.const import SOFTWARE_FORGET_MS
from goldcreststair.components.stream_origins.models import StreamOrigin, VersionRecord


class SoftwareHistory:
    """Versions by service, with the time at which an upstream of each was last listed."""

    def __init__(self, clock: Clock) -> None:
        """Start without versions."""
        self._clock = clock
        self._listed: frozenset[StreamOrigin] = frozenset()
        self._last_listed: dict[StreamOrigin, Millis] = {}
        """Versions that are no longer listed."""
        self._gap_until: Millis | None = clock.now()
        """End of the last time in which versions may have been missed; None if the stored history
        covers it."""

    def apply_listed(self, listed: AbstractSet[StreamOrigin]) -> frozenset[str]:
        """Apply the versions of the listed upstreams; returns the services whose versions changed."""
        now = self._clock.now()
        before, self._listed = self._listed, frozenset(listed)
        for origin in before - self._listed:
            self._last_listed[origin] = now
        self._last_listed = {
            origin: at
            for origin, at in self._last_listed.items()
            if origin not in self._listed and now - at < SOFTWARE_FORGET_MS
        }
        return frozenset(origin.service for origin in before ^ self._listed)

    def record_gap(self) -> None:
        """Record that versions may have been listed and removed without being seen here until now."""
        self._gap_until = self._clock.now()

    def apply_stored(
        self, stored: Iterable[tuple[str, Sequence[VersionRecord]]], store_now_ms: int
    ) -> None:
        """Apply the stored history of all services, as read at `store_now_ms` on the store's clock."""
        for service, records in stored:
            self.merge_stored(service, records, store_now_ms)
        self._gap_until = None

    def merge_stored(
        self, service: str, records: Sequence[VersionRecord], store_now_ms: int
    ) -> None:
        """Add the stored versions of one service to those seen here."""
        now = self._clock.now()
        for record in records:
            origin = StreamOrigin(service, record.version)
            if origin in self._listed:
                continue
            known = self._last_listed.get(origin)
            if known is None:
                # Nobody may have recorded when the last upstream of a version was removed.
                age_ms = 0 if record.listed else max(0, store_now_ms - record.last_listed_at)
                self._last_listed[origin] = Millis(now - age_ms)

    def has_gap(self, within_ms: int) -> bool:
        """Return whether versions of the last `within_ms` may be missing."""
        return self._gap_until is not None and self._clock.now() - self._gap_until <= within_ms

    def list_origins(self, services: AbstractSet[str], within_ms: int) -> frozenset[StreamOrigin]:
        """Return what may have begun a stream of these services in the last `within_ms`."""
        horizon = self._clock.now() - within_ms
        recent = {origin for origin, at in self._last_listed.items() if at >= horizon}
        return frozenset(o for o in self._listed | recent if o.service in services)

    def find(self, key: int) -> StreamOrigin | None:
        """Return the version that has this key, or None if this daemon has never seen it."""
        known = self._listed | self._last_listed.keys()
        return next((origin for origin in known if origin.key == key), None)

    def list_records(self, service: str, store_now_ms: int) -> list[VersionRecord]:
        """Return what to store of a service, with times on the store's clock."""
        now = self._clock.now()
        records = [
            VersionRecord(origin.software_version, True, store_now_ms)
            for origin in self._listed
            if origin.service == service
        ]
        for origin, at in self._last_listed.items():
            if origin.service == service and now - at < SOFTWARE_FORGET_MS:
                last_listed_at = store_now_ms - (now - at)
                records.append(VersionRecord(origin.software_version, False, last_listed_at))
        return sorted(records, key=lambda record: record.version)
