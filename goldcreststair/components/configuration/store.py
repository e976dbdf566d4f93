"""Stores the configuration: reads the current version's row and patches it by compare-and-set."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

import orjson
from result import Err, Ok, Result

from goldcreststair.components.configuration.const import (
    EMPTY_DOCUMENT,
    HISTORY_VERSIONS,
    RECENT_PATCHES,
    ROW_CURRENT,
    ROW_HISTORY,
)
from goldcreststair.components.configuration.document import decode_document, merge_patch
from goldcreststair.components.configuration.errors import (
    ConfigurationError,
    DocumentInvalid,
    StoreUnavailable,
    VersionStale,
)
from goldcreststair.components.configuration.models import Configuration
from goldcreststair.store.errors import PlatformError, PlatformOutcomeUnknown, RowConflict
from goldcreststair.store.models import Row, RowWrite
from goldcreststair.store.protocols import TableService


@dataclass(frozen=True, slots=True)
class StoredVersion:
    """One version as stored in the row; the row's own version is the configuration's number."""

    version: int
    document: dict[str, Any]
    patches: Mapping[str, int]
    """Versions that the last patches made, by patch id."""

    def encode(self) -> bytes:
        """Return the value to store in the row."""
        return orjson.dumps({"patches": dict(self.patches), "document": self.document})


@dataclass(frozen=True, slots=True)
class AppliedPatch:
    """Result of a patch that took effect."""

    version: int
    """The version that the patch made; later ones may have followed."""
    current: StoredVersion
    configuration: Configuration
    """The current version, decoded."""


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """The patch that made one version."""

    version: int
    patch_id: str
    patch: Any


def decode_stored(version: int, value: bytes) -> StoredVersion:
    """Decode the version in a row's value."""
    raw = orjson.loads(value)
    return StoredVersion(version, raw["document"], raw["patches"])


def apply_entry(stored: StoredVersion, entry: HistoryEntry) -> StoredVersion:
    """Return the version that results from applying a patch to the version before it."""
    patches = [*stored.patches.items(), (entry.patch_id, entry.version)][-RECENT_PATCHES:]
    document = merge_patch(stored.document, entry.patch)
    return StoredVersion(entry.version, document, dict(patches))


def _decode_row(row: Row | None) -> StoredVersion:
    if row is None:
        return StoredVersion(0, dict(EMPTY_DOCUMENT), {})
    return decode_stored(row.version, row.value)


def _name_history(version: int) -> str:
    return f"{ROW_HISTORY}{version:012d}"


class ConfigurationStore:
    """Reads and patches the current version of the configuration."""

    def __init__(self, table: TableService) -> None:
        """Create a store in the platform's table."""
        self._table = table

    async def async_read(self) -> Result[StoredVersion, ConfigurationError]:
        """Return the current version; version 0 and an empty document if there is none."""
        row = await self._table.async_read(ROW_CURRENT)
        if isinstance(row, Err):
            return Err(StoreUnavailable(row.err_value.message))
        return Ok(_decode_row(row.ok_value))

    async def async_read_history(
        self, after_version: int = 0, limit: int = 100
    ) -> Result[tuple[HistoryEntry, ...], ConfigurationError]:
        """Return the patches that made the versions after `after_version`, oldest first."""
        after = _name_history(after_version)
        rows = await self._table.async_scan(ROW_HISTORY, after, limit)
        if isinstance(rows, Err):
            return Err(StoreUnavailable(rows.err_value.message))
        raws = [(row, orjson.loads(row.value)) for row in rows.ok_value]
        return Ok(
            tuple(
                HistoryEntry(int(row.key.removeprefix(ROW_HISTORY)), raw["patch_id"], raw["patch"])
                for row, raw in raws
            )
        )

    async def async_patch(
        self, base_version: int, patch_id: str, patch: Any
    ) -> Result[AppliedPatch, ConfigurationError]:
        """Apply a merge patch to `base_version`; a repeated patch id is not applied again."""
        read = await self.async_read()
        if isinstance(read, Err):
            return read
        current = read.ok_value
        # Sent again after a lost answer: the patch took effect, perhaps followed by others.
        if patch_id in current.patches:
            return _find_applied(current, patch_id)
        if current.version != base_version:
            return Err(VersionStale(f"current version is {current.version}", current.version))
        prepared = _prepare(current, patch_id, patch)
        if isinstance(prepared, Err):
            return prepared
        stored = prepared.ok_value
        written = await self._table.async_write(_list_writes(stored, patch_id, patch))
        if isinstance(written, Err):
            return await self._async_settle(written.err_value, patch_id)
        return _find_applied(stored, patch_id)

    async def _async_settle(
        self, error: PlatformError, patch_id: str
    ) -> Result[AppliedPatch, ConfigurationError]:
        if isinstance(error, RowConflict):
            # The row is read again: the conflict may be on the history row, which has no version.
            read = await self.async_read()
            version = read.ok_value.version if isinstance(read, Ok) else 0
            if isinstance(read, Ok) and patch_id in read.ok_value.patches:
                return _find_applied(read.ok_value, patch_id)
            return Err(VersionStale(f"current version is {version}", version))
        if not isinstance(error, PlatformOutcomeUnknown):
            return Err(StoreUnavailable(error.message))
        read = await self.async_read()
        if isinstance(read, Ok) and patch_id in read.ok_value.patches:
            return _find_applied(read.ok_value, patch_id)
        return Err(StoreUnavailable(error.message, outcome_known=False))


def _find_applied(stored: StoredVersion, patch_id: str) -> Result[AppliedPatch, ConfigurationError]:
    decoded = decode_document(stored.version, stored.document)
    if isinstance(decoded, Err):
        return decoded
    return Ok(AppliedPatch(stored.patches[patch_id], stored, decoded.ok_value))


def _prepare(
    current: StoredVersion, patch_id: str, patch: Any
) -> Result[StoredVersion, ConfigurationError]:
    """Return the version that a patch makes, after validating it."""
    if not isinstance(patch, Mapping):
        return Err(DocumentInvalid("must be an object", "patch"))
    stored = apply_entry(current, HistoryEntry(current.version + 1, patch_id, patch))
    decoded = decode_document(stored.version, stored.document)
    if isinstance(decoded, Err):
        return decoded
    before = decode_document(current.version, current.document)
    known = before.ok_value.withdrawn if isinstance(before, Ok) else frozenset()
    # A withdrawn key must stay withdrawn, or it would work again on VMs that refused it.
    for key_hash in sorted(known - decoded.ok_value.withdrawn):
        message = "a withdrawn key cannot be taken back"
        return Err(DocumentInvalid(message, f"withdrawn.{key_hash}"))
    return Ok(stored)


def _list_writes(stored: StoredVersion, patch_id: str, patch: Any) -> list[RowWrite]:
    version = stored.version
    entry = orjson.dumps({"patch_id": patch_id, "patch": patch})
    writes = [
        RowWrite(ROW_CURRENT, version - 1, stored.encode()),
        RowWrite(_name_history(version), 0, entry),
    ]
    if version > HISTORY_VERSIONS:
        writes.append(RowWrite(_name_history(version - HISTORY_VERSIONS), 1, None))
    return writes
