"""Follows the changes of one table, through outages and lost history."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import Final, Protocol

from result import Err, Ok, Result

from goldcreststair.clock import Clock, Millis
from goldcreststair.store.errors import PlatformError
from goldcreststair.store.reading import async_read_ranges
from goldcreststair.store.rows import HistoryLost, RowRange, RowStore, StoredRow, Version

_LOGGER = logging.getLogger(__name__)

FEED_WAIT_MS: Final = 2_500
"""A connection may go silent for good: the wait is short, so that a silent feed is noticed and
replaced before a leaving upstream or a new catalogue must be known."""
PROBE_WAIT_MS: Final = 50
"""The wait of the first call after a failure."""
RETRY_MIN_MS: Final = 100
RETRY_MAX_MS: Final = 500
"""Longest pause between tries while the store is away; what it missed is then known soon after."""
PAGE_ROWS: Final = 500


class RowListener(Protocol):
    """Takes the rows of a table."""

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Take every row of the table as of a version of the store.

        Of a feed that is not whole, take it that changes were missed.
        """

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Take rows that changed, in order."""


class FeedListener(RowListener, Protocol):
    """Takes what a feed brings."""

    def record_contact(self, *, reached: bool) -> None:
        """Note whether the store answered."""


class TableFeed:
    """Reads a table whole, then follows it."""

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
        """Follow `table`; without `with_snapshot`, only what changes from now on is brought.

        Changes that come within `read_pause_ms` of others are brought together. All rows stand in `parts`.
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
        self._task: asyncio.Task[None] | None = None

    async def async_start(self) -> None:
        """Begin to follow."""
        self._task = asyncio.create_task(self._async_follow())

    async def async_close(self) -> None:
        """Stop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None

    async def _async_follow(self) -> None:
        failures = 0
        while True:
            outcome = await (self._async_read_all() if self._version < 0 else self._async_step())
            if isinstance(outcome, Ok):
                failures = 0
                self._note(reached=True)
                continue
            if isinstance(outcome.err_value, HistoryLost):
                _LOGGER.info("History lost, reading all", extra={"table": self._table})
                self._version = -1
                continue
            failures += 1
            self._note(reached=False, why=outcome.err_value.message)
            pause_ms = min(RETRY_MAX_MS, RETRY_MIN_MS << min(failures, 4))
            await self._clock.async_sleep(pause_ms)

    async def _async_step(self) -> Result[None, PlatformError]:
        # After a failure one short wait shows whether the store is back; a full one would keep the
        # news for seconds.
        wait_ms = FEED_WAIT_MS if self._failing_since is None else PROBE_WAIT_MS
        followed = await self._store.async_follow(self._table, self._version, wait_ms)
        if isinstance(followed, Err):
            return followed
        page = followed.ok_value
        self._version = max(self._version, page.version)
        if page.rows:
            self._listener.apply_changes(page.rows)
            await self._clock.async_sleep(self._read_pause_ms())
        return Ok(None)

    async def _async_read_all(self) -> Result[None, PlatformError]:
        if self._with_snapshot:
            ranges = [RowRange(self._table, part, limit=PAGE_ROWS) for part in self._parts]
            read = await async_read_ranges(self._store, ranges)
        else:
            read = await self._store.async_read(RowRange(self._table, limit=1))
        if isinstance(read, Err):
            return read
        # The feed goes on from the first page's moment: what changed while the others were read
        # comes again, which does no harm.
        self._version = read.ok_value.version
        rows = read.ok_value.rows if self._with_snapshot else ()
        self._listener.replace_all(rows, self._version)
        return Ok(None)

    def _note(self, *, reached: bool, why: str = "") -> None:
        self._listener.record_contact(reached=reached)
        if reached and self._failing_since is not None:
            lost_ms = self._clock.now() - self._failing_since
            _LOGGER.info("Store regained", extra={"table": self._table, "lost_ms": lost_ms})
            self._failing_since = None
        elif not reached and self._failing_since is None:
            _LOGGER.warning("Store lost", extra={"table": self._table, "reason": why})
            self._failing_since = self._clock.now()
