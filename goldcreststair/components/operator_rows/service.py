"""Follows the operators' table of the store on behalf of several listeners."""

from collections.abc import Sequence
from typing import Final

from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.core import ComponentKey
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.feed import RowListener, TableFeed
from goldcreststair.store.rows import StoredRow, Version


class OperatorRowsService:
    """Implements `FeedListener`; a feed for each listener would multiply the calls of the store."""

    def __init__(self, core: GatewayCore) -> None:
        """Tell nobody yet."""
        self._listeners: list[RowListener] = []
        self._links = core.get(FLEET_LINKS)
        table = core.adapter.catalogue_reader.row.table
        self._feed = TableFeed(core.adapter.store, core.clock, table, self, whole=True)

    async def async_start(self) -> None:
        """Follow."""
        await self._feed.async_start()

    async def async_close(self) -> None:
        """Stop."""
        await self._feed.async_close()

    def add_listener(self, listener: RowListener) -> None:
        """Tell a listener of all rows from now on; listeners are told in the order they were added."""
        self._listeners.append(listener)

    def take_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Take every row of the table as of a version of the store."""
        for listener in self._listeners:
            listener.take_all(rows, version)

    def take_changes(self, rows: Sequence[StoredRow]) -> None:
        """Take rows that changed, in order."""
        for listener in self._listeners:
            listener.take_changes(rows)

    def note_contact(self, *, reached: bool) -> None:
        """Note whether the store answered."""
        if reached:
            self._links.record_store_contact()


OPERATOR_ROWS: Final = ComponentKey[OperatorRowsService]("operator_rows")
