"""Writes this daemon's session and heartbeat rows, and removes the rows of lost daemons."""

import asyncio
import logging
from typing import Protocol

from result import Err, Ok

from goldcreststair.components.features.protocols import FEATURES
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
from goldcreststair.features import Feature
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.rows import RowKey, StoredRow, Transaction

_LOGGER = logging.getLogger(__name__)


class FleetPublisher(Protocol):
    """What the session heartbeat needs from the fleet service."""

    def publish(self) -> None:
        """Write the current fleet to the blackboard."""

    def must_read_heartbeats(self) -> bool:
        """Return whether this daemon checks the heartbeats of silent daemons."""


class SessionHeartbeat:
    """Registers this daemon, and removes the sessions of daemons that are gone."""

    def __init__(
        self,
        core: GatewayCore,
        own: FleetVm,
        controller: FleetController,
        publisher: FleetPublisher,
    ) -> None:
        """Store the collaborators; nothing is written before `start`."""
        self.registered = False
        """Whether this daemon's session is in the store."""
        self._core = core
        self._own = own
        self._controller = controller
        self._publisher = publisher
        self._heartbeat_count = 0
        self._written_session = b""
        """This daemon's session row as last written."""
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start to register, to write heartbeats and to check those of silent daemons."""
        self._tasks = [
            asyncio.create_task(self._async_write_heartbeats()),
            asyncio.create_task(self._async_check_silent()),
        ]

    async def async_close(self) -> None:
        """Cancel the background tasks."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()

    async def async_leave(self) -> None:
        """Remove this daemon's rows, so that others do not wait for its session to time out."""
        deletion = Transaction(
            deletes=(self._make_key(TABLE_SESSIONS), self._make_key(TABLE_HEARTBEATS))
        )
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_MS / MS_PER_SECOND):
                deleted = await self._core.adapter.store.async_commit(deletion)
        except TimeoutError:
            _LOGGER.warning("Session not removed: no answer from the store in time")
            return
        if isinstance(deleted, Err):
            _LOGGER.warning("Session not removed: %s", deleted.err_value.message)

    def mark_removed(self, session: str) -> None:
        """Handle the removal of a session; if it is this daemon's own, it is written again."""
        self.registered = self.registered and session != self._own.session

    async def _async_write_heartbeats(self) -> None:
        store = self._core.adapter.store
        while True:
            self._heartbeat_count += 1
            if not self.registered:
                self.registered = await self._async_register()
            else:
                session = self._encode_session()
                written = await store.async_commit(Transaction(puts=self._make_puts(session)))
                if isinstance(written, Ok):
                    self._written_session = session
                    self._controller.record_store_contact()
            pause_ms = BEACON_INTERVAL_MS
            if self.registered:
                pause_ms = choose_heartbeat_ms(len(self._core.blackboard.read(FLEET).vms))
            await self._core.clock.async_sleep(pause_ms)

    async def _async_register(self) -> bool:
        """Write this daemon's session, replacing those of earlier processes at its address."""
        store = self._core.adapter.store
        read = await async_read_parts(store, TABLE_SESSIONS)
        if isinstance(read, Err):
            return False
        stale = [row.key for row in read.ok_value.rows if self._is_stale(row)]
        heartbeats = [RowKey(TABLE_HEARTBEATS, key.part, key.key) for key in stale]
        session, self._written_session = self._encode_session(), b""
        puts = self._make_puts(session)
        written = await store.async_commit(Transaction(puts=puts, deletes=(*stale, *heartbeats)))
        if isinstance(written, Err):
            _LOGGER.warning("Session not written: %s", written.err_value.message)
            return False
        self._written_session = session
        self._controller.record_store_contact()
        _LOGGER.info(
            "Session written", extra={"session": self._own.session, "replaced": len(stale)}
        )
        return True

    def _encode_session(self) -> bytes:
        """Return this daemon's session row, with the services for which it keeps a feature active.

        A daemon that returns after a loss of all VMs then knows them before the first answer.
        """
        features = self._core.get(FEATURES)
        shared = [s for s in features.list_shared() if features.is_active(Feature.FLEET_RETURN, s)]
        return encode_session(self._own, shared)

    def _make_puts(self, session: bytes) -> tuple[tuple[RowKey, bytes], ...]:
        """Return the rows to write: the heartbeat, and the session row if it has changed."""
        heartbeat = (self._make_key(TABLE_HEARTBEATS), str(self._heartbeat_count).encode())
        if session == self._written_session:
            return (heartbeat,)
        return (self._make_key(TABLE_SESSIONS), session), heartbeat

    def _is_stale(self, row: StoredRow) -> bool:
        vm = decode_session(row.value)
        if vm is None:
            return True
        same = (vm.address, vm.peer_port) == (self._own.address, self._own.peer_port)
        return same and vm.session != self._own.session

    async def _async_check_silent(self) -> None:
        """Read heartbeats while a daemon is unresponsive, and remove sessions of lost daemons."""
        while True:
            await self._core.clock.async_sleep(HEARTBEAT_READ_MS)
            parts = frozenset(choose_part(vm) for vm in self._controller.list_unresponsive())
            if not parts or not self._publisher.must_read_heartbeats():
                continue
            read = await async_read_parts(self._core.adapter.store, TABLE_HEARTBEATS, parts)
            if isinstance(read, Err):
                continue
            self._controller.record_store_contact()
            heartbeats = {row.key.key: row.value for row in read.ok_value.rows}
            self._controller.apply_heartbeats(heartbeats, parts)
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
                _LOGGER.warning(
                    "Session of a lost daemon not removed: %s", removed.err_value.message
                )
            self._controller.remove(session)
        self._publisher.publish()

    def _make_key(self, table: str) -> RowKey:
        return RowKey(table, choose_part(self._own), self._own.session)
