"""This daemon's session in the store, its heartbeat, and the sessions of those that are gone."""

import asyncio
import logging
from typing import Protocol

from result import Err, Ok

from goldcreststair.components.fleet.const import (
    BEACON_INTERVAL_MS,
    HEARTBEAT_READ_MS,
    LEAVE_TIMEOUT_MS,
    TABLE_HEARTBEATS,
    TABLE_SESSIONS,
)
from goldcreststair.components.fleet.controller import FleetController, choose_heartbeat_ms
from goldcreststair.components.fleet.models import FLEET, FleetVm
from goldcreststair.components.fleet.sessions import (
    async_read_parts,
    choose_part,
    decode_session,
    encode_session,
)
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.rows import RowKey, StoredRow, Transaction

_LOGGER = logging.getLogger(__name__)


class FleetFace(Protocol):
    """The fleet as this daemon shows it."""

    def publish(self) -> None:
        """Put the fleet as it stands now on the blackboard."""

    def reads_heartbeats(self) -> bool:
        """Return whether this daemon looks after the heartbeats of silent ones."""


class SessionKeeper:
    """Registers this daemon, and takes those off the list that are gone."""

    def __init__(
        self, core: GatewayCore, own: FleetVm, controller: FleetController, fleet: FleetFace
    ) -> None:
        """Register nothing yet."""
        self.registered = False
        """Whether this daemon's session stands in the store."""
        self._core = core
        self._own = own
        self._controller = controller
        self._fleet = fleet
        self._heartbeat = 0
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Register, and begin to beat and to watch."""
        self._tasks = [
            asyncio.create_task(self._async_beat()),
            asyncio.create_task(self._async_watch()),
        ]

    async def async_close(self) -> None:
        """Stop."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def async_leave(self) -> None:
        """Remove this daemon's rows, so that nobody waits for its silence."""
        gone = Transaction(deletes=(self._row(TABLE_SESSIONS), self._row(TABLE_HEARTBEATS)))
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_MS / MS_PER_SECOND):
                left = await self._core.adapter.store.async_commit(gone)
        except TimeoutError:
            _LOGGER.warning("Session not removed: the store is silent")
            return
        if isinstance(left, Err):
            _LOGGER.warning("Session not removed: %s", left.err_value.message)

    def note_removed(self, session: str) -> None:
        """Take it that a session is gone from the store; this daemon's own goes back."""
        self.registered = self.registered and session != self._own.session

    async def _async_beat(self) -> None:
        store = self._core.adapter.store
        while True:
            self._heartbeat += 1
            if not self.registered:
                self.registered = await self._async_register()
            else:
                beat = (self._row(TABLE_HEARTBEATS), str(self._heartbeat).encode())
                written = await store.async_commit(Transaction(puts=(beat,)))
                if isinstance(written, Ok):
                    self._controller.record_store_contact()
            pause_ms = BEACON_INTERVAL_MS
            if self.registered:
                pause_ms = choose_heartbeat_ms(len(self._core.blackboard.read(FLEET).vms))
            await self._core.clock.async_sleep(pause_ms)

    async def _async_register(self) -> bool:
        """Write this daemon's session, in place of the one that its process had before."""
        store = self._core.adapter.store
        read = await async_read_parts(store, TABLE_SESSIONS)
        if isinstance(read, Err):
            return False
        stale = [row.key for row in read.ok_value.rows if self._is_stale(row)]
        beats = [RowKey(TABLE_HEARTBEATS, key.part, key.key) for key in stale]
        puts = (
            (self._row(TABLE_SESSIONS), encode_session(self._own)),
            (self._row(TABLE_HEARTBEATS), str(self._heartbeat).encode()),
        )
        written = await store.async_commit(Transaction(puts=puts, deletes=(*stale, *beats)))
        if isinstance(written, Err):
            _LOGGER.warning("Session not written: %s", written.err_value.message)
            return False
        self._controller.record_store_contact()
        _LOGGER.info(
            "Session written", extra={"session": self._own.session, "replaced": len(stale)}
        )
        return True

    def _is_stale(self, row: StoredRow) -> bool:
        vm = decode_session(row.value)
        if vm is None:
            return True
        same = (vm.address, vm.peer_port) == (self._own.address, self._own.peer_port)
        return same and vm.session != self._own.session

    async def _async_watch(self) -> None:
        """Read heartbeats while a daemon is silent, and remove those that are gone."""
        while True:
            await self._core.clock.async_sleep(HEARTBEAT_READ_MS)
            parts = frozenset(choose_part(vm) for vm in self._controller.list_quiet())
            if not parts or not self._fleet.reads_heartbeats():
                continue
            read = await async_read_parts(self._core.adapter.store, TABLE_HEARTBEATS, parts)
            if isinstance(read, Err):
                continue
            self._controller.record_store_contact()
            beats = {row.key.key: row.value for row in read.ok_value.rows}
            self._controller.take_heartbeats(beats, parts)
            await self._async_remove_expired()

    async def _async_remove_expired(self) -> None:
        vms = self._core.blackboard.read(FLEET).vms
        for session in self._controller.list_expired():
            if session not in vms:
                continue
            _LOGGER.warning("Daemon gone", extra={"session": session})
            part = choose_part(vms[session])
            rows = tuple(
                RowKey(table, part, session) for table in (TABLE_SESSIONS, TABLE_HEARTBEATS)
            )
            removed = await self._core.adapter.store.async_commit(Transaction(deletes=rows))
            if isinstance(removed, Err):
                _LOGGER.warning("Session of a lost daemon stays: %s", removed.err_value.message)
            self._controller.remove(session)
        self._fleet.publish()

    def _row(self, table: str) -> RowKey:
        return RowKey(table, choose_part(self._own), self._own.session)
