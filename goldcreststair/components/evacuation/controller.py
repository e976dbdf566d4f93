"""Keeps the evacuated data centres as reported by the store and other daemons; no I/O."""

import logging
from collections.abc import Sequence

from result import Err

from goldcreststair.components.evacuation.models import Evacuations
from goldcreststair.components.evacuation.protocols import EvacuationReader
from goldcreststair.store.rows import RowKey, StoredRow, Version

_LOGGER = logging.getLogger(__name__)


class EvacuationController:
    """Merges the evacuations from both sources; the one with the newer store version wins."""

    def __init__(self, reader: EvacuationReader) -> None:
        """Create a controller without evacuations."""
        self._reader = reader
        self._current = Evacuations()
        self._unreadable: set[RowKey] = set()
        """Rows that have been logged as unreadable."""

    def read(self) -> Evacuations:
        """Return the evacuations in force."""
        return self._current

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Replace the evacuations by those in all rows of a store version."""
        if version < self._current.version:
            return
        named = (self._decode(row.key) for row in rows)
        data_centres = frozenset(name for name in named if name is not None)
        if data_centres != self._current.data_centres:
            self._current = Evacuations(version, data_centres)

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Apply changed rows, in order."""
        for row in rows:
            name = self._decode(row.key)
            # The state received from another daemon may be newer than this feed.
            if name is None or row.version <= self._current.version:
                continue
            before = self._current.data_centres
            after = before - {name} if row.deleted else before | {name}
            self._current = Evacuations(row.version, after)

    def apply_peer_state(self, reported: Evacuations) -> None:
        """Apply the evacuations that another daemon reports, if they are newer."""
        if reported.version > self._current.version:
            self._current = reported

    def _decode(self, key: RowKey) -> str | None:
        if not self._reader.is_evacuation(key):
            return None
        decoded = self._reader.decode(key)
        if isinstance(decoded, Err):
            if key not in self._unreadable:
                self._unreadable.add(key)
                error = decoded.err_value
                extra = {"row": key.key, "field": error.field}
                _LOGGER.warning("Evacuation unreadable: %s", error.message, extra=extra)
            return None
        return decoded.ok_value
