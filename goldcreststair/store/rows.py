"""Rows with conditional transactions and a feed of changes, and objects that are put once."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from result import Result

from goldcreststair.store.errors import PlatformError

Version = int
"""Grows over all rows together with each transaction."""


@dataclass(frozen=True, slots=True, order=True)
class RowKey:
    """Where a row stands; all rows of one transaction share their part."""

    table: str
    part: str
    key: str


@dataclass(frozen=True, slots=True)
class StoredRow:
    """One row as the store holds it."""

    key: RowKey
    value: bytes
    version: int
    """Grows over all rows together; 0 stands for a row that does not exist."""
    deleted: bool = False
    """True only in a feed: the row was removed at this version."""


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are made all or not at all."""

    puts: tuple[tuple[RowKey, bytes], ...] = ()
    deletes: tuple[RowKey, ...] = ()
    conditions: tuple[tuple[RowKey, int], ...] = ()
    """Version that each of these rows must have; 0 if it must not exist."""


@dataclass(frozen=True, slots=True)
class Committed:
    """A transaction that was made."""

    version: int
    """Version of every row that it put."""
    now_ms: int
    """The store's own steady clock."""


@dataclass(frozen=True, slots=True)
class RowPage:
    """Rows as of one moment, by key in ascending byte order."""

    rows: tuple[StoredRow, ...]
    truncated: bool
    version: int
    """The newest version of the store at that moment; a feed may go on from here."""
    now_ms: int
    """The store's own steady clock."""


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
    """A condition did not hold; nothing was written."""

    rows: tuple[StoredRow, ...] = ()
    """The rows under condition that exist, as they stand."""


@dataclass(frozen=True, slots=True)
class HistoryLost(PlatformError):
    """A feed cannot go on from a version so old: read all rows again."""


@dataclass(frozen=True, slots=True)
class ObjectExists(PlatformError):
    """An object of this name is there already; it was not replaced."""


class RowStore(Protocol):
    """A linearisable store that is at times slow, silent or away."""

    async def async_commit(
        self, transaction: Transaction
    ) -> Result[Committed, PlatformError | RowsConflict]:
        """Make all changes or none; with an unknown outcome they may still be made later."""

    async def async_read(self, wanted: RowRange) -> Result[RowPage, PlatformError]:
        """Return rows of one part."""

    async def async_list_parts(
        self, table: str, after: str = ""
    ) -> Result[tuple[Sequence[str], bool], PlatformError]:
        """Return the parts of a table after one, and whether there are more."""

    async def async_follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[RowPage, PlatformError | HistoryLost]:
        """Return what changed after a version, in order; waits for a change up to `wait_ms`."""

    async def async_put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformError | ObjectExists]:
        """Store an object that does not exist yet."""

    async def async_get_object(self, name: str) -> Result[bytes, PlatformError]:
        """Return an object's content, or `ObjectMissing`."""

    async def async_drop_object(self, name: str) -> Result[None, PlatformError]:
        """Remove an object; a missing one is no error."""
