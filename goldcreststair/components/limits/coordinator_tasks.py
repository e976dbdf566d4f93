"""Messages of a coordinator to other VMs: after a takeover and while the store is away."""

import asyncio
import hashlib
import logging
from collections import Counter
from collections.abc import Coroutine, Mapping
from typing import Any

from result import Ok

from goldcreststair.components.configuration.models import CONFIGURATION, Customer
from goldcreststair.components.ledger.protocols import Change, CommitRefused, Ledger, Partition
from goldcreststair.components.limits import messages
from goldcreststair.components.limits.const import (
    COMMIT_TIMEOUT_MS,
    HANDOVER_POLL_MS,
    NO_EPOCH,
    PEER_TIMEOUT_MS,
    RENOUNCE_INTERVAL_MS,
    STORE_LEASE_MS,
    SUPPORT_AFTER_MS,
    SUPPORT_INTERVAL_MS,
    SUPPORTERS,
    SUPPORTERS_RECORD,
)
from goldcreststair.components.limits.coordinators import (
    Coordinator,
    Coordinators,
    find_customer_index,
)
from goldcreststair.components.limits.models import Handover
from goldcreststair.components.membership.models import MEMBERS, MemberState
from goldcreststair.components.peers.protocols import PeerLinks, PeerMessage
from goldcreststair.core import Core
from goldcreststair.journal import Subject
from goldcreststair.wire.generated.limits import ttypes

_LOGGER = logging.getLogger(__name__)


class CoordinatorTasks:
    """Asks members to renounce older epochs, and supporters to extend a coordinator's lease."""

    def __init__(
        self, core: Core, coordinators: Coordinators, ledger: Ledger, peers: PeerLinks
    ) -> None:
        """Register the messages; nothing runs yet."""
        self._core = core
        self._clock = core.clock
        self._coordinators = coordinators
        self._ledger = ledger
        self._peers = peers
        self._tasks: set[asyncio.Task[None]] = set()
        peers.register(messages.NUMBER_RENOUNCE, ttypes.Renounce, self._async_on_renounce)
        peers.register(messages.NUMBER_RENOUNCED, ttypes.Renounced, None)
        peers.register(messages.NUMBER_SUPPORT_ASK, ttypes.SupportAsk, self._async_on_support)
        peers.register(messages.NUMBER_SUPPORTED, ttypes.Supported, None)

    def start(self) -> None:
        """Follow the ledger and begin to maintain the leases of the coordinators."""
        self._ledger.watch(self._on_gained, lambda index: None)
        self._spawn(self._async_maintain_leases())

    async def async_close(self) -> None:
        """Cancel all tasks and wait for their end."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _find_customers(self, index: int) -> list[Customer]:
        customers = self._core.blackboard.read(CONFIGURATION).customers.values()
        return [c for c in customers if find_customer_index(self._ledger, c.name) == index]

    def _on_gained(self, partition: Partition) -> None:
        coordinator = self._coordinators.gain(partition, self._clock.now())
        if coordinator.takeover is not None:
            self._spawn(self._async_take_over(coordinator))

    async def _async_take_over(self, coordinator: Coordinator) -> None:
        answered: set[str] = set()
        while self._needs_handover(coordinator):
            takeover = coordinator.takeover
            members = self._core.blackboard.read(MEMBERS).by_session
            targets = (set(members) | takeover.not_renounced if takeover else set()) - answered
            answered_now = await asyncio.gather(
                *(self._async_request_renounce(coordinator, s) for s in sorted(targets))
            )
            answered.update(session for session in answered_now if session)
            await self._clock.async_sleep(RENOUNCE_INTERVAL_MS)

    def _needs_handover(self, coordinator: Coordinator) -> bool:
        """Return whether this VM, or a successor that already asks it, needs the predecessor's buckets."""
        now = self._clock.now()
        if coordinator.is_ready(now):
            return False
        owned = coordinator in self._coordinators.find_owned()
        return owned or coordinator.is_awaiting_predecessor(now)

    async def _async_request_renounce(self, coordinator: Coordinator, session_id: str) -> str:
        index = coordinator.partition.index
        message = ttypes.Renounce(index, coordinator.epoch)
        if session_id == self._core.session_id:
            answer = await self._async_on_renounce(session_id, message)
        else:
            reply = await self._peers.async_request(session_id, message, PEER_TIMEOUT_MS)
            if not isinstance(reply, Ok):
                return ""
            answer = reply.ok_value
        now = self._clock.now()
        if coordinator.takeover is not None:
            coordinator.takeover.renounce(session_id, now)
        handover = messages.decode_handover(answer)
        if handover.epoch == coordinator.epoch - 1:
            self._coordinators.restore(coordinator, handover, now)
            reason = "the old home handed over its buckets"
            self._core.journal.record(Subject.PARTITION, str(index), "limits ready", reason)
        return session_id

    async def _async_on_renounce(self, sender: str, message: PeerMessage) -> PeerMessage:
        customers = self._find_customers(message.partition)
        handover = self._renounce(message, customers)
        # A partition that moves on during a takeover would otherwise wait for the end of all old leases.
        while handover.epoch == NO_EPOCH and self._coordinators.is_taking_over(
            message.partition, message.epoch - 1, self._clock.now()
        ):
            await self._clock.async_sleep(HANDOVER_POLL_MS)
            handover = self._renounce(message, customers)
        return messages.encode_handover(handover)

    def _renounce(self, message: PeerMessage, customers: list[Customer]) -> Handover:
        now = self._clock.now()
        return self._coordinators.renounce(message.partition, message.epoch, customers, now)

    async def _async_on_support(self, sender: str, message: PeerMessage) -> PeerMessage:
        return ttypes.Supported(self._coordinators.may_support(message.partition, message.epoch))

    async def _async_maintain_leases(self) -> None:
        while True:
            for coordinator in self._coordinators.find_owned():
                if coordinator.is_ready(self._clock.now()) and self._find_customers(
                    coordinator.partition.index
                ):
                    self._maintain_lease(coordinator)
            await self._clock.async_sleep(SUPPORT_INTERVAL_MS)

    def _maintain_lease(self, coordinator: Coordinator) -> None:
        age = self._clock.now() - coordinator.partition.confirmed_at
        if age >= SUPPORT_AFTER_MS:
            for session_id in coordinator.lease.supporters:
                self._spawn(self._async_request_support(coordinator, session_id))
        newest = coordinator.lease.newest_supporters
        serving = self._find_serving()
        wanted_count = min(SUPPORTERS, len(serving))
        stale = len(newest) < wanted_count or not newest <= set(serving)
        if stale and wanted_count and age < STORE_LEASE_MS and not coordinator.writing_supporters:
            self._spawn(self._async_write_supporters(coordinator, serving))

    def _find_serving(self) -> dict[str, str]:
        """Return the data centre of every other serving member."""
        members = self._core.blackboard.read(MEMBERS).by_session.items()
        return {
            session_id: member.data_centre
            for session_id, member in members
            if member.state is MemberState.SERVING and session_id != self._core.session_id
        }

    async def _async_request_support(self, coordinator: Coordinator, session_id: str) -> None:
        requested_at = self._clock.now()
        message = ttypes.SupportAsk(coordinator.partition.index, coordinator.epoch)
        answer = await self._peers.async_request(session_id, message, PEER_TIMEOUT_MS)
        if isinstance(answer, Ok) and answer.ok_value.granted:
            coordinator.lease.record_support(session_id, requested_at)

    async def _async_write_supporters(
        self, coordinator: Coordinator, serving: Mapping[str, str]
    ) -> None:
        index = coordinator.partition.index
        chosen = choose_supporters(index, serving, self._core.settings.data_centre)
        coordinator.writing_supporters = True
        coordinator.lease.begin_change(chosen)
        change = Change(SUPPORTERS_RECORD, " ".join(chosen).encode())
        try:
            written = await coordinator.partition.async_commit([change], COMMIT_TIMEOUT_MS)
        finally:
            coordinator.writing_supporters = False
        if isinstance(written, Ok):
            coordinator.lease.end_change(written=True)
        elif isinstance(written.err_value, CommitRefused):
            coordinator.lease.end_change(written=False)


def choose_supporters(
    index: int, members: Mapping[str, str], own_data_centre: str
) -> tuple[str, ...]:
    """Return up to `SUPPORTERS` sessions, spread over data centres.

    The choice is stable as long as the chosen sessions remain members.

    >>> choose_supporters(0, {"a": "x", "b": "y", "c": "z", "d": "x"}, "x")[:2] in (
    ...     ("b", "c"), ("c", "b"))
    True
    """

    def rank(session_id: str) -> bytes:
        return hashlib.sha256(f"{index}/{session_id}".encode()).digest()

    # The loss of a data centre must not take the coordinator and most supporters at once.
    used = Counter({own_data_centre: 1})
    chosen: list[str] = []
    for _ in range(min(SUPPORTERS, len(members))):
        rest = [session_id for session_id in members if session_id not in chosen]
        best = min(rest, key=lambda session_id: (used[members[session_id]], rank(session_id)))
        chosen.append(best)
        used[members[best]] += 1
    return tuple(chosen)
