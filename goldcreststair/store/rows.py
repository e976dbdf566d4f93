"""Interface of the row store: conditional transactions, a feed of changes, and write-once objects."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Result

from goldcreststair.store.errors import PlatformError

Version = int
"""Increases with each transaction; one sequence for all rows of the store."""


@dataclass(frozen=True, slots=True, order=True)
class RowKey:
    """Identifies a row; all rows of one transaction have the same part."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One row as the store holds it."""

    key: RowKey
    value: bytes
    version: int
    """Version of the transaction that changed it, in one sequence for all rows; 0 if there is no row."""
    deleted: bool = False
    """True only in a feed: the row was removed at this version."""


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are applied all or not at all."""

    puts: tuple[tuple[RowKey, bytes], ...] = ()
    deletes: tuple[RowKey, ...] = ()
    conditions: tuple[tuple[RowKey, int], ...] = ()
    """Version that each of these rows must have; 0 if the row must not exist."""


@dataclass(frozen=True, slots=True)
class Committed:
    """The result of a transaction that was applied."""

    version: int
    """Version of every row that it put."""
    now_ms: int
    """Time of the store's own monotonic clock, ms."""


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows as of one version of the store, by key in ascending byte order."""

    rows: tuple[StoredRow, ...]
    truncated: bool
    version: int
    """The store's newest version at that time; a feed may continue from here."""
    now_ms: int
    """Time of the store's own monotonic clock, ms."""


@dataclass(frozen=True, slots=True)
class RowRange:
    """Which rows of one part to read."""

    table: str
    part: str = ""
    first: str = ""
    """Lowest key."""
    end: str = ""
    """Key before which the range ends; empty for no end."""
    limit: int = 500


@dataclass(frozen=True, slots=True)
class RowsConflict(PlatformError):
    """A condition of a transaction did not hold; nothing was written."""

    rows: tuple[StoredRow, ...] = ()
    """Current state of those rows named in the conditions that exist."""


@dataclass(frozen=True, slots=True)
class HistoryLost(PlatformError):
    """The store no longer has the changes since a version: all rows have to be read again."""


@dataclass(frozen=True, slots=True)
class ObjectExists(PlatformError):
    """An object of this name exists already; it was not replaced."""


class RowStore(Protocol):
    """A linearisable store that may at times be slow, silent or unavailable."""

    async def async_commit(
        self, transaction: Transaction
    ) -> Result[Committed, PlatformError | RowsConflict]:
        """Apply all changes or none; after an unknown outcome they may still be applied later."""

    async def async_read(self, row_range: RowRange) -> Result[RowPage, PlatformError]:
        """Return rows of one part."""

    async def async_list_parts(
        self, table: str, after: str = ""
    ) -> Result[tuple[Sequence[str], bool], PlatformError]:
        """Return the parts of a table after `after`, and whether there are more."""

    async def async_follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[RowPage, PlatformError | HistoryLost]:
        """Return what changed after version `after`, in order; waits up to `wait_ms` for a change."""

    async def async_put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformError | ObjectExists]:
        """Store an object that does not exist yet."""

    async def async_get_object(self, name: str) -> Result[bytes, PlatformError]:
        """Return an object's content, or `ObjectMissing`."""

    async def async_drop_object(self, name: str) -> Result[None, PlatformError]:
        """Remove an object; a missing one is no error."""
