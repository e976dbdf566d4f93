"""Follows the changes of one table; recovers from outages of the store and from compacted history."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Final, Protocol

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.store.errors import PlatformError
from goldcreststair.store.reading import async_read_ranges
from goldcreststair.store.rows import (
    HistoryLost,
    RowPage,
    RowRange,
    RowStore,
    StoredRow,
    Version,
)

_LOGGER = logging.getLogger(__name__)

FEED_WAIT_MS: Final = 2_500
"""Longest wait of one call for changes. A connection may go silent for good: the wait is short, so that
a silent feed is detected and replaced before a draining upstream or a new catalogue has to be known."""
PROBE_WAIT_MS: Final = 50
"""Wait for changes in the first call after a failure."""
CATCH_UP_WAIT_MS: Final = 1
"""Wait for changes in a call that only asks what has changed by now."""
RETRY_MIN_MS: Final = 100
RETRY_MAX_MS: Final = 500
"""Longest delay between retries while the store is unavailable; bounds how late missed changes arrive
once it is back."""
PAGE_ROWS: Final = 500


class RowListener(Protocol):
    """Receives the rows of a table."""

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Replace the known rows by every row of the table, as of a version of the store.

        A feed without a snapshot passes no rows; the listener then has to assume that it missed changes.
        """

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Apply rows that changed, in order; removed rows are marked as deleted."""


class FeedListener(RowListener, Protocol):
    """Receives a table's rows and the outcomes of the feed's calls."""

    def record_contact(self, *, reached: bool) -> None:
        """Record whether the store answered a call of the feed."""


class TableFeed:
    """Reads all rows of a table, then follows its changes."""

    def __init__(
        self,
        store: RowStore,
        clock: Clock,
        table: str,
        listener: FeedListener,
        *,
        with_snapshot: bool,
        read_pause_ms: Callable[[], int] = lambda: 0,
        parts: Sequence[str] = ("",),
    ) -> None:
        """Prepare a feed of `table`; without `with_snapshot`, it delivers only changes from now on.

        After each delivery the feed waits for the ms that `read_pause_ms` returns, so that changes within
        that time arrive together. `parts` are the parts of the table that hold its rows.
        """
        self._parts = parts
        self._read_pause_ms = read_pause_ms
        self._store = store
        self._clock = clock
        self._table = table
        self._listener = listener
        self._with_snapshot = with_snapshot
        self._version = -1
        self._failing_since: Millis | None = None
        self._complete_at = Millis(0)
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Start following the table."""
        self._task = asyncio.create_task(self._async_follow())

    async def async_close(self) -> None:
        """Stop following the table; safe to call twice."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    def read_complete_at(self) -> Millis:
        """Return the time up to which all changes have certainly been delivered.

        It is when the last call with an answer was sent: its answer may have waited in a socket.
        """
        return self._complete_at

    async def async_catch_up(self) -> bool:
        """Deliver all changes until now beside the call that waits; returns whether the store answered."""
        if self._version < 0:
            return False
        sent_at = self._clock.now()
        followed = await self._store.async_follow(self._table, self._version, CATCH_UP_WAIT_MS)
        if isinstance(followed, Err):
            return False
        self._deliver(followed.ok_value, sent_at)
        return True

    async def _async_follow(self) -> None:
        failures = 0
        while True:
            outcome = await (
                self._async_read_snapshot() if self._version < 0 else self._async_read_changes()
            )
            if isinstance(outcome, Ok):
                failures = 0
                self._record_contact(reached=True)
                continue
            if isinstance(outcome.err_value, HistoryLost):
                _LOGGER.info(
                    "Change history compacted; reading all rows", extra={"table": self._table}
                )
                self._version = -1
                continue
            failures += 1
            self._record_contact(reached=False, reason=outcome.err_value.message)
            pause_ms = min(RETRY_MAX_MS, RETRY_MIN_MS << min(failures, 4))
            await self._clock.async_sleep(pause_ms)

    async def _async_read_changes(self) -> Result[None, PlatformError]:
        # After a failure a call with a short wait shows whether the store is back; with the full wait
        # the recovery would be noticed only seconds later.
        wait_ms = FEED_WAIT_MS if self._failing_since is None else PROBE_WAIT_MS
        sent_at = self._clock.now()
        followed = await self._store.async_follow(self._table, self._version, wait_ms)
        if isinstance(followed, Err):
            return followed
        if self._deliver(followed.ok_value, sent_at):
            await self._clock.async_sleep(self._read_pause_ms())
        return Ok(None)

    def _deliver(self, page: RowPage, sent_at: Millis) -> bool:
        """Deliver the changes of a page that are new, and return whether there are any."""
        # A call that waits and one that catches up return the same changes, in either order.
        rows = [row for row in page.rows if row.version > self._version]
        self._version = max(self._version, page.version)
        if rows:
            self._listener.apply_changes(rows)
        self._complete_at = max(self._complete_at, sent_at)
        return bool(rows)

    async def _async_read_snapshot(self) -> Result[None, PlatformError]:
        sent_at = self._clock.now()
        if self._with_snapshot:
            ranges = [RowRange(self._table, part, limit=PAGE_ROWS) for part in self._parts]
            read = await async_read_ranges(self._store, ranges)
        else:
            read = await self._store.async_read(RowRange(self._table, limit=1))
        if isinstance(read, Err):
            return read
        # The feed continues from the first page's version: rows that changed while later pages were
        # read are delivered again, which is harmless.
        self._version = read.ok_value.version
        rows = read.ok_value.rows if self._with_snapshot else ()
        self._listener.replace_all(rows, self._version)
        self._complete_at = max(self._complete_at, sent_at)
        return Ok(None)

    def _record_contact(self, *, reached: bool, reason: str = "") -> None:
        self._listener.record_contact(reached=reached)
        if reached and self._failing_since is not None:
            lost_ms = self._clock.now() - self._failing_since
            _LOGGER.info("Store regained", extra={"table": self._table, "lost_ms": lost_ms})
            self._failing_since = None
        elif not reached and self._failing_since is None:
            _LOGGER.warning("Store lost", extra={"table": self._table, "reason": reason})
            self._failing_since = self._clock.now()
