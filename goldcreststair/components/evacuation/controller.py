"""Keeps which data centres are evacuated, from the store and from other daemons; no I/O."""

import logging
from collections.abc import Sequence

from result import Err

from goldcreststair.components.evacuation.models import Evacuations
from goldcreststair.components.evacuation.protocols import EvacuationReader
from goldcreststair.store.rows import RowKey, StoredRow, Version

_LOGGER = logging.getLogger(__name__)


class EvacuationController:
    """Whichever source is newer holds, by the version of the store that it speaks of."""

    def __init__(self, reader: EvacuationReader) -> None:
        """Know of no evacuation."""
        self._reader = reader
        self._current = Evacuations()
        self._unreadable: set[RowKey] = set()
        """Rows that were logged."""

    def read(self) -> Evacuations:
        """Return the evacuations in force."""
        return self._current

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Take every row of the operators' table as of a version of the store."""
        if version < self._current.version:
            return
        named = (self._decode(row.key) for row in rows)
        data_centres = frozenset(name for name in named if name is not None)
        if data_centres != self._current.data_centres:
            self._current = Evacuations(version, data_centres)

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Take rows that changed, in order."""
        for row in rows:
            name = self._decode(row.key)
            # Another daemon's word may have brought more than this feed has by now.
            if name is None or row.version <= self._current.version:
                continue
            before = self._current.data_centres
            after = before - {name} if row.deleted else before | {name}
            self._current = Evacuations(row.version, after)

    def take_word(self, told: Evacuations) -> None:
        """Take what another daemon knows."""
        if told.version > self._current.version:
            self._current = told

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
