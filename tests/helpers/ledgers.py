"""In-memory ledger that owns all partitions, for tests of the components that use it."""

import asyncio
import zlib
from collections.abc import Callable, Iterator, Sequence

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.ledger.protocols import (
    Change,
    CommitRefused,
    LedgerError,
    Partition,
)


class FakePartition:
    """One owned partition; it refuses commits while `down`."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.epoch = 1
        self.records: dict[str, bytes] = {}
        self.commits = 0
        self.confirmed_at = Millis(0)
        self.down = False

    def get(self, key: str) -> bytes | None:
        return self.records.get(key)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        return iter(sorted((k, v) for k, v in self.records.items() if k.startswith(prefix)))

    async def async_commit(
        self, changes: Sequence[Change], timeout_ms: int
    ) -> Result[None, LedgerError]:
        if self.down:
            return Err(CommitRefused("store down"))
        self.commits += 1
        for change in changes:
            if change.value is None:
                self.records.pop(change.key, None)
            else:
                self.records[change.key] = change.value
        await asyncio.sleep(0)
        return Ok(None)


class FakeLedger:
    """Owns all partitions of one session; implements `Ledger`."""

    def __init__(self, session_id: str, partitions: int = 4) -> None:
        self.session_id = session_id
        self.partitions = [FakePartition(index) for index in range(partitions)]

    def find_index(self, key: str) -> int:
        return zlib.crc32(key.encode()) % len(self.partitions)

    def get_owned(self, index: int) -> Partition | None:
        return self.partitions[index]

    def find_owner(self, index: int) -> str | None:
        return self.session_id

    def record_owner(self, index: int, session: str) -> None:
        pass

    async def async_read_owner(self, index: int) -> str | None:
        return self.session_id

    def watch(self, on_gained: Callable[[Partition], None], on_lost: Callable[[int], None]) -> None:
        for partition in self.partitions:
            on_gained(partition)
