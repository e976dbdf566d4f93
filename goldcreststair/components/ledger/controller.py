"""Claims the partitions this VM should own, releases others and confirms ownership."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Coroutine, Iterable, Sequence
from dataclasses import replace
from typing import Any, TypeVar

from result import Err, Ok

from goldcreststair.components.ledger.const import (
    BURST_WRITES,
    CLAIM_PAUSE_MS,
    CONFIRM_INTERVAL_MS,
    FLEET_HANDOVERS_PER_S,
    FLEET_WRITES_PER_S,
    MAX_CONCURRENT_CLAIMS,
    SWEEP_INTERVAL_MS,
)
from goldcreststair.components.ledger.heads import HeadTable, Swapped
from goldcreststair.components.ledger.known_owners import KnownOwners
from goldcreststair.components.ledger.loader import Loaded, async_load
from goldcreststair.components.ledger.models import LEDGER_STATE, Head, LedgerState, StoredHead
from goldcreststair.components.ledger.notices import ReleaseNotices
from goldcreststair.components.ledger.pacing import Backoff, Pacer, elapsed
from goldcreststair.components.ledger.partition import OwnedPartition, PartitionContext
from goldcreststair.components.ledger.plan import list_orphans
from goldcreststair.components.ledger.protocols import Partition
from goldcreststair.components.ledger.rendezvous import DesiredOwners, find_index
from goldcreststair.components.ledger.sessions import SessionTracker
from goldcreststair.components.membership.models import MEMBERS, Members, MemberState
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import Core
from goldcreststair.journal import Subject

_LOGGER = logging.getLogger(__name__)


T = TypeVar("T")


def _notify(callback: Callable[[T], None], value: T) -> None:
    # A failing callback must not keep the others from being notified.
    try:
        callback(value)
    except Exception:
        _LOGGER.exception("Callback for a gained or lost partition failed")


class LedgerController:
    """Implements `Ledger` on the platform's table service and object store."""

    def __init__(self, core: Core) -> None:
        """Create the controller; it owns no partition until it is started."""
        self._core = core
        self._partitions = core.settings.partitions
        self._heads = HeadTable(core.platform.table, core.clock, core.random)
        self._pacer = Pacer(core.clock, FLEET_WRITES_PER_S, BURST_WRITES)
        self._handover_pacer = Pacer(core.clock, FLEET_HANDOVERS_PER_S, 1)
        self._context = PartitionContext(core, self._heads, self._pacer, self._handle_lost)
        self._sessions = SessionTracker(core)
        self._desired = DesiredOwners(self._partitions)
        self._desired_here: tuple[int, ...] = ()
        self._owned: dict[int, OwnedPartition] = {}
        self._in_transition: set[int] = set()
        self._known_owners = KnownOwners(core.clock)
        self._notices = ReleaseNotices(core, self._handle_released)
        self._wake = asyncio.Event()
        self._initial_claims_done = False
        self._watchers: list[tuple[Callable[[Partition], None], Callable[[int], None]]] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._transition_tasks: set[asyncio.Task[None]] = set()
        self._unsubscribe: Callable[[], None] = lambda: None
        self._closing = False
        self._state = core.blackboard.open_section(LEDGER_STATE, LedgerState())

    async def async_start(self) -> None:
        """Subscribe to the members and start claiming partitions."""
        board = self._core.blackboard
        self._unsubscribe = board.subscribe(MEMBERS, self._handle_members)
        self._handle_members(board.read(MEMBERS))
        self._spawn(self._async_repeat(self._async_sweep_and_wait))
        self._spawn(self._async_repeat(self._async_confirm_stale))

    async def async_close(self) -> None:
        """Release every partition within the drain time; cancel what is left then."""
        if self._closing:
            return
        self._closing = True
        self._unsubscribe()
        self._sessions.close()
        for index, partition in tuple(self._owned.items()):
            self._spawn(self._async_hand_over(partition), index)
        try:
            async with asyncio.timeout(self._core.settings.drain_ms / MS_PER_SECOND):
                await asyncio.gather(*self._transition_tasks, return_exceptions=True)
        except TimeoutError:
            _LOGGER.warning(
                "Handover of %s partitions not finished in the drain time",
                len(self._transition_tasks),
            )
        for task in (*self._tasks, *self._transition_tasks):
            task.cancel()
        for partition in tuple(self._owned.values()):
            partition.abort()

    def find_index(self, key: str) -> int:
        """Return the index of a key's partition."""
        return find_index(key, self._partitions)

    def get_owned(self, index: int) -> Partition | None:
        """Return a partition that this VM owns and has loaded, else None."""
        partition = self._owned.get(index)
        return partition if partition is not None and partition.is_owned else None

    def find_owner(self, index: int) -> str | None:
        """Return the session id of a partition's assumed owner, else None."""
        if self.get_owned(index) is not None:
            return self._core.session_id
        return self._known_owners.find(index) or self._desired.find(index) or None

    def record_owner(self, index: int, session: str) -> None:
        """Record the owner that another VM or the head row reported."""
        # A row read while this VM's own release is in progress still names this VM. If that were
        # recorded, this VM would send requests to itself until the next read, a second later.
        others = self._core.blackboard.read(MEMBERS).by_session.keys() - {self._core.session_id}
        if session in others:
            self._known_owners.record(index, session)

    async def async_read_owner(self, index: int) -> str | None:
        """Read the owner from the head row and record it; None without one or if the read fails."""
        read = await self._heads.async_read([index])
        if isinstance(read, Err) or not read.ok_value[0].head.owner:
            return None
        owner = read.ok_value[0].head.owner
        self.record_owner(index, owner)
        return owner

    def watch(self, on_gained: Callable[[Partition], None], on_lost: Callable[[int], None]) -> None:
        """Register callbacks for gained and lost partitions; calls back at once for owned ones."""
        self._watchers.append((on_gained, on_lost))
        for partition in tuple(self._owned.values()):
            if partition.is_owned:
                on_gained(partition)

    def _handle_members(self, members: Members) -> None:
        before = self._desired.list_winners()
        self._desired.update(
            member.session_id
            for member in members.by_session.values()
            if member.state is not MemberState.LEAVING
        )
        desired_here = tuple(filter(self._is_desired_here, range(self._partitions)))
        if desired_here != self._desired_here:
            self._desired_here = desired_here
            self._wake.set()
        self._update_pace()
        # A VM that has just started sees the members appear one by one, so that the previous
        # desired owners were not real owners.
        self._record_former(before if self._initial_claims_done else (), members)

    def _record_former(self, before: Sequence[str], members: Members) -> None:
        for index, session in enumerate(before):
            if session != self._desired.find(index):
                self._known_owners.record_former(index, session)
        self._known_owners.keep(members.by_session.keys() - {self._core.session_id})

    def _update_pace(self) -> None:
        """Set this VM's share of the fleet's write budget to its share of the partitions.

        An equal split among members would give most of the budget to VMs that own nothing.
        """
        part = max(len(self._owned), len(self._desired_here), 1) / self._partitions
        self._pacer.share = self._handover_pacer.share = part

    async def _async_repeat(self, async_step: Callable[[], Awaitable[int]]) -> None:
        while not self._closing:
            # A row that cannot be decoded, for example one of a newer version, must not end the
            # loop: this VM would continue to serve without claiming, releasing or confirming.
            try:
                delay_ms = await async_step()
            except Exception:
                _LOGGER.exception("Periodic ledger task failed")
                delay_ms = SWEEP_INTERVAL_MS
            await self._core.clock.async_sleep(delay_ms)

    async def _async_sweep_and_wait(self) -> int:
        """Sweep, then wait; a change of the partitions desired here ends the wait."""
        self._wake.clear()
        delay_ms = await self._async_sweep()
        waking = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait({waking}, timeout=delay_ms / MS_PER_SECOND)
        finally:
            waking.cancel()
        return 0

    async def _async_sweep(self) -> int:
        self._update_pace()
        pause_ms = self._release_undesired()
        more = await self._async_claim_missing()
        # Partitions that are being handed over to other VMs do not count: they are served by one VM
        # or the other.
        if not more and self._in_transition.isdisjoint(self._desired_here):
            self._initial_claims_done = True
            self._state.write(LedgerState(initial_claims_done=True))
        return CLAIM_PAUSE_MS if more else pause_ms

    def _is_desired_here(self, index: int) -> bool:
        return self._desired.find(index) == self._core.session_id

    def _is_leaving(self) -> bool:
        own = self._core.blackboard.read(MEMBERS).by_session.get(self._core.session_id)
        return own is not None and own.state is MemberState.LEAVING

    def _release_undesired(self) -> int:
        """Start the releases that the pace allows; returns the delay to the next sweep in ms."""
        for index, partition in tuple(self._owned.items()):
            # The last VM to leave has no successor. If it released its partitions at once, no VM
            # would serve them while it finishes its callers' requests; it releases them when it
            # closes.
            if self._desired.find(index) in ("", self._core.session_id) or not partition.is_owned:
                continue
            # While the store is down a release cannot be written: the partition would refuse
            # commits here and no other VM could serve it. So a partition is kept if its ownership
            # has not been confirmed recently.
            if elapsed(self._core.clock, partition.confirmed_at) > 2 * CONFIRM_INTERVAL_MS:
                continue
            if not (self._is_leaving() or self._handover_pacer.is_free()):
                # At the usual sweep interval, an owner would release only one partition a second.
                return min(
                    SWEEP_INTERVAL_MS, max(CLAIM_PAUSE_MS, self._handover_pacer.read_wait_ms())
                )
            self._handover_pacer.reserve()
            self._core.journal.record(
                Subject.PARTITION, str(index), "release", "another VM is wanted"
            )
            self._spawn(self._async_hand_over(partition), index)
        return SWEEP_INTERVAL_MS

    async def _async_hand_over(self, partition: OwnedPartition) -> None:
        stored = await partition.async_hand_over()
        index = partition.index
        desired = self._desired.find(index)
        if stored is not None and desired not in ("", self._core.session_id):
            self._known_owners.record(index, desired)
            self._notices.send(desired, index, stored)

    def _handle_released(self, index: int, stored: StoredHead) -> None:
        """Claim a partition whose former owner has just released it."""
        # The notice may be late. Then a newer owner's row has a newer version, and the claim's
        # compare-and-set fails without an effect on that owner.
        held = index in self._owned or index in self._in_transition
        if index in self._desired_here and not held and not stored.head.owner and not self._closing:
            self._pacer.reserve()
            self._spawn(self._async_claim(index, stored), index)

    async def _async_claim_missing(self) -> bool:
        """Start claims of some missing partitions; returns whether there may be more to claim."""
        missing = [
            index
            for index in self._desired_here
            if index not in self._owned and index not in self._in_transition
        ]
        if not missing:
            return False
        free = MAX_CONCURRENT_CLAIMS - len(self._in_transition)
        if free <= 0:
            return True
        # A random sample, so that partitions whose owner does not release them do not starve the
        # others.
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
        # A live owner keeps its partition: it releases it when it learns that another VM is the
        # desired owner. If the row names this VM's own session, an earlier release or load failed.
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
            commit_id=self._context.make_commit_id(),
            claim_sequence=stored.head.sequence,
            garbage=stored.head.garbage + self._list_orphans(index, stored.head),
        )
        outcome = await self._heads.async_swap(index, stored.version, head, lambda: self._closing)
        if not isinstance(outcome, Swapped):
            return
        loaded = await self._async_load(index, outcome.stored)
        if loaded is None:
            return
        partition = OwnedPartition(self._context, index, loaded, outcome.begun_at)
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
        # An owner that was killed after storing an object and before writing the head row that
        # names it leaves the object behind. The names of such objects are derived from the head and
        # added to its garbage with the claim, so that they are deleted even if this owner is killed
        # as well.
        return list_orphans(index, head) if head.owner else ()

    async def _async_load(self, index: int, stored: StoredHead) -> Loaded | None:
        backoff = Backoff(self._core.random)
        while True:
            loaded = await async_load(self._core.platform.objects, stored)
            if isinstance(loaded, Ok):
                return loaded.ok_value
            # If this VM was paused for longer than the grace period, another VM may have claimed
            # and compacted the partition and deleted the objects; then the head row has another
            # epoch. While the head is unchanged the objects must exist, so the load is retried: an
            # empty partition must never be served in their place.
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
            self._transition_tasks.add(task)
            self._in_transition.add(index)
        task.add_done_callback(lambda done: self._finish(done, index))

    def _finish(self, task: asyncio.Task[None], index: int | None) -> None:
        self._tasks.discard(task)
        self._transition_tasks.discard(task)
        if index is not None:
            self._in_transition.discard(index)
        if not task.cancelled() and task.exception() is not None:
            _LOGGER.error("Ledger task failed", exc_info=task.exception())
