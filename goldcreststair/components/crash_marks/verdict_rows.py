"""Keeps verdicts in the platform's store, where they outlive all daemons."""

import asyncio
import logging
from collections.abc import Callable

import orjson
from result import Err, Ok, Result

from goldcreststair.components.crash_marks.const import (
    READ_RETRY_MS,
    TABLE,
    WRITER_GAP_MS,
    WRITERS,
)
from goldcreststair.components.fleet.models import FLEET
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.helpers.crash_evidence import Suspects
from goldcreststair.helpers.crash_verdicts import VERDICT_MS, decode_verdict, encode_verdict
from goldcreststair.helpers.rendezvous import score
from goldcreststair.store.errors import PlatformError
from goldcreststair.store.reading import async_read_all
from goldcreststair.store.rows import RowKey, RowRange, RowsConflict, StoredRow, Transaction

_LOGGER = logging.getLogger(__name__)

OnVerdict = Callable[[Suspects, int], None]
"""Called with a stored verdict and the time that it has left, ms."""


class VerdictRows:
    """Reads all verdicts before they are first needed and after each absence, and writes new ones.

    The first few VMs by rendezvous write a verdict, one after the other; a row that exists is left alone.
    """

    def __init__(self, core: GatewayCore, on_verdict: OnVerdict) -> None:
        """Start with nothing read."""
        self._core = core
        self._clock = core.clock
        self._store = core.adapter.store
        self._on_verdict = on_verdict
        self.is_loaded = False
        """Whether all verdicts were read once."""
        self._reading: asyncio.Task[None] | None = None
        self._reading_since = core.clock.now()
        self._writing: dict[Suspects, asyncio.Task[None]] = {}
        self._stored: set[Suspects] = set()
        """Verdicts that the store is known to hold."""

    async def async_close(self) -> None:
        """Stop reading and writing."""
        tasks = [*self._writing.values(), *([self._reading] if self._reading else [])]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._writing.clear()

    def schedule_read(self) -> None:
        """Read all verdicts, as soon as the store returns them."""
        if self._reading is None or self._reading.done():
            self._reading_since = self._clock.now()
            self._reading = asyncio.create_task(self._async_read())

    async def async_wait(self, timeout_ms: int) -> None:
        """Read all verdicts, and wait for them until this time after the reading began."""
        self.schedule_read()
        # While the store is away, later requests must not wait for it.
        left_ms = self._reading_since + timeout_ms - self._clock.now()
        if self._reading is not None and left_ms > 0:
            await asyncio.wait({self._reading}, timeout=left_ms / MS_PER_SECOND)

    def schedule_write(self, suspects: Suspects) -> None:
        """Write a new verdict, if this VM is one of those that do."""
        if suspects in self._stored or suspects in self._writing:
            return
        name = encode_verdict(suspects)
        sessions = self._core.blackboard.read(FLEET).vms
        ranked = sorted(sessions, key=lambda session: score(session, TABLE, name))
        if self._core.session_id not in ranked[:WRITERS]:
            return
        delay_ms = ranked.index(self._core.session_id) * WRITER_GAP_MS
        task = asyncio.create_task(self._async_write(suspects, delay_ms))
        self._writing[suspects] = task
        task.add_done_callback(lambda _: self._writing.pop(suspects, None))

    def schedule_delete(self, suspects: Suspects) -> None:
        """Delete a verdict that was released."""
        writing = self._writing.pop(suspects, None)
        if writing is not None:
            writing.cancel()
        self._stored.discard(suspects)
        task = asyncio.create_task(self._async_delete(suspects))
        self._writing[suspects] = task
        task.add_done_callback(lambda _: self._writing.pop(suspects, None))

    async def _async_read(self) -> None:
        while isinstance(read := await async_read_all(self._store, RowRange(TABLE)), Err):
            _LOGGER.info("Crash verdicts not read; retrying: %s", read.err_value.message)
            await self._clock.async_sleep(READ_RETRY_MS)
        self.is_loaded = True
        for row in read.ok_value.rows:
            decoded = _decode(row)
            if isinstance(decoded, Err):
                _LOGGER.warning("Crash verdict unreadable: %s", decoded.err_value)
                continue
            suspects, stored_at = decoded.ok_value
            left_ms = stored_at + VERDICT_MS - read.ok_value.now_ms
            if left_ms <= -VERDICT_MS:
                self.schedule_delete(suspects)
                continue
            if left_ms > 0:
                self._stored.add(suspects)
            self._on_verdict(suspects, left_ms)

    async def _async_write(self, suspects: Suspects, delay_ms: int) -> None:
        await self._clock.async_sleep(delay_ms)
        while isinstance(written := await self._async_put(suspects), Err):
            extra = {"verdict": encode_verdict(suspects), "reason": written.err_value.message}
            _LOGGER.info("Crash verdict not written; retrying", extra=extra)
            await self._clock.async_sleep(READ_RETRY_MS)
        self._stored.add(suspects)

    async def _async_put(self, suspects: Suspects) -> Result[None, PlatformError]:
        name = encode_verdict(suspects)
        read = await self._store.async_read(RowRange(TABLE, first=name, limit=1))
        if isinstance(read, Err):
            return read
        now_ms, version = read.ok_value.now_ms, 0
        for row in read.ok_value.rows:
            if row.key.key == name:
                if _is_recent(row, now_ms):
                    return Ok(None)
                version = row.version
        key, value = RowKey(TABLE, "", name), orjson.dumps({"at_ms": now_ms})
        committed = await self._store.async_commit(
            Transaction(((key, value),), (), ((key, version),))
        )
        if isinstance(committed, Err) and not isinstance(committed.err_value, RowsConflict):
            return committed
        return Ok(None)

    async def _async_delete(self, suspects: Suspects) -> None:
        key = RowKey(TABLE, "", encode_verdict(suspects))
        while isinstance(done := await self._store.async_commit(Transaction((), (key,))), Err):
            _LOGGER.info("Crash verdict not deleted; retrying: %s", done.err_value.message)
            await self._clock.async_sleep(READ_RETRY_MS)


def _is_recent(row: StoredRow, now_ms: int) -> bool:
    """Return whether a row was written within the time that its verdict holds."""
    decoded = _decode(row)
    return isinstance(decoded, Ok) and now_ms - decoded.ok_value[1] < VERDICT_MS


def _decode(row: StoredRow) -> Result[tuple[Suspects, int], str]:
    """Return a verdict, and when it was stored, on the store's clock, ms."""
    decoded = decode_verdict(row.key.key)
    if isinstance(decoded, Err):
        return Err(decoded.err_value.message)
    try:
        return Ok((decoded.ok_value, int(orjson.loads(row.value)["at_ms"])))
    except (ValueError, KeyError, TypeError) as error:
        return Err(repr(error))
