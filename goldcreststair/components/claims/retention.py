"""Removes claims whose retention has ended."""

from collections.abc import Iterator

from goldcreststair.components.claims.codec import decode_record
from goldcreststair.components.claims.const import (
    KEY_TICK,
    RECORD_PREFIX,
    REMOVE_BATCH_SIZE,
    REMOVE_INTERVAL_MS,
    RETENTION_TICKS,
    TICK_MS,
)
from goldcreststair.components.claims.owner import read_tick
from goldcreststair.components.ledger.protocols import LEDGER, Change, Partition
from goldcreststair.core import Core

COMMIT_TIMEOUT_MS = 60_000


class Retention:
    """Counts the age of claims and removes expired ones in small batches.

    The age is counted in ticks that are stored as a record, as no clock outlives its VM. A change
    of owner makes a tick longer, never shorter, so that nothing is removed early.
    """

    def __init__(self, core: Core) -> None:
        """Create the retention of the partitions that this VM owns."""
        self._core = core
        self._ledger = core.get(LEDGER)

    async def async_run(self) -> None:
        """Count ticks and remove expired claims until cancelled."""
        while True:
            await self._core.clock.async_sleep(TICK_MS)
            for index in range(self._core.settings.partitions):
                partition = self._ledger.get_owned(index)
                if partition is not None and next(partition.scan(RECORD_PREFIX), None):
                    await self._async_tick(partition)

    async def _async_tick(self, partition: Partition) -> None:
        tick = read_tick(partition) + 1
        await partition.async_commit([Change(KEY_TICK, b"%d" % tick)], COMMIT_TIMEOUT_MS)
        records = partition.scan(RECORD_PREFIX)
        while batch := [pair for pair, _ in zip(records, range(REMOVE_BATCH_SIZE), strict=False)]:
            await self._async_remove(partition, list(_list_expired(batch, tick)))
            await self._core.clock.async_sleep(REMOVE_INTERVAL_MS)

    async def _async_remove(self, partition: Partition, expired: list[tuple[str, str]]) -> None:
        if not expired:
            return
        changes = [Change(key, None) for key, _ in expired]
        removed = await partition.async_commit(changes, COMMIT_TIMEOUT_MS)
        if removed.is_err():
            return
        for _, name in expired:
            if name:
                await self._core.platform.objects.async_delete(name)


def _list_expired(batch: list[tuple[str, bytes]], tick: int) -> Iterator[tuple[str, str]]:
    for key, content in batch:
        record = decode_record(content)
        if tick - record.tick > RETENTION_TICKS:
            yield key, record.outcome.body_object if record.outcome else ""
