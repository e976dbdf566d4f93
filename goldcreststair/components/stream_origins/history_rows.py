"""Keeps the history of software versions in the platform's store, where it outlives all daemons."""

import asyncio
import logging

from result import Err, Ok, Result

from goldcreststair.components.fleet.models import FLEET
from goldcreststair.components.stream_origins.codec import decode_history, encode_history
from goldcreststair.components.stream_origins.const import (
    READ_TIMEOUT_MS,
    TABLE_SOFTWARE,
    WRITE_RETRY_MS,
    WRITER_GAP_MS,
    WRITERS,
)
from goldcreststair.components.stream_origins.history import SoftwareHistory
from goldcreststair.components.stream_origins.models import VersionRecord
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.rendezvous import score
from goldcreststair.store.errors import PlatformError
from goldcreststair.store.reading import async_read_all
from goldcreststair.store.rows import RowKey, RowRange, RowsConflict, StoredRow, Transaction

_LOGGER = logging.getLogger(__name__)


class HistoryRows:
    """Reads the history of all services, and writes that of a service whose versions changed.

    The first few daemons by rendezvous write, one after the other; each reads the row before, so that
    usually one of them writes.
    """

    def __init__(self, core: GatewayCore, history: SoftwareHistory) -> None:
        """Start with nothing to write."""
        self._core = core
        self._clock = core.clock
        self._store = core.adapter.store
        self._history = history
        self._reading: asyncio.Task[None] | None = None
        self._writing: dict[str, asyncio.Task[None]] = {}
        """Tasks that write, by service."""

    async def async_close(self) -> None:
        """Stop reading and writing."""
        tasks = [*self._writing.values(), *([self._reading] if self._reading else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._writing.clear()

    async def async_read(self) -> None:
        """Apply the stored history of all services, if the store returns it in time."""
        if self._core.store_contact.is_unavailable():
            return
        # Callers come back together: one read serves all of them.
        if self._reading is None or self._reading.done():
            self._reading = asyncio.create_task(self._async_read())
        await asyncio.wait({self._reading}, timeout=READ_TIMEOUT_MS / MS_PER_SECOND)

    async def _async_read(self) -> None:
        read = await async_read_all(self._store, RowRange(TABLE_SOFTWARE))
        if isinstance(read, Err):
            _LOGGER.warning("Software versions not read: %s", read.err_value.message)
            return
        page = read.ok_value
        stored = [(row.key.key, _decode(row)) for row in page.rows]
        self._history.apply_stored(stored, page.now_ms)

    def schedule_write(self, service: str, *, by_all: bool = False) -> None:
        """Write the history of a service, if this daemon is one of those that do.

        With `by_all` the others write as well, after them, if the row still lacks a version.
        """
        sessions = self._core.blackboard.read(FLEET).vms
        ranked = sorted(sessions, key=lambda session: score(session, TABLE_SOFTWARE, service))
        rank = ranked.index(self._core.session_id)
        if rank >= WRITERS and not by_all:
            return
        delay_ms = min(rank, WRITERS) * WRITER_GAP_MS
        before = self._writing.get(service)
        if before is not None:
            before.cancel()
        self._writing[service] = asyncio.create_task(self._async_write_later(service, delay_ms))

    async def _async_write_later(self, service: str, delay_ms: int) -> None:
        await self._clock.async_sleep(delay_ms)
        while isinstance(written := await self._async_write(service), Err):
            if not isinstance(written.err_value, RowsConflict):
                extra = {"service": service, "reason": written.err_value.message}
                _LOGGER.warning("Software versions not written; retrying", extra=extra)
            await self._clock.async_sleep(WRITE_RETRY_MS)

    async def _async_write(self, service: str) -> Result[None, PlatformError]:
        key = RowKey(TABLE_SOFTWARE, "", service)
        read = await self._store.async_read(RowRange(TABLE_SOFTWARE, first=service, limit=1))
        if isinstance(read, Err):
            return read
        page = read.ok_value
        row = next((row for row in page.rows if row.key == key), None)
        stored = _decode(row) if row is not None else []
        self._history.merge_stored(service, stored, page.now_ms)
        records = self._history.list_records(service, page.now_ms)
        if _list_versions(stored) == _list_versions(records):
            return Ok(None)
        version = row.version if row is not None else 0
        transaction = Transaction(((key, encode_history(records)),), (), ((key, version),))
        committed = await self._store.async_commit(transaction)
        if isinstance(committed, Err):
            return committed
        extra = {"service": service, "versions": _list_versions(records)}
        _LOGGER.info("Software versions written", extra=extra)
        return Ok(None)


def _decode(row: StoredRow) -> list[VersionRecord]:
    decoded = decode_history(row.value)
    if isinstance(decoded, Err):
        extra = {"service": row.key.key, "row_version": row.version}
        _LOGGER.warning("Software versions unreadable: %s", decoded.err_value.message, extra=extra)
        return []
    return decoded.ok_value


def _list_versions(records: list[VersionRecord]) -> dict[str, bool]:
    """Return whether each version was listed."""
    return {record.version: record.listed for record in records}
