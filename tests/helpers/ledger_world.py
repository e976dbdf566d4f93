"""Partitions shared by several sessions in process, with owners that move and outages."""

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


class LedgerWorld:
    """What the store holds: records, owner and epoch of each partition."""

    def __init__(self, partitions: int = 16) -> None:
        self.records: list[dict[str, bytes]] = [{} for _ in range(partitions)]
        self.owners = [""] * partitions
        self.epochs = [0] * partitions
        self.down = False
        self.lose_next = False
        """The next commit takes effect, its partition is lost and its answer too."""
        self.refused_prefix = "none"
        """Commits of keys with this prefix are refused."""
        self.commits = 0
        self.history: list[tuple[str, bytes | None]] = []
        self.ledgers: dict[str, WorldLedger] = {}

    def join(self, session_id: str) -> "WorldLedger":
        self.ledgers[session_id] = WorldLedger(self, session_id)
        return self.ledgers[session_id]

    def spread(self) -> None:
        """Give the partitions to the sessions in turn."""
        sessions = sorted(self.ledgers)
        for index in range(len(self.owners)):
            self.move(index, sessions[index % len(sessions)])

    def move(self, index: int, session_id: str, *, tell_old: bool = True) -> None:
        """Change an owner; a paused one is not told and is stopped by its epoch only."""
        old = self.ledgers.get(self.owners[index])
        self.owners[index] = session_id
        self.epochs[index] += 1
        if old is not None and tell_old:
            old.lose(index)
        self.ledgers[session_id].gain(index)

    def find_all(self, prefix: str) -> dict[str, bytes]:
        return {
            key: value
            for records in self.records
            for key, value in records.items()
            if key.startswith(prefix)
        }


class WorldPartition:
    """One session's hold on a partition, as of one epoch."""

    def __init__(self, world: LedgerWorld, index: int) -> None:
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


class WorldLedger:
    """One session's view; implements `Ledger`."""

    def __init__(self, world: LedgerWorld, session_id: str) -> None:
        self.session_id = session_id
        self._world = world
        self._owned: dict[int, WorldPartition] = {}
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
        self._owned[index] = WorldPartition(self._world, index)
        for on_gained in self._on_gained:
            on_gained(self._owned[index])

    def lose(self, index: int) -> None:
        if self._owned.pop(index, None) is not None:
            for on_lost in self._on_lost:
                on_lost(index)
