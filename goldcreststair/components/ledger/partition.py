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
from goldcreststair.components.ledger.plan import Plan, plan_commit, weigh
from goldcreststair.components.ledger.protocols import Change, CommitRefused, CommitUnknown
from goldcreststair.components.ledger.records import Records
from goldcreststair.components.ledger.stage import OK_RESULT, CommitResult, Stage
from goldcreststair.core import Core
from goldcreststair.journal import Subject

_LOGGER = logging.getLogger(__name__)

MAX_GROUP_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Tools:
    """What the partitions of one VM share."""

    core: Core
    heads: HeadTable
    pacer: Pacer
    on_lost: Callable[[int], None]

    @property
    def clock(self) -> Clock:
        """The daemon's clock."""
        return self.core.clock

    def make_commit_id(self) -> str:
        """Return an id that no other commit of any VM has."""
        return f"{self.core.session_id}-{self.core.random.getrandbits(48):012x}"


class OwnedPartition:
    """Implements `Partition`; fenced by the version of its head row."""

    def __init__(self, tools: Tools, index: int, loaded: Loaded, confirmed_at: Millis) -> None:
        """Take over a claimed and loaded partition."""
        self.index = index
        self.epoch = loaded.stored.head.epoch
        self.confirmed_at = confirmed_at
        self._tools = tools
        self._stored = loaded.stored
        self._sizes = loaded.sizes
        self._records = Records(loaded.values)
        self._stage = Stage(tools.clock, self._records)
        self._garbage = Garbage(tools.core, loaded.stored.head.garbage)
        self._writer: asyncio.Task[None] | None = None
        self._pending: Plan | None = None
        self._attempt = 0
        self._closing = False
        self._lost = False

    @property
    def is_owned(self) -> bool:
        """Whether commits are taken."""
        return not (self._closing or self._lost)

    def get(self, key: str) -> bytes | None:
        """Return a record, staged changes included."""
        return self._records.get(key)

    def scan(self, prefix: str) -> Iterator[tuple[str, bytes]]:
        """Yield records in the order of their keys, staged changes included."""
        return self._records.scan(prefix)

    async def async_commit(self, changes: Sequence[Change], timeout_ms: int) -> CommitResult:
        """Stage changes and wait until they are durable; none: wait for those staged before."""
        if not self.is_owned:
            return Err(CommitRefused("the partition is not owned here any more"))
        if not changes and not len(self._stage):
            return OK_RESULT
        done = self._stage.add(changes, timeout_ms)
        if self._writer is None:
            self._writer = asyncio.ensure_future(self._async_write())
        return await done

    def confirm(self, head: Head, begun_at: Millis) -> None:
        """Take note of the head row as a read that began at `begun_at` found it."""
        if head.epoch == self.epoch and head.owner == self._stored.head.owner:
            self.confirmed_at = max(self.confirmed_at, begun_at)
        elif head.epoch > self.epoch:
            self._lose(head, doubtful=True)

    async def async_hand_over(self) -> StoredHead | None:
        """Finish the staged commits, then release the head row; returns it if that took effect."""
        if not self.is_owned:
            return None
        self._closing = True
        if self._writer is not None:
            await self._writer
        if self._lost:
            return None
        # The components above stop acting as owner before the row says that another may begin.
        self._lost = True
        self._garbage.close()
        self._tools.on_lost(self.index)
        commit_id = self._tools.make_commit_id()
        kept = self._garbage.list_kept()
        released = replace(self._stored.head, owner="", commit_id=commit_id, garbage=kept)
        backoff = Backoff(self._tools.core.random)
        while isinstance(outcome := await self._async_swap(released, lambda: False), NotSwapped):
            await self._tools.clock.async_sleep(backoff.next_ms())
        return outcome.stored if isinstance(outcome, Swapped) else None

    def abort(self) -> None:
        """Stop at once, without a release."""
        if self._writer is not None:
            self._writer.cancel()
        if not self._lost:
            self._lose(Head(), doubtful=True)

    async def _async_write(self) -> None:
        try:
            backoff = Backoff(self._tools.core.random)
            while len(self._stage) and not self._lost:
                await self._tools.clock.async_sleep(self._tools.pacer.reserve())
                if not len(self._stage) or self._lost:
                    break
                if await self._async_write_group():
                    backoff = Backoff(self._tools.core.random)
                else:
                    self._stage.return_group()
                    await self._tools.clock.async_sleep(backoff.next_ms())
        finally:
            self._writer = None

    async def _async_write_group(self) -> bool:
        """Write all that is staged; returns False if it certainly had no effect."""
        group = self._stage.take_group(MAX_GROUP_BYTES, weigh)
        head = replace(self._stored.head, garbage=self._garbage.list_kept())
        export = self._records.export if self._stage.is_all_sent() else None
        commit_id = self._tools.make_commit_id()
        plan = plan_commit(self.index, head, self._sizes, group, commit_id, export, self._attempt)
        if plan.object_name:
            self._attempt += 1
            content = await async_encode_changes(plan.changes)
            plan = plan.measure(len(content))
            put = await self._tools.core.platform.objects.async_put(plan.object_name, content)
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
            # The table refuses while the object store still takes objects: each try would leave
            # one behind that no head row names.
            self._garbage.add([plan.object_name] if plan.object_name else [])
            return False
        if isinstance(outcome, Superseded):
            self._pending = plan
            self._lose(outcome.head, outcome.doubtful)
            return True
        self._accept(outcome.stored, plan, outcome.begun_at)
        return True

    async def _async_swap(self, head: Head, is_given_up: Callable[[], bool]) -> SwapOutcome:
        return await self._tools.heads.async_swap(
            self.index, self._stored.version, head, is_given_up
        )

    def _accept(self, stored: StoredHead, plan: Plan, begun_at: Millis) -> None:
        self._stored = stored
        self._attempt = 0
        self._sizes = plan.sizes
        self.confirmed_at = max(self.confirmed_at, begun_at)
        self._garbage.add(stored.head.garbage)
        self._tools.core.statistics.count("ledger.writes")
        self._tools.core.statistics.record_ms(
            "ledger.write_ms", elapsed(self._tools.clock, begun_at)
        )
        self._stage.settle_group(OK_RESULT)

    def _lose(self, head: Head, doubtful: bool) -> None:
        if self._lost:
            return
        self._lost = True
        self._garbage.close()
        self._tools.core.statistics.count("ledger.lost")
        self._tools.core.journal.record(
            Subject.PARTITION, str(self.index), "lost", "newer epoch", epoch=head.epoch
        )
        _LOGGER.info("Partition %s lost to epoch %s", self.index, head.epoch)
        self._stage.refuse_all("the partition was lost")
        self._stage.settle_group(self._judge_group(head, doubtful))
        self._tools.on_lost(self.index)

    def _judge_group(self, head: Head, doubtful: bool) -> CommitResult:
        """Tell how the group under way ended, from the head that ended this ownership."""
        if self._pending is None or not doubtful:
            return Err(CommitRefused("the partition was lost before the write"))
        # The next owner wrote down the sequence that it found, so while its epoch lasts the
        # outcome of our last write is known for certain; after it nobody can tell any more.
        if head.epoch == self.epoch + 1:
            if head.claim_sequence >= self._pending.head.sequence:
                return OK_RESULT
            return Err(CommitRefused("the partition was claimed before the write"))
        return Err(CommitUnknown("the partition was lost while the write was under way"))
