"""Updates the blackboard sections of membership from the store and from gossip."""

import asyncio
import logging
from typing import Any, Final

from result import Err

from goldcreststair.components.configuration.models import CONFIGURATION
from goldcreststair.components.membership.const import RETRY_MS, STORE_SILENT_MS
from goldcreststair.components.membership.gossip import Gossiper
from goldcreststair.components.membership.loads import LoadTable
from goldcreststair.components.membership.models import (
    MEMBER_LOADS,
    MEMBERS,
    PEER_VERSION,
    MemberLoads,
    Members,
    MemberState,
    PeerVersion,
)
from goldcreststair.components.membership.probe import ProcessProbe
from goldcreststair.components.membership.session import OwnSession
from goldcreststair.components.membership.shared_sets import SharedSetTable
from goldcreststair.components.membership.table import MemberTable, Record
from goldcreststair.components.membership.watcher import Watcher
from goldcreststair.components.peers.protocols import ENDPOINT_LINKS, Endpoint
from goldcreststair.core import Core
from goldcreststair.online_pressure import ONLINE_PRESSURE

_LOGGER = logging.getLogger(__name__)

MAX_JOIN_TRIES: Final = 3
LOADS_MS: Final = 1000


class MembershipService:
    """Implements `Membership`."""

    def __init__(self, core: Core) -> None:
        """Open the sections; they contain only this VM until the store or a peer responds."""
        self._core = core
        self._peers = core.get(ENDPOINT_LINKS)
        self.table = MemberTable(core.clock)
        self.sets = SharedSetTable(core.clock, lambda items: self._gossip.push_items(items))
        self.loads = LoadTable()
        self.session = OwnSession(core, self._on_own_change)
        self.watcher = Watcher(core, self.table, self.apply_record)
        self._gossip = Gossiper(core, self)
        self._probe = ProcessProbe(core, self.table, self.watcher.async_expire)
        self._synchronised = False
        self._tasks: list[asyncio.Task[Any]] = []
        board = core.blackboard
        self._members = board.open_section(MEMBERS, self._describe())
        self._loads = board.open_section(MEMBER_LOADS, MemberLoads())
        self._peer_version = board.open_section(PEER_VERSION, PeerVersion())
        self._unsubscribe = board.subscribe(CONFIGURATION, lambda _: self._gossip.push())

    async def async_start(self) -> None:
        """Register and read the fleet once; if the store fails, both are retried later."""
        await self.watcher.async_step()
        first = await self.session.async_step()
        if isinstance(first, Err):
            _LOGGER.warning("Session is not registered yet: %s", first.err_value.message)
        self._synchronised = self.watcher.store_read_at is not None and not self._list_others()
        for run in (
            self.session.async_run,
            self.watcher.async_run,
            self._probe.async_run,
            self._gossip.async_run,
            self._async_join,
            self._async_watch_loads,
        ):
            self._tasks.append(asyncio.create_task(run()))

    async def async_close(self) -> None:
        """End the session, so that other VMs need not wait for it to expire."""
        if not self._tasks:
            return
        self._unsubscribe()
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
        await self.session.async_end()
        self._gossip.push_record(Record(self._core.session_id, 0, None))
        self._gossip.flush()
        await asyncio.sleep(0)
        self._gossip.close()

    def set_state(self, state: MemberState) -> None:
        """Change this VM's state and send it to all gossip partners at once."""
        self.session.set_state(state)

    def is_isolated(self) -> bool:
        """Return whether this VM may have missed recent withdrawals."""
        if not self._synchronised:
            return True
        store_read_at = self.watcher.store_read_at or 0
        if self._core.clock.now() - store_read_at <= STORE_SILENT_MS:
            return False
        # Members that died during a store outage stay in the list. If some of the partners are such
        # members, links that other VMs opened count in their place.
        return self._peers.count_reachable() * 2 < len(self._gossip.choose_partners())

    def find_slot(self) -> int:
        """Return this VM's slot, or -1 if another VM may hold it now."""
        return self.session.find_slot()

    def read_version(self) -> int:
        """Return the configuration version in force here."""
        configuration = self._core.blackboard.find(CONFIGURATION)
        return configuration.version if configuration else 0

    def record_peer_version(self, version: int, session_id: str) -> None:
        """Record the configuration version of another daemon if it is newer."""
        if session_id and version > self.read_version():
            self._peer_version.write(PeerVersion(version, session_id))

    def apply_record(self, record: Record) -> None:
        """Apply a session's record from the store or from a peer."""
        own = self._core.session_id
        if record.session_id == own:
            # Another VM has ended this session while this VM was paused or cut off.
            if record.member is None and self.session.registered:
                self.session.renew()
            return
        if self.table.merge(record):
            self._gossip.push_record(record)
            self._publish()

    def _on_own_change(self, record: Record) -> None:
        if record.member is None or self.session.registered:
            self.table.merge(record)
            self._gossip.push_record(record)
        self._publish()

    def _publish(self) -> None:
        described = self._describe()
        self.loads.set_members(described.by_session)
        self._members.write(described)

    def _describe(self) -> Members:
        own = self.session.member
        return Members(own.session_id, {**self.table.live, own.session_id: own})

    async def _async_join(self) -> None:
        """Fetch the state that is not in the store from a peer, until this VM is synchronised."""
        tries = 0
        while not (self._synchronised and self.session.registered):
            endpoints = self._list_others() or await self._async_list_listed()
            # No VM gossips to one without a row: until its row is written, it fetches from peers.
            fetched = await self._async_fetch_any(endpoints)
            tries += 1
            # After the loss of all VMs only rows of dead VMs are left for a while. If the store
            # responds and no peer does, there is no state beyond that in the store.
            alone = not endpoints or tries >= MAX_JOIN_TRIES
            if fetched or (alone and self.watcher.store_read_at is not None):
                self._synchronised = True
            await self._core.clock.async_sleep(RETRY_MS)

    async def _async_fetch_any(self, endpoints: list[Endpoint]) -> bool:
        self._core.random.shuffle(endpoints)
        for endpoint in endpoints[:MAX_JOIN_TRIES]:
            if await self._gossip.async_fetch(endpoint):
                return True
        return False

    def _list_others(self) -> list[Endpoint]:
        own = self._core.session_id
        return [
            Endpoint(member.address, member.peer_port, member.session_id)
            for member in self.table.live.values()
            if member.session_id != own
        ]

    async def _async_list_listed(self) -> list[Endpoint]:
        settings = self._core.settings
        if self.watcher.store_read_at is not None or not settings.peer_port:
            return []
        listed = await self._core.platform.vm_list.async_list()
        if isinstance(listed, Err):
            return []
        others = [vm.address for vm in listed.ok_value if vm.address != settings.address]
        return [Endpoint(address, settings.peer_port) for address in others]

    async def _async_watch_loads(self) -> None:
        while True:
            await self._core.clock.async_sleep(LOADS_MS)
            pressure = self._core.blackboard.find(ONLINE_PRESSURE)
            if pressure is not None:
                self.loads.set_own(self.session.member.slot, pressure.in_flight)
            self._loads.write(self.loads.describe())
            self.sets.prune()
