"""The platform's store of rows in memory, with faults to switch on, as several VMs see it."""

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


@dataclass(slots=True)
class RowFaults:
    """Faults in force; tests change them at any time."""

    down: bool = False
    """Refuse every call without effect."""
    slow_ms: int = 0
    """Wait this long before each call takes effect."""
    slow_objects_ms: int = 0
    """Wait this long before an object is read."""
    lose_answers: int = 0
    """So many next transactions are made and their answers lost."""
    late_ms: int = 0
    """A transaction whose answer is lost is made so much later."""
    transaction_ms: int = 0
    """How long each part takes for a transaction, one after the other."""
    silent_feeds: bool = False
    """Feeds bring nothing and end with an error after their wait."""


@dataclass(slots=True)
class FakeRowStore:
    """All rows and objects."""

    clock: Clock
    random: Random = field(default_factory=lambda: Random(1))
    faults: RowFaults = field(default_factory=RowFaults)
    rows: dict[RowKey, StoredRow] = field(default_factory=dict)
    objects: dict[str, bytes] = field(default_factory=dict)
    version: int = 0
    calls: Counter[str] = field(default_factory=Counter)
    reads: Counter[str] = field(default_factory=Counter)
    """Reads by table."""
    oldest: int = 0
    """Versions up to this one have left the history."""
    busy_until: dict[str, int] = field(default_factory=dict)
    """By part, when its last transaction ends."""
    _history: deque[StoredRow] = field(default_factory=lambda: deque(maxlen=HISTORY))
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    def view(self) -> "StoreView":
        """Return the store as one more VM sees it."""
        return StoreView(self)

    def put(self, key: RowKey, value: bytes) -> None:
        """Write a row as operators and upstreams do."""
        self.apply(Transaction(puts=((key, value),)))

    def drop(self, key: RowKey) -> None:
        """Remove a row as upstreams do."""
        self.apply(Transaction(deletes=(key,)))

    def forget_history(self) -> None:
        """Drop the history: feeds cannot go on."""
        self.oldest = self.version
        self._history.clear()
        self._wake()

    def apply(self, transaction: Transaction) -> Result[Committed, RowsConflict]:
        """Make a transaction now."""
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
        self._wake()
        return Ok(Committed(self.version, self.clock.now()))

    def find_changes(self, table: str, after: int) -> tuple[StoredRow, ...]:
        """Return what changed in a table after a version."""
        return tuple(r for r in self._history if r.key.table == table and r.version > after)

    async def async_wait(self, timeout_ms: int) -> None:
        """Return at the next change, or after the time."""
        event = self._changed
        try:
            async with asyncio.timeout(timeout_ms / 1000):
                await event.wait()
        except TimeoutError:
            return

    def _wake(self) -> None:
        event, self._changed = self._changed, asyncio.Event()
        event.set()


@dataclass(slots=True)
class StoreView:
    """The store as one VM sees it; implements `RowStore`."""

    store: FakeRowStore
    cut: bool = False
    """Whether this VM is turned away while others are served."""
    calls: Counter[str] = field(default_factory=Counter)

    async def async_commit(
        self, transaction: Transaction
    ) -> Result[Committed, PlatformError | RowsConflict]:
        """Make all changes or none."""
        parts = {key.part for key, _ in transaction.puts} | {k.part for k in transaction.deletes}
        assert len(parts) <= 1, "rows of one transaction share their part"
        refused = await self._async_enter("commit")
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

    async def async_read(self, wanted: RowRange) -> Result[RowPage, PlatformError]:
        """Return rows of one part."""
        self.store.reads[wanted.table] += 1
        refused = await self._async_enter("read")
        if refused is not None:
            return Err(refused)
        found = sorted(
            (
                row
                for key, row in self.store.rows.items()
                if (key.table, key.part) == (wanted.table, wanted.part)
                and key.key >= wanted.first
                and (not wanted.end or key.key < wanted.end)
            ),
            key=lambda row: row.key.key,
        )
        page = tuple(found[: wanted.limit])
        now = self.store.clock.now()
        return Ok(RowPage(page, len(found) > len(page), self.store.version, now))

    async def async_list_parts(
        self, table: str, after: str = ""
    ) -> Result[tuple[Sequence[str], bool], PlatformError]:
        """Return the parts of a table after one."""
        refused = await self._async_enter("parts")
        if refused is not None:
            return Err(refused)
        parts = sorted({k.part for k in self.store.rows if k.table == table and k.part > after})
        return Ok((parts, False))

    async def async_follow(
        self, table: str, after: int, wait_ms: int
    ) -> Result[RowPage, PlatformError | HistoryLost]:
        """Return what changed after a version."""
        refused = await self._async_enter("follow")
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
                return Ok(RowPage(changes, False, store.version, store.clock.now()))
            await store.async_wait(left_ms)
            if self.cut or store.faults.down:
                return Err(PlatformOutcomeUnknown("connection lost"))

    async def async_put_object(
        self, name: str, content: bytes
    ) -> Result[None, PlatformError | ObjectExists]:
        """Store an object that does not exist yet."""
        refused = await self._async_enter("put")
        if refused is not None:
            return Err(refused)
        if name in self.store.objects:
            return Err(ObjectExists(f"object {name} exists"))
        self.store.objects[name] = content
        return Ok(None)

    async def async_get_object(self, name: str) -> Result[bytes, PlatformError]:
        """Return an object's content."""
        refused = await self._async_enter("get")
        if refused is not None:
            return Err(refused)
        await self.store.clock.async_sleep(self.store.faults.slow_objects_ms)
        if name not in self.store.objects:
            return Err(ObjectMissing(f"no object {name}"))
        return Ok(self.store.objects[name])

    async def async_drop_object(self, name: str) -> Result[None, PlatformError]:
        """Remove an object."""
        refused = await self._async_enter("drop")
        if refused is not None:
            return Err(refused)
        self.store.objects.pop(name, None)
        return Ok(None)

    async def _async_enter(self, call: str) -> PlatformError | None:
        self.calls[call] += 1
        self.store.calls[call] += 1
        await self.store.clock.async_sleep(self.store.faults.slow_ms or 4)
        if self.cut or self.store.faults.down:
            return PlatformUnavailable("turned away")
        return None
