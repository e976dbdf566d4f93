"""This VM's own session: its row, heartbeats and slot."""

import asyncio
import dataclasses
import logging
from collections.abc import Callable
from typing import Final

from result import Err, Ok, Result

from goldcreststair.clock import Millis
from goldcreststair.components.membership.const import (
    PAGE_ROWS,
    RETRY_MS,
    ROW_SLOT,
    SESSION_HEARTBEAT_MS,
    SLOT_LEASE_MS,
)
from goldcreststair.components.membership.errors import MembershipError, SessionLost
from goldcreststair.components.membership.models import Member, MemberState
from goldcreststair.components.membership.rows import (
    SessionRow,
    decode_row,
    encode_row,
    name_row,
)
from goldcreststair.components.membership.table import Record
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.core import Core
from goldcreststair.store.errors import PlatformError, RowConflict
from goldcreststair.store.models import Row, RowWrite

_LOGGER = logging.getLogger(__name__)


RENEWAL_SEPARATOR: Final = "-"


def is_renewed(session_id: str) -> bool:
    """Return whether the session's process had an earlier session that was ended.

    >>> is_renewed("00c5"), is_renewed("00c5-1")
    (False, True)
    """
    return RENEWAL_SEPARATOR in session_id


def name_slot(slot: int) -> str:
    """Return the key of a slot's row; its value is the holder's session id."""
    return f"{ROW_SLOT}{slot:06d}"


def find_free_slot(rows: tuple[Row, ...]) -> int:
    """Return the lowest slot without a row.

    >>> find_free_slot((Row("slot/000000", 1, b"a"), Row("slot/000002", 1, b"b")))
    1
    """
    taken = {row.key for row in rows}
    return next(slot for slot in range(len(rows) + 1) if name_slot(slot) not in taken)


class OwnSession:
    """Registers, writes heartbeats, and takes a new session id when the old one has expired."""

    def __init__(self, core: Core, on_change: Callable[[Record], None]) -> None:
        """Create the session; `on_change` is called with every changed record."""
        self._core = core
        self._on_change = on_change
        self._first_id = core.session_id
        self._renewals = 0
        self._heartbeat = 0
        self._row_version = 0
        self._version = 1
        self._wake = asyncio.Event()
        settings = core.settings
        self.member = Member(
            core.session_id,
            settings.address,
            core.http_port,
            core.peer_port,
            settings.data_centre,
            settings.region,
            MemberState.STARTING,
        )
        self.confirmed_at: Millis | None = None
        """Start of the last successful store call; None before the first."""

    @property
    def registered(self) -> bool:
        """Return whether this session is known to have a row."""
        return self._row_version > 0

    def find_slot(self) -> int:
        """Return the slot, or -1 if the last confirmation is too old to rule out another holder.

        If a VM is paused or cut off from the store, others expire its session after 30 s of their
        reads and assign its slot to another VM 60 s later. Two VMs would then spend the same static
        share. It has to be called at every use; this VM's clock then includes a pause that has just
        ended.
        """
        if self.confirmed_at is None:
            return -1
        age_ms = self._core.clock.now() - self.confirmed_at
        return self.member.slot if age_ms < SLOT_LEASE_MS else -1

    @property
    def record(self) -> Record:
        """Return the record of this session that is sent to other VMs."""
        return Record(self.member.session_id, self._version, self.member)

    async def async_run(self) -> None:
        """Register and write heartbeats until cancelled."""
        while True:
            stepped = await self.async_step()
            if isinstance(stepped, Err):
                _LOGGER.info("Session not confirmed by the store: %s", stepped.err_value.message)
            delay_ms = RETRY_MS if isinstance(stepped, Err) else SESSION_HEARTBEAT_MS
            try:
                async with asyncio.timeout(delay_ms / MS_PER_SECOND):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()

    async def async_step(self) -> Result[None, MembershipError]:
        """Register or write one heartbeat."""
        began = self._core.clock.now()
        step = self._async_send_heartbeat if self.registered else self._async_register
        stepped = await step()
        if isinstance(stepped, Ok):
            self.confirmed_at = began
        elif isinstance(stepped.err_value, SessionLost):
            self.renew()
        return stepped

    def set_state(self, state: MemberState) -> None:
        """Change the state and write it as soon as the store accepts it."""
        if self.member.state != state:
            self._change(dataclasses.replace(self.member, state=state))
            self._wake.set()

    def renew(self) -> None:
        """Take a new session id; the old session has ended for other VMs and must not act again."""
        self._renewals += 1
        _LOGGER.warning(
            "Session %s of this VM has expired; registering a new one", self.member.session_id
        )
        self._on_change(Record(self.member.session_id, 0, None))
        self._core.session_id = f"{self._first_id}{RENEWAL_SEPARATOR}{self._renewals}"
        self._heartbeat = self._row_version = 0
        self._version = 1
        member = dataclasses.replace(self.member, session_id=self._core.session_id, slot=-1)
        self.member = member
        self._on_change(self.record)
        self._wake.set()

    async def async_end(self) -> None:
        """Remove the row and free the slot; if this fails, the watchers do it later."""
        if not self.registered:
            return
        key = name_row(self.member.session_id)
        writes = [RowWrite(key, self._row_version, None)]
        if self.member.slot >= 0:
            writes.append(RowWrite(name_slot(self.member.slot), 1, None))
        await self._core.platform.table.async_write(writes)
        self._row_version = 0

    async def _async_register(self) -> Result[None, MembershipError]:
        table = self._core.platform.table
        key = name_row(self.member.session_id)
        own = await table.async_read(key)
        if isinstance(own, Err):
            return Err(MembershipError(own.err_value.message))
        # An earlier write may have taken effect although its response was lost.
        if own.ok_value is not None:
            self._adopt_row(own.ok_value)
            return Ok(None)
        slots = await table.async_scan(ROW_SLOT, limit=PAGE_ROWS)
        if isinstance(slots, Err):
            return Err(MembershipError(slots.err_value.message))
        slot = find_free_slot(slots.ok_value)
        state = self._state_when_registered()
        member = dataclasses.replace(self.member, slot=slot, state=state)
        row = SessionRow(member, self._heartbeat, self._version + 1)
        # Both rows are written in one transaction, so that two VMs cannot get the same slot.
        writes = [
            RowWrite(key, 0, encode_row(row)),
            RowWrite(name_slot(slot), 0, member.session_id.encode()),
        ]
        written = await table.async_write(writes)
        if isinstance(written, Err):
            return Err(MembershipError(written.err_value.message))
        self._row_version = written.ok_value[0]
        self._change(member)
        return Ok(None)

    async def _async_send_heartbeat(self) -> Result[None, MembershipError]:
        row = SessionRow(self.member, self._heartbeat + 1, self._version)
        write = RowWrite(name_row(self.member.session_id), self._row_version, encode_row(row))
        written = await self._core.platform.table.async_write([write])
        if isinstance(written, Err):
            return self._interpret_error(written.err_value)
        self._row_version = written.ok_value[0]
        self._heartbeat += 1
        return Ok(None)

    def _interpret_error(self, error: PlatformError) -> Result[None, MembershipError]:
        if not isinstance(error, RowConflict):
            return Err(MembershipError(error.message))
        if error.current is None:
            return Err(SessionLost("the session row is gone"))
        # Only this VM writes this row, so an earlier write took effect and its response was lost.
        self._row_version = error.current.version
        self._heartbeat = decode_row(error.current.value).heartbeat
        return Err(MembershipError("an earlier heartbeat took effect, but its response was lost"))

    def _adopt_row(self, row: Row) -> None:
        stored = decode_row(row.value)
        self._row_version, self._heartbeat = row.version, stored.heartbeat
        slot, state = stored.member.slot, self._state_when_registered()
        self._change(dataclasses.replace(self.member, slot=slot, state=state))

    def _state_when_registered(self) -> MemberState:
        starting = self.member.state is MemberState.STARTING
        return MemberState.SERVING if starting else self.member.state

    def _change(self, member: Member) -> None:
        self.member = member
        self._version += 1
        self._on_change(self.record)
