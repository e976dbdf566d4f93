"""Partitions shared by several in-process sessions, with changes of owner and outages."""

import asyncio
import zlib
from collections.abc import Callable, Iterator, Sequence

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.ledger.protocols import (
    Change,
    CommitRefused,
    CommitUnknown,
    LedgerError,
    Partition,
)


class SharedLedgerStore:
    """Records, owner and epoch of each partition, as in the store."""

    def __init__(self, partitions: int = 16) -> None:
        self.records: list[dict[str, bytes]] = [{} for _ in range(partitions)]
        self.owners = [""] * partitions
        self.epochs = [0] * partitions
        self.down = False
        self.lose_next = False
        """Whether the next commit takes effect but its answer and its partition are lost."""
        self.refused_prefix = "none"
        """Prefix of keys whose commits are refused."""
        self.commits = 0
        self.history: list[tuple[str, bytes | None]] = []
        self.ledgers: dict[str, SharedLedger] = {}

    def join(self, session_id: str) -> "SharedLedger":
        self.ledgers[session_id] = SharedLedger(self, session_id)
        return self.ledgers[session_id]

    def spread(self) -> None:
        """Assign the partitions to the sessions in turn."""
        sessions = sorted(self.ledgers)
        for index in range(len(self.owners)):
            self.move(index, sessions[index % len(sessions)])

    def move(self, index: int, session_id: str, *, notify_old_owner: bool = True) -> None:
        """Change an owner; a paused old owner is not notified, so that only its epoch fences it."""
        old = self.ledgers.get(self.owners[index])
        self.owners[index] = session_id
        self.epochs[index] += 1
        if old is not None and notify_old_owner:
            old.lose(index)
        self.ledgers[session_id].gain(index)

    def find_all(self, prefix: str) -> dict[str, bytes]:
        return {
            key: value
            for records in self.records
            for key, value in records.items()
            if key.startswith(prefix)
        }


class SharedPartition:
    """A partition as owned by one session at one epoch."""

    def __init__(self, world: SharedLedgerStore, index: int) -> None:
        self.index = index
        self.epoch = world.epochs[index]
        self.confirmed_at = Millis(0)
        self._world = world

    def get(self, key: str) -> bytes | None:
        return self._world.records[self.index].get(key)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        records = self._world.records[self.index]
        return iter(sorted((k, v) for k, v in records.items() if k.startswith(prefix)))

    async def async_commit(
        self, changes: Sequence[Change], timeout_ms: int
    ) -> Result[None, LedgerError]:
        world = self._world
        await asyncio.sleep(0.005)
        refused = any(change.key.startswith(world.refused_prefix) for change in changes)
        if world.down or refused or world.epochs[self.index] != self.epoch:
            return Err(CommitRefused("store down or fenced"))
        world.commits += 1
        records = world.records[self.index]
        for change in changes:
            world.history.append((change.key, change.value))
            if change.value is None:
                records.pop(change.key, None)
            else:
                records[change.key] = change.value
        if world.lose_next:
            world.lose_next = False
            others = [session for session in world.ledgers if session != world.owners[self.index]]
            world.move(self.index, others[0])
            return Err(CommitUnknown("partition lost"))
        return Ok(None)


class SharedLedger:
    """Ledger of one session; implements `Ledger`."""

    def __init__(self, world: SharedLedgerStore, session_id: str) -> None:
        self.session_id = session_id
        self._world = world
        self._owned: dict[int, SharedPartition] = {}
        self._on_gained: list[Callable[[Partition], None]] = []
        self._on_lost: list[Callable[[int], None]] = []

    def find_index(self, key: str) -> int:
        return zlib.crc32(key.encode()) % len(self._world.owners)

    def get_owned(self, index: int) -> Partition | None:
        return self._owned.get(index)

    def find_owner(self, index: int) -> str | None:
        return self._world.owners[index] or None

    def record_owner(self, index: int, session: str) -> None:
        pass

    async def async_read_owner(self, index: int) -> str | None:
        return self._world.owners[index] or None

    def watch(self, on_gained: Callable[[Partition], None], on_lost: Callable[[int], None]) -> None:
        self._on_gained.append(on_gained)
        self._on_lost.append(on_lost)
        for partition in self._owned.values():
            on_gained(partition)

    def gain(self, index: int) -> None:
        self._owned[index] = SharedPartition(self._world, index)
        for on_gained in self._on_gained:
            on_gained(self._owned[index])

    def lose(self, index: int) -> None:
        if self._owned.pop(index, None) is not None:
            for on_lost in self._on_lost:
                on_lost(index)
