"""An owned partition: stages changes and writes them in groups."""

import asyncio
import logging
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from result import Err

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.ledger.codec import async_encode_changes
from goldcreststair.components.ledger.garbage import Garbage
from goldcreststair.components.ledger.heads import (
    HeadTable,
    NotSwapped,
    Superseded,
    SwapOutcome,
    Swapped,
)
from goldcreststair.components.ledger.loader import Loaded
from goldcreststair.components.ledger.models import Head, StoredHead
from goldcreststair.components.ledger.pacing import Backoff, Pacer, elapsed
from goldcreststair.components.ledger.plan import Plan, estimate_bytes, plan_commit
from goldcreststair.components.ledger.protocols import Change, CommitRefused, CommitUnknown
from goldcreststair.components.ledger.records import Records
from goldcreststair.components.ledger.stage import OK_RESULT, CommitResult, Stage
from goldcreststair.core import Core
from goldcreststair.journal import Subject

_LOGGER = logging.getLogger(__name__)

MAX_GROUP_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class PartitionContext:
    """Dependencies that the partitions of one VM share."""

    core: Core
    heads: HeadTable
    pacer: Pacer
    on_lost: Callable[[int], None]

    @property
    def clock(self) -> Clock:
        """The daemon's clock."""
        return self.core.clock

    def make_commit_id(self) -> str:
        """Return an id that is unique among the commits of all VMs."""
        return f"{self.core.session_id}-{self.core.random.getrandbits(48):012x}"


class OwnedPartition:
    """Implements `Partition`; fenced by the version of its head row."""

    def __init__(
        self, context: PartitionContext, index: int, loaded: Loaded, confirmed_at: Millis
    ) -> None:
        """Create the partition after it was claimed and loaded."""
        self.index = index
        self.epoch = loaded.stored.head.epoch
        self.confirmed_at = confirmed_at
        self._context = context
        self._stored = loaded.stored
        self._sizes = loaded.sizes
        self._records = Records(loaded.values)
        self._stage = Stage(context.clock, self._records)
        self._garbage = Garbage(context.core, loaded.stored.head.garbage)
        self._writer: asyncio.Task[None] | None = None
        self._pending: Plan | None = None
        self._attempt = 0
        self._closing = False
        self._lost = False

    @property
    def is_owned(self) -> bool:
        """Whether this VM owns the partition and accepts commits."""
        return not (self._closing or self._lost)

    def get(self, key: str) -> bytes | None:
        """Return the value of a record, staged changes included, or None if there is none."""
        return self._records.get(key)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Yield records in the order of their keys, staged changes included."""
        return self._records.scan(prefix)

    async def async_commit(self, changes: Sequence[Change], timeout_ms: int) -> CommitResult:
        """Stage changes and wait until they are durable.

        Without changes it waits for those that were staged before.
        """
        if not self.is_owned:
            return Err(CommitRefused("this VM no longer owns the partition"))
        if not changes and not len(self._stage):
            return OK_RESULT
        done = self._stage.add(changes, timeout_ms)
        if self._writer is None:
            self._writer = asyncio.ensure_future(self._async_write())
        return await done

    def confirm(self, head: Head, begun_at: Millis) -> None:
        """Apply the head row that a read started at `begun_at` returned."""
        if head.epoch == self.epoch and head.owner == self._stored.head.owner:
            self.confirmed_at = max(self.confirmed_at, begun_at)
        elif head.epoch > self.epoch:
            self._mark_lost(head, maybe_written=True)

    async def async_hand_over(self) -> StoredHead | None:
        """Finish the staged commits, then release the head row; None if it was not released."""
        if not self.is_owned:
            return None
        self._closing = True
        if self._writer is not None:
            await self._writer
        if self._lost:
            return None
        # Components that use the partition stop acting as its owner before the row is released and
        # another VM may claim it.
        self._lost = True
        self._garbage.close()
        self._context.on_lost(self.index)
        commit_id = self._context.make_commit_id()
        undeleted = self._garbage.list_undeleted()
        released = replace(self._stored.head, owner="", commit_id=commit_id, garbage=undeleted)
        backoff = Backoff(self._context.core.random)
        while isinstance(outcome := await self._async_swap(released, lambda: False), NotSwapped):
            await self._context.clock.async_sleep(backoff.next_ms())
        return outcome.stored if isinstance(outcome, Swapped) else None

    def abort(self) -> None:
        """Stop at once, without releasing the head row."""
        if self._writer is not None:
            self._writer.cancel()
        if not self._lost:
            self._mark_lost(Head(), maybe_written=True)

    async def _async_write(self) -> None:
        try:
            backoff = Backoff(self._context.core.random)
            while len(self._stage) and not self._lost:
                await self._context.clock.async_sleep(self._context.pacer.reserve())
                if not len(self._stage) or self._lost:
                    break
                if await self._async_write_group():
                    backoff = Backoff(self._context.core.random)
                else:
                    self._stage.reset_group()
                    await self._context.clock.async_sleep(backoff.next_ms())
        finally:
            self._writer = None

    async def _async_write_group(self) -> bool:
        """Write the next group of staged commits; returns False if the write had no effect."""
        group = self._stage.start_group(MAX_GROUP_BYTES, estimate_bytes)
        head = replace(self._stored.head, garbage=self._garbage.list_undeleted())
        export = self._records.export if self._stage.is_all_sent() else None
        commit_id = self._context.make_commit_id()
        plan = plan_commit(self.index, head, self._sizes, group, commit_id, export, self._attempt)
        if plan.object_name:
            self._attempt += 1
            content = await async_encode_changes(plan.changes)
            plan = plan.with_object_bytes(len(content))
            put = await self._context.core.platform.objects.async_put(plan.object_name, content)
            if isinstance(put, Err):
                return False
        if self._lost:
            return True
        self._pending = plan
        outcome = await self._async_swap(plan.head, lambda: self._lost)
        self._pending = None
        if self._lost:
            return True
        if isinstance(outcome, NotSwapped):
            # The table may fail while the object store still accepts objects. Without this, each
            # attempt would leave an object that no head row refers to.
            self._garbage.add([plan.object_name] if plan.object_name else [])
            return False
        if isinstance(outcome, Superseded):
            self._pending = plan
            self._mark_lost(outcome.head, outcome.maybe_written)
            return True
        self._apply_written(outcome.stored, plan, outcome.begun_at)
        return True

    async def _async_swap(self, head: Head, is_abandoned: Callable[[], bool]) -> SwapOutcome:
        return await self._context.heads.async_swap(
            self.index, self._stored.version, head, is_abandoned
        )

    def _apply_written(self, stored: StoredHead, plan: Plan, begun_at: Millis) -> None:
        self._stored = stored
        self._attempt = 0
        self._sizes = plan.sizes
        self.confirmed_at = max(self.confirmed_at, begun_at)
        self._garbage.add(stored.head.garbage)
        self._context.core.statistics.count("ledger.writes")
        self._context.core.statistics.record_ms(
            "ledger.write_ms", elapsed(self._context.clock, begun_at)
        )
        self._stage.resolve_group(OK_RESULT)

    def _mark_lost(self, head: Head, maybe_written: bool) -> None:
        if self._lost:
            return
        self._lost = True
        self._garbage.close()
        self._context.core.statistics.count("ledger.lost")
        self._context.core.journal.record(
            Subject.PARTITION, str(self.index), "lost", "newer epoch", epoch=head.epoch
        )
        _LOGGER.info("Partition %s lost to epoch %s", self.index, head.epoch)
        self._stage.refuse_unsent("the partition was lost")
        self._stage.resolve_group(self._resolve_outcome(head, maybe_written))
        self._context.on_lost(self.index)

    def _resolve_outcome(self, head: Head, maybe_written: bool) -> CommitResult:
        """Return the outcome of the group in flight, from the head that ended this ownership."""
        if self._pending is None or not maybe_written:
            return Err(CommitRefused("the partition was lost before the write"))
        # The next owner's head contains the sequence number that it found when it claimed. During
        # its epoch this determines whether the last write of this owner took effect; after a
        # further change of owner it can no longer be determined.
        if head.epoch == self.epoch + 1:
            if head.claim_sequence >= self._pending.head.sequence:
                return OK_RESULT
            return Err(CommitRefused("the partition was claimed before the write"))
        return Err(CommitUnknown("the partition was lost while the write was in flight"))
