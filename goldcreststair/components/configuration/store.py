"""The current version's row: read, and patched by compare-and-set."""

from dataclasses import dataclass
from typing import Any

import orjson
from result import Err, Ok, Result

from goldcreststair.components.configuration.const import EMPTY_DOCUMENT, ROW_CURRENT
from goldcreststair.components.configuration.document import decode_document, merge_patch
from goldcreststair.components.configuration.errors import (
    ConfigurationError,
    StoreUnavailable,
    VersionStale,
)
from goldcreststair.components.configuration.models import Configuration
from goldcreststair.platform.errors import PlatformOutcomeUnknown, RowConflict
from goldcreststair.platform.models import Row, RowWrite
from goldcreststair.platform.protocols import TableService


@dataclass(frozen=True, slots=True)
class StoredVersion:
    """One version as the row holds it; the row's own version is the configuration's number."""

    version: int
    patch_id: str
    document: dict[str, Any]


def _decode_row(row: Row | None) -> StoredVersion:
    if row is None:
        return StoredVersion(0, "", dict(EMPTY_DOCUMENT))
    raw = orjson.loads(row.value)
    return StoredVersion(row.version, raw["patch_id"], raw["document"])


class ConfigurationStore:
    """Reads and patches the current version."""

    def __init__(self, table: TableService) -> None:
        """Use the platform's table."""
        self._table = table

    async def async_read(self) -> Result[StoredVersion, ConfigurationError]:
        """Return the current version; version 0 and an empty document if there is none."""
        row = await self._table.async_read(ROW_CURRENT)
        if isinstance(row, Err):
            return Err(StoreUnavailable(row.err_value.message))
        return Ok(_decode_row(row.ok_value))

    async def async_patch(
        self, base_version: int, patch_id: str, patch: Any
    ) -> Result[Configuration, ConfigurationError]:
        """Apply a merge patch to `base_version`; the same patch id again is not applied twice."""
        read = await self.async_read()
        if isinstance(read, Err):
            return read
        current = read.ok_value
        if current.patch_id == patch_id and current.version == base_version + 1:
            return decode_document(current.version, current.document)
        if current.version != base_version:
            return Err(VersionStale(f"current version is {current.version}", current.version))
        document = merge_patch(current.document, patch)
        decoded = decode_document(base_version + 1, document)
        if isinstance(decoded, Err):
            return decoded
        value = orjson.dumps({"patch_id": patch_id, "document": document})
        written = await self._table.async_write([RowWrite(ROW_CURRENT, base_version, value)])
        if not isinstance(written, Err):
            return decoded
        error = written.err_value
        if isinstance(error, RowConflict):
            version = error.current.version if error.current else 0
            return Err(VersionStale(f"current version is {version}", version))
        known = not isinstance(error, PlatformOutcomeUnknown)
        return Err(StoreUnavailable(error.message, known))
