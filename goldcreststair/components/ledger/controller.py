"""Claims wanted partitions, releases unwanted ones and confirms ownership."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Sequence
from dataclasses import replace
from typing import Any, TypeVar

from result import Err, Ok

from goldcreststair.components.ledger.beliefs import OwnerBeliefs
from goldcreststair.components.ledger.const import (
    BURST_WRITES,
    CLAIM_PAUSE_MS,
    CLAIMS_AT_ONCE,
    CONFIRM_INTERVAL_MS,
    FLEET_HANDOVERS_PER_S,
    FLEET_WRITES_PER_S,
    SWEEP_INTERVAL_MS,
)
from goldcreststair.components.ledger.heads import HeadTable, Swapped
from goldcreststair.components.ledger.loader import Loaded, async_load
from goldcreststair.components.ledger.models import LEDGER_STATE, Head, LedgerState, StoredHead
from goldcreststair.components.ledger.notices import ReleaseNotices
from goldcreststair.components.ledger.pacing import Backoff, Pacer, elapsed
from goldcreststair.components.ledger.partition import OwnedPartition, Tools
from goldcreststair.components.ledger.plan import list_orphans
from goldcreststair.components.ledger.protocols import Partition
from goldcreststair.components.ledger.rendezvous import WantedOwners, find_index
from goldcreststair.components.ledger.sessions import SessionTracker
from goldcreststair.components.membership.models import MEMBERS, Members, MemberState
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import Core
from goldcreststair.journal import Subject

_LOGGER = logging.getLogger(__name__)


T = TypeVar("T")


def _notify(callback: Callable[[T], None], value: T) -> None:
    # One faulty component must not hide a gain or a loss from the others.
    try:
        callback(value)
    except Exception:
        _LOGGER.exception("A watcher of the ledger failed")


class LedgerController:
    """Implements `Ledger` on the platform's table and objects."""

    def __init__(self, core: Core) -> None:
        """Own nothing yet."""
        self._core = core
        self._partitions = core.settings.partitions
        self._heads = HeadTable(core.platform.table, core.clock, core.random)
        self._pacer = Pacer(core.clock, FLEET_WRITES_PER_S, BURST_WRITES)
        self._handovers = Pacer(core.clock, FLEET_HANDOVERS_PER_S, 1)
        self._tools = Tools(core, self._heads, self._pacer, self._handle_lost)
        self._sessions = SessionTracker(core)
        self._wanted = WantedOwners(self._partitions)
        self._mine: tuple[int, ...] = ()
        self._owned: dict[int, OwnedPartition] = {}
        self._busy: set[int] = set()
        self._beliefs = OwnerBeliefs(core.clock)
        self._notices = ReleaseNotices(core, self._handle_released)
        self._wake = asyncio.Event()
        self._settled = False
        self._watchers: list[tuple[Callable[[Partition], None], Callable[[int], None]]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._changing: set[asyncio.Task[None]] = set()
        self._unsubscribe: Callable[[], None] = lambda: None
        self._closing = False
        self._state = core.blackboard.open_section(LEDGER_STATE, LedgerState())

    async def async_start(self) -> None:
        """Follow the members and begin to claim."""
        board = self._core.blackboard
        self._unsubscribe = board.subscribe(MEMBERS, self._handle_members)
        self._handle_members(board.read(MEMBERS))
        self._spawn(self._async_repeat(self._async_sweep_and_wait))
        self._spawn(self._async_repeat(self._async_confirm_stale))

    async def async_close(self) -> None:
        """Release every partition, within the drain time."""
        if self._closing:
            return
        self._closing = True
        self._unsubscribe()
        self._sessions.close()
        for index, partition in tuple(self._owned.items()):
            self._spawn(self._async_hand_over(partition), index)
        try:
            async with asyncio.timeout(self._core.settings.drain_ms / MS_PER_SECOND):
                await asyncio.gather(*self._changing, return_exceptions=True)
        except TimeoutError:
            _LOGGER.warning("Hand-over of %s partitions not finished", len(self._changing))
        for task in (*self._tasks, *self._changing):
            task.cancel()
        for partition in tuple(self._owned.values()):
            partition.abort()

    def find_index(self, key: str) -> int:
        """Return the partition of a key."""
        return find_index(key, self._partitions)

    def get_owned(self, index: int) -> Partition | None:
        """Return a partition that this VM owns and has loaded, else None."""
        partition = self._owned.get(index)
        return partition if partition is not None and partition.is_owned else None

    def find_owner(self, index: int) -> str | None:
        """Return the session believed to own a partition, else None."""
        if self.get_owned(index) is not None:
            return self._core.session_id
        return self._beliefs.find(index) or self._wanted.find(index) or None

    def record_owner(self, index: int, session: str) -> None:
        """Believe another VM's or the head row's word on the owner."""
        # A row read while this VM's own release is under way still names it. Believed, it would send
        # this VM's requests to itself until the next read, a second later.
        others = self._core.blackboard.read(MEMBERS).by_session.keys() - {self._core.session_id}
        if session in others:
            self._beliefs.learn(index, session)

    async def async_read_owner(self, index: int) -> str | None:
        """Return the owner that the head row names, and believe it; None if there is none."""
        read = await self._heads.async_read([index])
        if isinstance(read, Err) or not read.ok_value[0].head.owner:
            return None
        owner = read.ok_value[0].head.owner
        self.record_owner(index, owner)
        return owner

    def watch(self, on_gained: Callable[[Partition], None], on_lost: Callable[[int], None]) -> None:
        """Call back when this VM gains or loses a partition; at once for those it owns."""
        self._watchers.append((on_gained, on_lost))
        for partition in tuple(self._owned.values()):
            if partition.is_owned:
                on_gained(partition)

    def _handle_members(self, members: Members) -> None:
        before = self._wanted.list_winners()
        self._wanted.update(
            member.session_id
            for member in members.by_session.values()
            if member.state is not MemberState.LEAVING
        )
        mine = tuple(filter(self._is_wanted, range(self._partitions)))
        if mine != self._mine:
            self._mine = mine
            self._wake.set()
        self._share_budget()
        # A VM that has just started learns of the members one by one: none was an owner before.
        self._note_former(before if self._settled else (), members)

    def _note_former(self, before: Sequence[str], members: Members) -> None:
        for index, session in enumerate(before):
            if session != self._wanted.find(index):
                self._beliefs.note_former(index, session)
        self._beliefs.keep(members.by_session.keys() - {self._core.session_id})

    def _share_budget(self) -> None:
        """Take the part of the fleet's writes that this VM's part of the partitions comes to.

        A split by members would leave most of the budget to VMs that own nothing.
        """
        part = max(len(self._owned), len(self._mine), 1) / self._partitions
        self._pacer.share = self._handovers.share = part

    async def _async_repeat(self, async_step: Callable[[], Awaitable[int]]) -> None:
        while not self._closing:
            # A row that cannot be decoded, say of a newer version, must not end the loop: this VM
            # would go on to serve and never again claim, release or confirm.
            try:
                delay_ms = await async_step()
            except Exception:
                _LOGGER.exception("Ledger step failed")
                delay_ms = SWEEP_INTERVAL_MS
            await self._core.clock.async_sleep(delay_ms)

    async def _async_sweep_and_wait(self) -> int:
        """Sweep, then wait; a change in what is wanted here ends the wait."""
        self._wake.clear()
        delay_ms = await self._async_sweep()
        waking = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait({waking}, timeout=delay_ms / MS_PER_SECOND)
        finally:
            waking.cancel()
        return 0

    async def _async_sweep(self) -> int:
        self._share_budget()
        pause_ms = self._release_unwanted()
        more = await self._async_claim_wanted()
        # A partition on its way to another VM is served there or here: it keeps nobody waiting.
        if not more and self._busy.isdisjoint(self._mine):
            self._settled = True
            self._state.write(LedgerState(settled=True))
        return CLAIM_PAUSE_MS if more else pause_ms

    def _is_wanted(self, index: int) -> bool:
        return self._wanted.find(index) == self._core.session_id

    def _is_leaving(self) -> bool:
        own = self._core.blackboard.read(MEMBERS).by_session.get(self._core.session_id)
        return own is not None and own.state is MemberState.LEAVING

    def _release_unwanted(self) -> int:
        """Begin to release what the pace allows; returns when to sweep again, ms."""
        for index, partition in tuple(self._owned.items()):
            # The last VM to leave has no heir: released at once, its partitions would be served
            # nowhere while it still finishes its callers' requests. They go when it closes.
            if self._wanted.find(index) in ("", self._core.session_id) or not partition.is_owned:
                continue
            # With the store down a release cannot be written: the partition would refuse commits
            # here and be served nowhere. So an owner that nothing confirmed lately keeps it.
            if elapsed(self._core.clock, partition.confirmed_at) > 2 * CONFIRM_INTERVAL_MS:
                continue
            if not (self._is_leaving() or self._handovers.is_free()):
                # Swept only at the usual interval, an owner gave up one partition a second.
                return min(SWEEP_INTERVAL_MS, max(CLAIM_PAUSE_MS, self._handovers.read_wait_ms()))
            self._handovers.reserve()
            self._core.journal.record(
                Subject.PARTITION, str(index), "release", "another VM is wanted"
            )
            self._spawn(self._async_hand_over(partition), index)
        return SWEEP_INTERVAL_MS

    async def _async_hand_over(self, partition: OwnedPartition) -> None:
        stored = await partition.async_hand_over()
        index = partition.index
        wanted = self._wanted.find(index)
        if stored is not None and wanted not in ("", self._core.session_id):
            self._beliefs.learn(index, wanted)
            self._notices.tell(wanted, index, stored)

    def _handle_released(self, index: int, stored: StoredHead) -> None:
        """Claim over the row that the former owner has just written."""
        # The notice may be late: a newer owner's row has a newer version, so the claim's
        # compare-and-set fails and nothing is taken from it.
        held = index in self._owned or index in self._busy
        if index in self._mine and not held and not stored.head.owner and not self._closing:
            self._pacer.reserve()
            self._spawn(self._async_claim(index, stored), index)

    async def _async_claim_wanted(self) -> bool:
        """Begin to claim what may be claimed, some at once; returns whether any was."""
        missing = [
            index for index in self._mine if index not in self._owned and index not in self._busy
        ]
        if not missing:
            return False
        free = CLAIMS_AT_ONCE - len(self._busy)
        if free <= 0:
            return True
        # A random choice, so that rows whose owner does not let go never starve the others.
        missing = self._core.random.sample(missing, min(len(missing), free * 4))
        read = await self._heads.async_read(missing)
        if isinstance(read, Err):
            return False
        for index, stored in zip(missing, read.ok_value, strict=True):
            if stored.head.owner not in ("", self._core.session_id):
                self.record_owner(index, stored.head.owner)
        claimable = [
            (index, stored)
            for index, stored in zip(missing, read.ok_value, strict=True)
            if self._is_claimable(stored.head)
        ]
        for index, stored in claimable[:free]:
            self._spawn(self._async_acquire(index, stored), index)
        return bool(claimable)

    def _is_claimable(self, head: Head) -> bool:
        # A live owner is never robbed: it releases when it learns that another is wanted. Its own
        # session in the row means that a release or a load of ours did not end well.
        owner = head.owner
        return owner in ("", self._core.session_id) or self._sessions.is_gone(owner)

    async def _async_acquire(self, index: int, stored: StoredHead) -> None:
        await self._core.clock.async_sleep(self._pacer.reserve())
        await self._async_claim(index, stored)

    async def _async_claim(self, index: int, stored: StoredHead) -> None:
        head = replace(
            stored.head,
            owner=self._core.session_id,
            epoch=stored.head.epoch + 1,
            commit_id=self._tools.make_commit_id(),
            claim_sequence=stored.head.sequence,
            garbage=stored.head.garbage + self._list_orphans(index, stored.head),
        )
        outcome = await self._heads.async_swap(index, stored.version, head, lambda: self._closing)
        if not isinstance(outcome, Swapped):
            return
        loaded = await self._async_load(index, outcome.stored)
        if loaded is None:
            return
        partition = OwnedPartition(self._tools, index, loaded, outcome.begun_at)
        if self._closing:
            await self._async_hand_over(partition)
            return
        self._owned[index] = partition
        self._core.journal.record(
            Subject.PARTITION, str(index), "claim", "wanted here", epoch=head.epoch
        )
        for on_gained, _ in tuple(self._watchers):
            _notify(on_gained, partition)

    def _list_orphans(self, index: int, head: Head) -> tuple[str, ...]:
        # An owner that was killed between an object and the head row that names it leaves the
        # object behind. Their names follow from the head, and go with the claim into its garbage,
        # so that they are deleted even if this owner is killed too.
        return list_orphans(index, head) if head.owner else ()

    async def _async_load(self, index: int, stored: StoredHead) -> Loaded | None:
        backoff = Backoff(self._core.random)
        while True:
            loaded = await async_load(self._core.platform.objects, stored)
            if isinstance(loaded, Ok):
                return loaded.ok_value
            # A loader that was paused past the grace time finds objects deleted: another VM has
            # claimed and compacted meanwhile, and the head row shows it. With the head unchanged
            # the objects must be there, and an empty partition is never served in their place.
            read = await self._heads.async_read([index])
            if isinstance(read, Ok) and read.ok_value[0].head.epoch != stored.head.epoch:
                return None
            _LOGGER.warning("Partition %s not loaded: %s", index, loaded.err_value.message)
            await self._core.clock.async_sleep(backoff.next_ms())

    async def _async_confirm_stale(self) -> int:
        await self._async_confirm(self._list_stale())
        return SWEEP_INTERVAL_MS

    def _list_stale(self) -> list[OwnedPartition]:
        return [
            partition
            for partition in self._owned.values()
            if partition.is_owned
            and elapsed(self._core.clock, partition.confirmed_at) >= CONFIRM_INTERVAL_MS
        ]

    async def _async_confirm(self, stale: Iterable[OwnedPartition]) -> None:
        partitions = list(stale)
        if not partitions:
            return
        begun_at = self._core.clock.now()
        read = await self._heads.async_read([partition.index for partition in partitions])
        if isinstance(read, Err):
            return
        for partition, stored in zip(partitions, read.ok_value, strict=True):
            partition.confirm(stored.head, begun_at)

    def _handle_lost(self, index: int) -> None:
        if self._owned.pop(index, None) is None:
            return
        for _, on_lost in tuple(self._watchers):
            _notify(on_lost, index)

    def _spawn(self, coroutine: Coroutine[Any, Any, None], index: int | None = None) -> None:
        task = asyncio.ensure_future(coroutine)
        if index is None:
            self._tasks.add(task)
        else:
            self._changing.add(task)
            self._busy.add(index)
        task.add_done_callback(lambda done: self._finish(done, index))

    def _finish(self, task: asyncio.Task[None], index: int | None) -> None:
        self._tasks.discard(task)
        self._changing.discard(task)
        if index is not None:
            self._busy.discard(index)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error("Ledger task failed", exc_info=task.exception())
