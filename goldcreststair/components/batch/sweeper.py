"""Removes manifests and list entries of jobs past their retention."""

from collections.abc import Iterator
from typing import Final

from goldcreststair.clock import Millis
from goldcreststair.components.batch.calendar import Calendar
from goldcreststair.components.batch.const import COMMIT_TIMEOUT_MS, RETENTION_S
from goldcreststair.components.batch.records import (
    PREFIX_INDEX,
    PREFIX_JOB,
    decode_index,
    decode_manifest,
)
from goldcreststair.components.ledger.protocols import Change, Partition
from goldcreststair.core import Core

SWEEP_EVERY_MS: Final = 60_000
SWEEP_LIMIT: Final = 200
"""Records removed from a partition at a time."""
MARGIN_S: Final = 24 * 3600
"""Chunks are deleted first: without a manifest their objects look like an orphan's."""


class Sweeper:
    """Sweeps the partitions that this VM owns."""

    def __init__(self, core: Core, calendar: Calendar) -> None:
        """Create without partitions."""
        self._core = core
        self._calendar = calendar
        self._partitions: dict[int, Partition] = {}
        self._next = Millis(0)

    def on_gained(self, partition: Partition) -> None:
        """Start sweeping a partition."""
        self._partitions[partition.index] = partition

    def on_lost(self, index: int) -> None:
        """Stop sweeping a partition."""
        self._partitions.pop(index, None)

    async def async_sweep(self) -> None:
        """Remove expired records if a sweep is due."""
        now = self._core.clock.now()
        if now < self._next:
            return
        self._next = Millis(now + SWEEP_EVERY_MS)
        for partition in tuple(self._partitions.values()):
            found = zip(range(SWEEP_LIMIT), self._list_expired(partition), strict=False)
            changes = [Change(key, None) for _, key in found]
            if changes:
                # A commit that fails leaves the records for the next sweep.
                await partition.async_commit(changes, COMMIT_TIMEOUT_MS)

    def _list_expired(self, partition: Partition) -> Iterator[str]:
        horizon = self._calendar.now_s() - RETENTION_S - MARGIN_S
        for key, value in partition.scan(PREFIX_JOB):
            if decode_manifest(value).due_s < horizon:
                yield key
        for key, value in partition.scan(PREFIX_INDEX):
            if decode_index(value).due_s < horizon:
                yield key
