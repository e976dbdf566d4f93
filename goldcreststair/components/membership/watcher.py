"""Watches session rows in the store, ends expired ones and frees their slots."""

import logging
from collections.abc import Callable

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.membership.const import (
    FULL_SCAN_MS,
    JANITOR_MS,
    PAGE_ROWS,
    ROW_SESSION,
    ROW_SLOT,
    SLOT_GRACE_MS,
    SMALL_FLEET,
    SMALL_WATCH_MS,
    WATCH_MS,
)
from goldcreststair.components.membership.errors import MembershipError
from goldcreststair.components.membership.expiry import ExpiryJudge
from goldcreststair.components.membership.ring import choose_watched, hash_text
from goldcreststair.components.membership.rows import decode_row, name_row
from goldcreststair.components.membership.table import MemberTable, Record
from goldcreststair.core import Core
from goldcreststair.journal import Subject
from goldcreststair.store.errors import RowConflict
from goldcreststair.store.models import Row, RowWrite

_LOGGER = logging.getLogger(__name__)


class Watcher:
    """Reads the rows this VM is to watch; `on_record` takes what they say."""

    def __init__(self, core: Core, table: MemberTable, on_record: Callable[[Record], None]) -> None:
        """Watch nothing yet."""
        self._core = core
        self._table = table
        self._on_record = on_record
        self._judge = ExpiryJudge(2 * WATCH_MS)
        self._scanned_at: Millis | None = None
        self._cleaned_at = core.clock.now()
        self._orphans: dict[tuple[str, bytes], Millis] = {}
        self.answered_at: Millis | None = None
        """When the last successful read began; None before the first."""

    async def async_run(self) -> None:
        """Watch until cancelled."""
        while True:
            small = len(self._table.live) <= SMALL_FLEET
            await self._core.clock.async_sleep(SMALL_WATCH_MS if small else WATCH_MS)
            await self.async_step()

    async def async_step(self) -> Result[None, MembershipError]:
        """Read once."""
        began = self._core.clock.now()
        sessions = self._table.live
        scan_due = self._scanned_at is None or began - self._scanned_at >= FULL_SCAN_MS
        if scan_due or len(sessions) <= SMALL_FLEET:
            stepped = await self._async_scan(sorted(sessions))
        else:
            stepped = await self._async_watch(choose_watched(self._core.session_id, sessions))
        if isinstance(stepped, Err):
            self._judge.note_failure(self._core.clock.now())
            return stepped
        self.answered_at = began
        await self._async_clean(began)
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
        # `known` is from before the scan: a session that registered meanwhile is not missing.
        found = {row.key for row in rows}
        for session_id in known:
            if name_row(session_id) not in found:
                self._end(session_id)
        await self._async_judge(rows)
        return Ok(None)

    async def _async_watch(self, watched: tuple[str, ...]) -> Result[None, MembershipError]:
        keys = [name_row(session_id) for session_id in watched]
        read = await self._core.platform.table.async_read_many(keys)
        if isinstance(read, Err):
            return Err(MembershipError(read.err_value.message))
        for session_id, row in zip(watched, read.ok_value, strict=True):
            if row is None:
                self._end(session_id)
        await self._async_judge([row for row in read.ok_value if row is not None])
        return Ok(None)

    async def _async_judge(self, rows: list[Row]) -> None:
        at = self._core.clock.now()
        for row in rows:
            stored = decode_row(row.value)
            session_id = stored.member.session_id
            if session_id == self._core.session_id:
                continue
            if not self._judge.observe(session_id, stored.beat, at):
                self._on_record(Record(session_id, stored.version, stored.member))
            else:
                await self.async_expire(session_id, row)
        self._judge.keep({row.key.removeprefix(ROW_SESSION) for row in rows})

    async def async_expire(self, session_id: str, row: Row) -> None:
        """End a session whose row has not moved since it was read."""
        # Deleted at the version that was judged: an owner that beats at this moment wins, and one
        # that wakes later finds no row and knows that it has expired.
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

    async def _async_clean(self, now: Millis) -> None:
        """Free slots whose session has gone, if this VM is the first on the ring."""
        first = min(self._table.live, key=hash_text, default="")
        if first != self._core.session_id or now - self._cleaned_at < JANITOR_MS:
            return
        self._cleaned_at = now
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
            # The former holder's limits leases must have run out before another VM gets its share.
            if now - self._orphans[(row.key, row.value)] >= SLOT_GRACE_MS:
                write = RowWrite(row.key, row.version, None)
                await self._core.platform.table.async_write([write])
