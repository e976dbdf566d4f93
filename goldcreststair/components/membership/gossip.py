"""Gossip: sends changes to partners and detects missed ones by comparing digests."""

import asyncio
from typing import Any, Final, Protocol

from result import Err

from goldcreststair.clock import Millis
from goldcreststair.components.membership.const import (
    COALESCE_MS,
    FETCH_MS,
    FETCH_TIMEOUT_MS,
    GOSSIP_FANOUT,
    GOSSIP_MS,
    MAX_GOSSIP_ENTRIES,
)
from goldcreststair.components.membership.loads import LoadTable
from goldcreststair.components.membership.records import (
    pack_item,
    pack_load,
    pack_record,
    unpack_item,
    unpack_load,
    unpack_record,
)
from goldcreststair.components.membership.ring import choose_partners
from goldcreststair.components.membership.shared_sets import Item, SharedSetTable
from goldcreststair.components.membership.table import MemberTable, Record
from goldcreststair.components.peers.protocols import ENDPOINT_LINKS, Endpoint
from goldcreststair.core import Core
from goldcreststair.wire.generated.membership.ttypes import Everything, FetchAll, Gossip

NUMBER_GOSSIP: Final = 1
NUMBER_FETCH_ALL: Final = 2
NUMBER_EVERYTHING: Final = 3


class GossipState(Protocol):
    """State that gossip sends to and receives from other VMs."""

    table: MemberTable
    sets: SharedSetTable
    loads: LoadTable

    def read_version(self) -> int:
        """Return the configuration version in force here."""

    def record_peer_version(self, version: int, session_id: str) -> None:
        """Record the configuration version of another daemon if it is newer."""

    def apply_record(self, record: Record) -> None:
        """Apply a session's record."""


class Gossiper:
    """Sends changes to all partners at once and digests to some of them each second."""

    def __init__(self, core: Core, state: GossipState) -> None:
        """Register the message types."""
        self._core = core
        self._state = state
        self._peers = core.get(ENDPOINT_LINKS)
        self._records: dict[str, Record] = {}
        self._items: list[Item] = []
        self._flush: Any = None
        self._turn = 0
        self._basis = ("", 0)
        self._partners: tuple[str, ...] = ()
        self._mismatches: dict[str, int] = {}
        self._fetched_at: Millis | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._peers.register(NUMBER_GOSSIP, Gossip, self._async_on_gossip)
        self._peers.register(NUMBER_FETCH_ALL, FetchAll, self._async_on_fetch)
        self._peers.register(NUMBER_EVERYTHING, Everything, None)

    def close(self) -> None:
        """Stop sending."""
        if self._flush is not None:
            self._flush.cancel()
        for task in self._tasks:
            task.cancel()

    def choose_partners(self) -> tuple[str, ...]:
        """Return the sessions this VM gossips to."""
        basis = (self._core.session_id, self._state.table.digest)
        if basis != self._basis:
            self._basis = basis
            self._partners = choose_partners(self._core.session_id, self._state.table.live)
        return self._partners

    def push_record(self, record: Record) -> None:
        """Send a session's record to all partners."""
        self._records[record.session_id] = record
        self._schedule()

    def push_items(self, items: list[Item]) -> None:
        """Send new items to all partners."""
        self._items += items
        self._schedule()

    def push(self) -> None:
        """Send the digests to all partners, for example after a configuration change."""
        self._schedule()

    async def async_run(self) -> None:
        """Gossip until cancelled."""
        while True:
            await self._core.clock.async_sleep(GOSSIP_MS)
            self.tick()

    def tick(self) -> None:
        """Send digests and loads to the next partners in turn."""
        partners = self.choose_partners()
        if not partners:
            return
        message = self._make()
        message.loads = [pack_load(load) for load in self._state.loads.pop_changed()] or None
        for _ in range(min(GOSSIP_FANOUT, len(partners))):
            self._turn += 1
            self._peers.post(partners[self._turn % len(partners)], message)

    def flush(self) -> None:
        """Send the pending records and items."""
        self._flush = None
        message = self._make()
        records = list(self._records.values())[:MAX_GOSSIP_ENTRIES]
        items, self._items = self._items[:MAX_GOSSIP_ENTRIES], self._items[MAX_GOSSIP_ENTRIES:]
        for record in records:
            del self._records[record.session_id]
        message.members = [pack_record(record) for record in records]
        message.items = [pack_item(item) for item in items]
        for partner in self.choose_partners():
            self._peers.post(partner, message)
        if self._records or self._items:
            self._schedule()

    async def async_fetch(self, endpoint: Endpoint) -> bool:
        """Fetch another daemon's whole state and send it what it lacks; False if this failed."""
        offset, theirs = 0, []
        while offset >= 0:
            fetched = await self._peers.async_request_at(
                endpoint, FetchAll(offset), FETCH_TIMEOUT_MS
            )
            if isinstance(fetched, Err):
                return False
            page = fetched.ok_value
            theirs += [unpack_record(struct) for struct in page.members]
            self._apply(endpoint.session_id, page)
            offset = page.next_offset
        if endpoint.session_id:
            missing = self._state.table.find_missing(theirs)
            for first in range(0, len(missing), MAX_GOSSIP_ENTRIES):
                message = self._make()
                page_records = missing[first : first + MAX_GOSSIP_ENTRIES]
                message.members = [pack_record(record) for record in page_records]
                self._peers.post(endpoint.session_id, message)
        return True

    def _schedule(self) -> None:
        if self._flush is None:
            self._flush = self._core.clock.call_later(COALESCE_MS, self.flush)

    def _make(self) -> Any:
        state = self._state
        return Gossip(state.read_version(), state.table.digest, state.sets.digest)

    async def _async_on_gossip(self, session_id: str, message: Any) -> None:
        self._apply(session_id, message)
        state = self._state
        state.loads.merge(unpack_load(struct) for struct in message.loads or ())
        same = (message.member_digest, message.item_digest) == (
            state.table.digest,
            state.sets.digest,
        )
        # Changes in flight make the digests differ for a moment; only a lasting difference means
        # that a change was missed.
        if same:
            self._mismatches.pop(session_id, None)
            return
        count = self._mismatches[session_id] = self._mismatches.get(session_id, 0) + 1
        if count >= 2:
            self._fetch_soon(session_id)

    def _fetch_soon(self, session_id: str) -> None:
        now = self._core.clock.now()
        member = self._state.table.live.get(session_id)
        if member is None or (self._fetched_at is not None and now - self._fetched_at < FETCH_MS):
            return
        self._fetched_at = now
        self._mismatches = {}
        self._spawn(self.async_fetch(Endpoint(member.address, member.peer_port, session_id)))

    def _apply(self, session_id: str, message: Any) -> None:
        for struct in message.members or ():
            self._state.apply_record(unpack_record(struct))
        self._state.sets.merge(unpack_item(struct) for struct in message.items or ())
        self._state.record_peer_version(message.configuration_version, session_id)

    async def _async_on_fetch(self, session_id: str, message: Any) -> Any:
        state = self._state
        records = [pack_record(record) for record in state.table.list_records()]
        items = [pack_item(item) for item in state.sets.list_items()]
        first, last = message.offset, message.offset + MAX_GOSSIP_ENTRIES
        end = last if last < len(records) + len(items) else -1
        return Everything(
            state.read_version(),
            records[first:last],
            items[max(0, first - len(records)) : max(0, last - len(records))],
            end,
        )

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
