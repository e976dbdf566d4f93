"""Watches session rows in the store, ends expired sessions and frees their slots."""

import logging
from collections.abc import Callable

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.membership.const import (
    FULL_SCAN_MS,
    PAGE_ROWS,
    ROW_SESSION,
    ROW_SLOT,
    SLOT_CLEANUP_MS,
    SLOT_GRACE_MS,
    SMALL_FLEET,
    SMALL_WATCH_MS,
    WATCH_MS,
)
from goldcreststair.components.membership.errors import MembershipError
from goldcreststair.components.membership.expiry import ExpiryTracker
from goldcreststair.components.membership.ring import choose_watched, hash_text
from goldcreststair.components.membership.rows import decode_row, name_row
from goldcreststair.components.membership.table import MemberTable, Record
from goldcreststair.core import Core
from goldcreststair.journal import Subject
from goldcreststair.store.errors import RowConflict
from goldcreststair.store.models import Row, RowWrite

_LOGGER = logging.getLogger(__name__)


class Watcher:
    """Reads the session rows that this VM watches and calls `on_record` with their records."""

    def __init__(self, core: Core, table: MemberTable, on_record: Callable[[Record], None]) -> None:
        """Create the watcher; it reads nothing until it runs."""
        self._core = core
        self._table = table
        self._on_record = on_record
        self._expiry_tracker = ExpiryTracker(2 * WATCH_MS)
        self._scanned_at: Millis | None = None
        self._slots_cleaned_at = core.clock.now()
        self._orphans: dict[tuple[str, bytes], Millis] = {}
        self.store_read_at: Millis | None = None
        """Start of the last successful read; None before the first."""

    async def async_run(self) -> None:
        """Watch until cancelled."""
        while True:
            small = len(self._table.live) <= SMALL_FLEET
            await self._core.clock.async_sleep(SMALL_WATCH_MS if small else WATCH_MS)
            await self.async_step()

    async def async_step(self) -> Result[None, MembershipError]:
        """Read the watched rows once and end expired sessions."""
        began = self._core.clock.now()
        sessions = self._table.live
        scan_due = self._scanned_at is None or began - self._scanned_at >= FULL_SCAN_MS
        if scan_due or len(sessions) <= SMALL_FLEET:
            stepped = await self._async_scan(sorted(sessions))
        else:
            stepped = await self._async_watch(choose_watched(self._core.session_id, sessions))
        if isinstance(stepped, Err):
            self._expiry_tracker.record_failure(self._core.clock.now())
            return stepped
        self.store_read_at = began
        await self._async_clean_slots(began)
        return Ok(None)

    async def _async_scan(self, known: list[str]) -> Result[None, MembershipError]:
        rows: list[Row] = []
        after = ""
        while True:
            page = await self._core.platform.table.async_scan(ROW_SESSION, after, PAGE_ROWS)
            if isinstance(page, Err):
                return Err(MembershipError(page.err_value.message))
            rows += page.ok_value
            if len(page.ok_value) < PAGE_ROWS:
                break
            after = page.ok_value[-1].key
        self._scanned_at = self._core.clock.now()
        # `known` was read before the scan, so that a session that registered during it is not
        # considered missing.
        found = {row.key for row in rows}
        for session_id in known:
            if name_row(session_id) not in found:
                self._end(session_id)
        await self._async_evaluate(rows)
        return Ok(None)

    async def _async_watch(self, watched: tuple[str, ...]) -> Result[None, MembershipError]:
        keys = [name_row(session_id) for session_id in watched]
        read = await self._core.platform.table.async_read_many(keys)
        if isinstance(read, Err):
            return Err(MembershipError(read.err_value.message))
        for session_id, row in zip(watched, read.ok_value, strict=True):
            if row is None:
                self._end(session_id)
        await self._async_evaluate([row for row in read.ok_value if row is not None])
        return Ok(None)

    async def _async_evaluate(self, rows: list[Row]) -> None:
        at = self._core.clock.now()
        for row in rows:
            stored = decode_row(row.value)
            session_id = stored.member.session_id
            if session_id == self._core.session_id:
                continue
            if not self._expiry_tracker.observe(session_id, stored.heartbeat, at):
                self._on_record(Record(session_id, stored.version, stored.member))
            else:
                await self.async_expire(session_id, row)
        self._expiry_tracker.keep({row.key.removeprefix(ROW_SESSION) for row in rows})

    async def async_expire(self, session_id: str, row: Row) -> None:
        """End a session if its row has not changed since it was read."""
        # The row is deleted at the version that was read. If its owner writes a heartbeat at the
        # same time, the delete fails; an owner that resumes later finds no row and so learns that
        # its session has expired.
        write = RowWrite(row.key, row.version, None)
        deleted = await self._core.platform.table.async_write([write])
        if isinstance(deleted, Ok):
            _LOGGER.info("Session %s has expired", session_id)
            address = decode_row(row.value).member.address
            reason = "its row did not move while this VM could read it"
            self._core.journal.record(Subject.VM, address, "expire", reason, session=session_id)
            self._end(session_id)
        elif isinstance(deleted.err_value, RowConflict) and deleted.err_value.current is None:
            self._end(session_id)

    def _end(self, session_id: str) -> None:
        self._on_record(Record(session_id, 0, None))

    async def _async_clean_slots(self, now: Millis) -> None:
        """Free the slots of ended sessions, if this VM is the first one on the hash ring."""
        first = min(self._table.live, key=hash_text, default="")
        if first != self._core.session_id or now - self._slots_cleaned_at < SLOT_CLEANUP_MS:
            return
        self._slots_cleaned_at = now
        table = self._core.platform.table
        slots = await table.async_scan(ROW_SLOT, limit=PAGE_ROWS)
        if isinstance(slots, Err):
            return
        sessions = await table.async_read_many(
            [name_row(row.value.decode()) for row in slots.ok_value]
        )
        if isinstance(sessions, Err):
            return
        pairs = zip(slots.ok_value, sessions.ok_value, strict=True)
        await self._async_free([slot for slot, session in pairs if session is None], now)

    async def _async_free(self, orphans: list[Row], now: Millis) -> None:
        since = {(row.key, row.value): now for row in orphans}
        self._orphans = {key: self._orphans.get(key, at) for key, at in since.items()}
        for row in orphans:
            # The limit leases of the former holder must have expired before another VM gets its
            # share.
            if now - self._orphans[(row.key, row.value)] >= SLOT_GRACE_MS:
                write = RowWrite(row.key, row.version, None)
                await self._core.platform.table.async_write([write])
