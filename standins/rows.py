"""In-memory row store with faults and one view per VM."""

import asyncio
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random

from result import Err, Ok, Result

from goldcreststair.clock import Clock
from goldcreststair.store.errors import (
    ObjectMissing,
    PlatformError,
    PlatformOutcomeUnknown,
    PlatformUnavailable,
)
from goldcreststair.store.rows import (
    Committed,
    HistoryLost,
    ObjectExists,
    RowKey,
    RowPage,
    RowRange,
    RowsConflict,
    StoredRow,
    Transaction,
)

HISTORY = 10_000
PARTS_PER_PAGE = 1_000
CALL_TIMEOUT_MS = 1_000
"""Time after which a caller gives up on a call that is not answered."""


@dataclass(slots=True)
class RowFaults:
    """Faults in force; tests change them at any time."""

    down: bool = False
    """Refuse every call; none takes effect."""
    slow_ms: int = 0
    """Delay before each call takes effect, ms."""
    slow_objects_ms: int = 0
    """Delay before an object is read, ms."""
    lose_answers: int = 0
    """Number of next transactions that take effect but whose answers are lost."""
    late_ms: int = 0
    """Delay of the effect of a transaction whose answer is lost, ms."""
    transaction_ms: int = 0
    """Duration of a transaction in its part, which runs one at a time, ms."""
    silent: bool = False
    """Answer no call; none takes effect."""
    silent_feeds: bool = False
    """Feeds return no change and end with an error after their wait."""


@dataclass(slots=True)
class FakeRowStore:
    """The rows and objects of a test."""

    clock: Clock
    random: Random = field(default_factory=lambda: Random(1))
    faults: RowFaults = field(default_factory=RowFaults)
    rows: dict[RowKey, StoredRow] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    version: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    reads: Counter[str] = field(default_factory=Counter)
    """Number of reads by table."""
    oldest: int = 0
    """Versions up to this one are no longer in the history."""
    busy_until: dict[str, int] = field(default_factory=dict)
    """Part -> time at which its last transaction ends."""
    _history: deque[StoredRow] = field(default_factory=lambda: deque(maxlen=HISTORY))
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def view(self) -> "StoreView":
        """Return the view of one more VM."""
        return StoreView(self)

    def put(self, key: RowKey, value: bytes) -> None:
        """Write a row as operators and upstreams do."""
        self.apply(Transaction(puts=((key, value),)))

    def drop(self, key: RowKey) -> None:
        """Remove a row as upstreams do."""
        self.apply(Transaction(deletes=(key,)))

    def drop_history(self) -> None:
        """Drop the history, so that feeds cannot continue."""
        self.oldest = self.version
        self._history.clear()
        self._notify_change()

    def apply(self, transaction: Transaction) -> Result[Committed, RowsConflict]:
        """Apply a transaction at once."""
        for key, version in transaction.conditions:
            if (self.rows[key].version if key in self.rows else 0) != version:
                keys = [key for key, _ in transaction.conditions]
                found = tuple(self.rows[key] for key in keys if key in self.rows)
                return Err(RowsConflict("condition", found))
        self.version += 1
        for key, value in transaction.puts:
            self.rows[key] = StoredRow(key, value, self.version)
            self._history.append(self.rows[key])
        for key in transaction.deletes:
            if self.rows.pop(key, None) is not None:
                self._history.append(StoredRow(key, b"", self.version, deleted=True))
        self._notify_change()
        return Ok(Committed(self.version, self.clock.now()))

    def find_changes(self, table: str, after: int) -> tuple[StoredRow, ...]:
        """Return the changes of a table after a version."""
        return tuple(r for r in self._history if r.key.table == table and r.version > after)

    async def async_wait(self, timeout_ms: int) -> None:
        """Wait for the next change, at most `timeout_ms`."""
        event = self._changed
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await event.wait()
        except TimeoutError:
            return

    def _notify_change(self) -> None:
        event, self._changed = self._changed, asyncio.Event()
        event.set()


@dataclass(slots=True)
class StoreView:
    """View of the store from one VM; implements `RowStore`."""

    store: FakeRowStore
    cut: bool = False
    """Whether the store refuses this VM's calls."""
    held_until: int = 0
    """Until when this VM's process stands still; answers wait in its sockets."""
    calls: Counter[str] = field(default_factory=Counter)

    async def async_commit(
        self, transaction: Transaction
    ) -> Result[Committed, PlatformError | RowsConflict]:
        """Apply all changes or none."""
        parts = {key.part for key, _ in transaction.puts} | {k.part for k in transaction.deletes}
        assert len(parts) <= 1, "rows of one transaction share their part"
        refused = await self._async_begin_call("commit")
        if refused is not None:
            return Err(refused)
        faults = self.store.faults
        await self._async_queue(parts)
        if faults.lose_answers > 0:
            faults.lose_answers -= 1
            if faults.late_ms:
                self.store.clock.call_later(
                    faults.late_ms, lambda: None if self.store.apply(transaction) else None
                )
            else:
                self.store.apply(transaction)
            return Err(PlatformOutcomeUnknown("answer lost"))
        return self.store.apply(transaction)

    async def _async_queue(self, parts: set[str]) -> None:
        now, took_ms = self.store.clock.now(), self.store.faults.transaction_ms
        for part in parts if took_ms else ():
            ends_at = max(now, self.store.busy_until.get(part, 0)) + took_ms
            self.store.busy_until[part] = ends_at
            await self.store.clock.async_sleep(ends_at - now)

    async def async_read(self, row_range: RowRange) -> Result[RowPage, PlatformError]:
        """Return rows of one part."""
        self.store.reads[row_range.table] += 1
        refused = await self._async_begin_call("read")
        if refused is not None:
            return Err(refused)
        found = sorted(
            (
                row
                for key, row in self.store.rows.items()
                if (key.table, key.part) == (row_range.table, row_range.part)
                and key.key >= row_range.first
                and (not row_range.end or key.key < row_range.end)
            ),
            key=lambda row: row.key.key,
        )
        page = tuple(found[: row_range.limit])
        now = self.store.clock.now()
        return Ok(RowPage(page, len(found) > len(page), self.store.version, now))

    async def async_list_parts(
        self, table: str, after: str = ""
    ) -> Result[tuple[Sequence[str], bool], PlatformError]:
        """Return the parts of a table after a given one."""
        refused = await self._async_begin_call("parts")
        if refused is not None:
            return Err(refused)
        parts = sorted({k.part for k in self.store.rows if k.table == table and k.part > after})
        return Ok((parts[:PARTS_PER_PAGE], len(parts) > PARTS_PER_PAGE))

    async def async_follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[RowPage, PlatformError | HistoryLost]:
        """Return the changes after a version, waiting up to `wait_ms` for the first."""
        refused = await self._async_begin_call("follow")
        if refused is not None:
            return Err(refused)
        store = self.store
        ends_at = store.clock.now() + wait_ms
        while True:
            if store.faults.silent_feeds:
                await store.clock.async_sleep(wait_ms + 700)
                return Err(PlatformOutcomeUnknown("silent"))
            if after < store.oldest:
                return Err(HistoryLost("history lost"))
            changes = store.find_changes(table, after)
            left_ms = ends_at - store.clock.now()
            if changes or left_ms <= 0:
                page = RowPage(changes, False, store.version, store.clock.now())
                if self.held_until > store.clock.now():
                    await store.clock.async_sleep(self.held_until - store.clock.now())
                return Ok(page)
            await store.async_wait(left_ms)
            if self.cut or store.faults.down or store.faults.silent:
                return Err(PlatformOutcomeUnknown("connection lost"))

    async def async_put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformError | ObjectExists]:
        """Store an object that does not exist yet."""
        refused = await self._async_begin_call("put")
        if refused is not None:
            return Err(refused)
        if name in self.store.objects:
            return Err(ObjectExists(f"object {name} exists"))
        self.store.objects[name] = content
        return Ok(None)

    async def async_get_object(self, name: str) -> Result[bytes, PlatformError]:
        """Return an object's content."""
        refused = await self._async_begin_call("get")
        if refused is not None:
            return Err(refused)
        await self.store.clock.async_sleep(self.store.faults.slow_objects_ms)
        if name not in self.store.objects:
            return Err(ObjectMissing(f"no object {name}"))
        return Ok(self.store.objects[name])

    async def async_drop_object(self, name: str) -> Result[None, PlatformError]:
        """Remove an object."""
        refused = await self._async_begin_call("drop")
        if refused is not None:
            return Err(refused)
        self.store.objects.pop(name, None)
        return Ok(None)

    async def _async_begin_call(self, call: str) -> PlatformError | None:
        self.calls[call] += 1
        self.store.calls[call] += 1
        held_ms = self.held_until - self.store.clock.now()
        await self.store.clock.async_sleep(max(held_ms, self.store.faults.slow_ms or 4))
        if self.cut or self.store.faults.down:
            return PlatformUnavailable("turned away")
        if self.store.faults.silent:
            await self.store.clock.async_sleep(CALL_TIMEOUT_MS)
            return PlatformOutcomeUnknown("no answer")
        return None
