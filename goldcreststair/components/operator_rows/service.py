"""Subscribes to the operators' table of the store on behalf of several listeners."""

from collections.abc import Sequence
from typing import Final

from goldcreststair.components.fleet.protocols import FLEET_LINKS
from goldcreststair.core import ComponentKey
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.feed import RowListener, TableFeed
from goldcreststair.store.rows import StoredRow, Version


class OperatorRowsService:
    """Implements `FeedListener`; one feed per listener would multiply the calls to the store."""

    def __init__(self, core: GatewayCore) -> None:
        """Create the feed without listeners."""
        self._listeners: list[RowListener] = []
        self._links = core.get(FLEET_LINKS)
        table = core.adapter.catalogue_reader.row.table
        self._feed = TableFeed(core.adapter.store, core.clock, table, self, with_snapshot=True)

    async def async_start(self) -> None:
        """Start the feed."""
        await self._feed.async_start()

    async def async_close(self) -> None:
        """Stop the feed."""
        await self._feed.async_close()

    def add_listener(self, listener: RowListener) -> None:
        """Add a listener for rows received from now on; listeners are called in the order of addition."""
        self._listeners.append(listener)

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Pass on all rows of the table as of a version of the store."""
        for listener in self._listeners:
            listener.replace_all(rows, version)

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Pass on changed rows, in order."""
        for listener in self._listeners:
            listener.apply_changes(rows)

    def record_contact(self, *, reached: bool) -> None:
        """Record whether the store answered."""
        if reached:
            self._links.record_store_contact()


OPERATOR_ROWS: Final = ComponentKey[OperatorRowsService]("operator_rows")
