"""A wrapper of the store that times every call and records its outcome."""

import time
from collections.abc import Awaitable, Sequence
from typing import TypeVar

from result import Err, Result

from goldcreststair.const import MS_PER_SECOND
from goldcreststair.meters import Meters
from goldcreststair.store.contact import StoreContact
from goldcreststair.store.errors import (
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from goldcreststair.store.rows import (
    Committed,
    HistoryLost,
    ObjectExists,
    RowPage,
    RowRange,
    RowsConflict,
    RowStore,
    Transaction,
)

T = TypeVar("T")
E = TypeVar("E", bound=PlatformError)


class MeteredStore:
    """Implements `RowStore` by forwarding to another one."""

    def __init__(self, store: RowStore, meters: Meters, contact: StoreContact) -> None:
        """Wrap `store`; call times go to `meters`, reachability to `contact`."""
        self._contact = contact
        self._store = store
        self._meters = meters

    async def async_commit(
        self, transaction: Transaction
    ) -> Result[Committed, PlatformError | RowsConflict]:
        """Apply all changes or none."""
        return await self._async_time("commit", self._store.async_commit(transaction))

    async def async_read(self, row_range: RowRange) -> Result[RowPage, PlatformError]:
        """Return rows of one part."""
        return await self._async_time("read", self._store.async_read(row_range))

    async def async_list_parts(
        self, table: str, after: str = ""
    ) -> Result[tuple[Sequence[str], bool], PlatformError]:
        """Return the parts of a table after `after`, and whether there are more."""
        return await self._async_time("parts", self._store.async_list_parts(table, after))

    async def async_follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[RowPage, PlatformError | HistoryLost]:
        """Return what changed after a version; its measured time is mostly the requested wait."""
        return await self._async_time("follow", self._store.async_follow(table, after, wait_ms))

    async def async_put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformError | ObjectExists]:
        """Store an object that does not exist yet."""
        return await self._async_time("put", self._store.async_put_object(name, content))

    async def async_get_object(self, name: str) -> Result[bytes, PlatformError]:
        """Return an object's content."""
        return await self._async_time("get", self._store.async_get_object(name))

    async def async_drop_object(self, name: str) -> Result[None, PlatformError]:
        """Remove an object."""
        return await self._async_time("drop", self._store.async_drop_object(name))

    async def _async_time(self, call: str, work: Awaitable[Result[T, E]]) -> Result[T, E]:
        started_at = time.monotonic()
        outcome = await work
        elapsed_ms = (time.monotonic() - started_at) * MS_PER_SECOND
        self._meters.observe_store(call, _name_outcome(outcome), elapsed_ms)
        error = outcome.err_value if isinstance(outcome, Err) else None
        self._contact.record(
            reached=not isinstance(error, PlatformUnavailable | PlatformOutcomeUnknown)
        )
        return outcome


def _name_outcome(outcome: Result[T, E]) -> str:
    if not isinstance(outcome, Err):
        return "ok"
    error = outcome.err_value
    if isinstance(error, RowsConflict | ObjectExists):
        return "conflict"
    if isinstance(error, PlatformUnavailable):
        return "unavailable"
    return "unknown" if isinstance(error, PlatformOutcomeUnknown) else "error"
