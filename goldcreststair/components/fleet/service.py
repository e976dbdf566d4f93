"""Beacons between daemons, and this daemon's session in the store."""

import asyncio
import logging
from collections.abc import Callable, Sequence

from result import Err, Ok, Result

from goldcreststair.clock import Millis, TimerHandle
from goldcreststair.components.fleet.asks import AskError, AskKind, OnAsk, PeerAsks
from goldcreststair.components.fleet.const import (
    BEACON_FAN_OUT,
    BEACON_INTERVAL_MS,
    BEACON_MIN_GAP_MS,
    HEARTBEAT_READ_MS,
    LEAVE_TIMEOUT_MS,
    STAND_STILL_MS,
    TABLE_HEARTBEATS,
    TABLE_SESSIONS,
    TICK_MS,
)
from goldcreststair.components.fleet.controller import FleetController, choose_heartbeat_ms
from goldcreststair.components.fleet.models import (
    FLEET,
    OWN_STATE,
    Fleet,
    FleetVm,
    OwnState,
    VmState,
)
from goldcreststair.components.fleet.protocols import (
    Contribute,
    DatagramKind,
    OnBeacon,
    OnNotice,
)
from goldcreststair.components.fleet.sessions import decode_session, encode_session
from goldcreststair.const import MS_PER_SECOND
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.feed import TableFeed
from goldcreststair.store.reading import async_read_all
from goldcreststair.store.rows import RowKey, RowRange, StoredRow, Transaction
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import Beacon

_LOGGER = logging.getLogger(__name__)


class FleetService:
    """Implements `FleetLinks`."""

    def __init__(self, core: GatewayCore) -> None:
        """Know only this daemon; nothing runs yet."""
        settings = core.settings
        self._core = core
        self._own = FleetVm(
            core.session_id,
            settings.address,
            settings.peer_port,
            settings.front,
            settings.data_centre,
            settings.region,
        )
        self._controller = FleetController(core.clock, self._own)
        self._section = core.blackboard.open_section(FLEET, self._controller.read_fleet())
        self._feed = TableFeed(core.adapter.store, core.clock, TABLE_SESSIONS, self, whole=True)
        self._contributors: list[Contribute] = []
        self._watchers: list[OnBeacon] = []
        self._gone_watchers: list[Callable[[str], None]] = []
        self._handlers: dict[DatagramKind, OnNotice] = {}
        self._sequence = 0
        self._turn = core.random.randrange(1 << 16)
        """Where the daemons that the next beacon goes to begin, in a fleet too large for one beacon."""
        self._heard: dict[str, int] = {}
        self._sent_at = Millis(0)
        self._expected_at = core.clock.now()
        self._timer: TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._unsubscribe: Callable[[], None] = lambda: None
        self._heartbeat = 0
        self._asks = PeerAsks(core)
        self._with_store: set[str] = set()
        """Sessions whose last beacon said that the store answers them."""
        self._registered = False

    async def async_start(self) -> None:
        """Announce this daemon and follow the others."""
        self._expected_at = self._core.clock.now()
        board = self._core.blackboard
        self._unsubscribe = board.subscribe(OWN_STATE, self._on_own_state)
        await self._core.datagrams.async_listen(
            self._own.address, self._own.peer_port, self._on_datagram
        )
        await self._asks.async_start()
        await self._feed.async_start()
        self._tasks = [
            asyncio.create_task(self._async_beat()),
            asyncio.create_task(self._async_watch()),
            asyncio.create_task(self._async_tick()),
        ]

    async def async_close(self) -> None:
        """Take this daemon's session out of the store, if it answers, and stop."""
        self._unsubscribe()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        await self._feed.async_close()
        await self._asks.async_close()
        if self._timer is not None:
            self._timer.cancel()
        self._core.datagrams.close()

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

    def contribute(self, contribute: Contribute) -> None:
        """Add to every beacon from now on."""
        self._contributors.append(contribute)

    def watch(self, on_beacon: OnBeacon, on_gone: Callable[[str], None]) -> None:
        """Be told of every beacon that is news, and of each daemon that is gone."""
        self._watchers.append(on_beacon)
        self._gone_watchers.append(on_gone)

    def announce(self) -> None:
        """Send a beacon soon, as something changed that others act on."""
        if self._timer is not None:
            return
        wait_ms = self._sent_at + BEACON_MIN_GAP_MS - self._core.clock.now()
        self._timer = self._core.clock.call_later(max(0, wait_ms), self._send_beacon)

    def notify(self, session: str, kind: DatagramKind, payload: bytes) -> None:
        """Send one datagram, which may be lost."""
        vm = self._core.blackboard.read(FLEET).vms.get(session)
        if vm is not None:
            sender = self._own.session.encode()
            datagram = bytes((kind, len(sender))) + sender + payload
            self._core.datagrams.send(vm.address, vm.peer_port, datagram)

    def on_ask(self, kind: AskKind, handler: OnAsk) -> None:
        """Answer the questions of one kind."""
        self._asks.on_ask(kind, handler)

    async def async_ask(
        self, session: str, kind: AskKind, question: bytes, timeout_ms: int
    ) -> Result[bytes, AskError]:
        """Ask one daemon over a connection of its own."""
        return await self._asks.async_ask(session, kind, question, timeout_ms)

    def list_with_store(self) -> list[str]:
        """Return the other daemons that are heard and whose store answers."""
        states = self._core.blackboard.read(FLEET).states
        return [s for s in states if s in self._with_store and states[s] is VmState.READY]

    def on_notice(self, kind: DatagramKind, handler: OnNotice) -> None:
        """Handle the datagrams of one kind."""
        self._handlers[kind] = handler

    def is_isolated(self) -> bool:
        """Return whether this daemon hears neither the store nor any other daemon."""
        self._check_awake()
        return self._controller.is_isolated()

    def read_contact_age_ms(self) -> int:
        """Return the ms since the store or another daemon was heard; 0 if there is no other."""
        self._check_awake()
        return self._controller.read_contact_age_ms()

    def read_all_heard_at(self) -> Millis:
        """Return since when every daemon that counts as heard has been heard; now if there is none."""
        return self._controller.read_all_heard_at()

    def is_lost(self, session: str, after_ms: int) -> bool:
        """Return whether a daemon has shown no sign of life for so long, the store included."""
        return self._controller.is_lost(session, after_ms)

    def is_registered(self) -> bool:
        """Return whether this daemon's session stands in the store."""
        return self._registered

    async def async_list_sessions(self) -> frozenset[str] | None:
        """Return the sessions that stand in the store now, or None if it does not answer."""
        read = await async_read_all(self._core.adapter.store, RowRange(TABLE_SESSIONS))
        if isinstance(read, Err):
            return None
        return frozenset(row.key.key for row in read.ok_value.rows)

    def note_store(self) -> None:
        """Note an answer of the store."""
        self._controller.note_store()

    def take_all(self, rows: Sequence[StoredRow]) -> None:
        """Take every session in the store."""
        self._controller.take_rows(vm for row in rows if (vm := decode_session(row.value)))
        self._publish()

    def take_changes(self, rows: Sequence[StoredRow]) -> None:
        """Take sessions that came or went."""
        for row in rows:
            if row.deleted:
                # Taken for gone while it was cut off, this daemon lives: its session goes back.
                self._registered = self._registered and row.key.key != self._own.session
                self._controller.remove(row.key.key)
            elif vm := decode_session(row.value):
                self._controller.add(vm)
        self._publish()

    def note_contact(self, *, reached: bool) -> None:
        """Note whether the store answered."""
        if reached:
            self._controller.note_store()

    def _on_own_state(self, own: OwnState) -> None:
        self._controller.set_own_state(own.state)
        self._publish()
        self.announce()

    def _publish(self) -> None:
        before = self._core.blackboard.read(FLEET)
        fleet = self._controller.read_fleet()
        if fleet == before:
            return
        self._section.write(fleet)
        _log_changes(before, fleet)
        if fleet.close != before.close and self._controller.has_mesh():
            # Until the others know whom this daemon hears, their sets differ.
            self.announce()
        for session in before.vms.keys() - fleet.vms.keys():
            self._heard.pop(session, None)
            self._with_store.discard(session)
            for on_gone in self._gone_watchers:
                on_gone(session)

    def _send_beacon(self) -> None:
        self._timer = None
        self._sent_at = self._core.clock.now()
        self._sequence += 1
        state = self._core.blackboard.read(OWN_STATE).state
        beacon = Beacon(self._own.session, self._sequence, int(state), 0)
        beacon.store_away = self._core.store_contact.is_away() or None
        if self._controller.has_mesh():
            # Where beacons go to a part of the fleet each time, no two daemons hear the same ones.
            beacon.hears = self._controller.read_hears()
        for contribute in self._contributors:
            contribute(beacon)
        datagram = bytes((DatagramKind.BEACON,)) + encode_struct(beacon)
        for vm in self._choose_targets():
            self._core.datagrams.send(vm.address, vm.peer_port, datagram)

    def _choose_targets(self) -> list[FleetVm]:
        fleet = self._core.blackboard.read(FLEET)
        others = [vm for session, vm in fleet.vms.items() if session != self._own.session]
        if len(others) <= BEACON_FAN_OUT:
            return others
        # All in turn: chosen at random, some would be passed over for longer than a beacon counts.
        begin = self._turn % len(others)
        self._turn = begin + BEACON_FAN_OUT
        return (others[begin:] + others[:begin])[:BEACON_FAN_OUT]

    def _on_datagram(self, datagram: bytes, _: str) -> None:
        if not datagram:
            return
        self._check_awake()
        if datagram[0] == DatagramKind.BEACON:
            self._take_beacon(datagram[1:])
            return
        handler = self._handlers.get(DatagramKind(datagram[0])) if datagram[0] == 2 else None
        if handler is not None and len(datagram) > 2:
            end = 2 + datagram[1]
            handler(datagram[2:end].decode(errors="replace"), datagram[end:])

    def _take_beacon(self, encoded: bytes) -> None:
        decoded = decode_struct(Beacon, encoded)
        if isinstance(decoded, Err):
            _LOGGER.warning("Beacon unreadable: %s", decoded.err_value.message)
            return
        beacon = decoded.ok_value
        # Datagrams overtake each other: an older one would bring back runs that have ended.
        if beacon.sequence <= self._heard.get(beacon.session, 0):
            return
        try:
            state = VmState(beacon.state)
        except ValueError:
            return
        before = self._core.blackboard.read(FLEET).states.get(beacon.session)
        if not self._controller.hear(beacon.session, state, beacon.hears):
            return
        self._heard[beacon.session] = beacon.sequence
        if beacon.store_away:
            self._with_store.discard(beacon.session)
        else:
            self._with_store.add(beacon.session)
        if before is not state:
            self._publish()
        for on_beacon in self._watchers:
            on_beacon(beacon.session, beacon)

    async def _async_tick(self) -> None:
        clock = self._core.clock
        while True:
            self._check_awake()
            self._expected_at = Millis(clock.now() + TICK_MS)
            if clock.now() - self._sent_at >= BEACON_INTERVAL_MS - TICK_MS // 2:
                self.announce()
            self._publish()
            await clock.async_sleep(TICK_MS)

    def _check_awake(self) -> None:
        """Void what this daemon believes if it stood still; called before each decision by age.

        The first thing that a woken process handles may be a caller's request, or a beacon that
        waited in its socket and makes old beliefs look fresh, and not the tick.
        """
        late_ms = self._core.clock.now() - self._expected_at
        if late_ms <= STAND_STILL_MS:
            return
        self._expected_at = Millis(self._core.clock.now() + TICK_MS)
        _LOGGER.warning("Stood still", extra={"stood_ms": late_ms})
        # It has missed news: who lives, which keys were withdrawn, what others spent. Each belief
        # counts again once it was heard again.
        self._controller.void()
        for on_awake in self._core.on_awake:
            on_awake(late_ms)

    async def _async_beat(self) -> None:
        store = self._core.adapter.store
        while True:
            self._heartbeat += 1
            if not self._registered:
                self._registered = await self._async_register()
            else:
                beat = (self._row(TABLE_HEARTBEATS), str(self._heartbeat).encode())
                written = await store.async_commit(Transaction(puts=(beat,)))
                if isinstance(written, Ok):
                    self._controller.note_store()
            pause_ms = BEACON_INTERVAL_MS
            if self._registered:
                pause_ms = choose_heartbeat_ms(len(self._core.blackboard.read(FLEET).vms))
            await self._core.clock.async_sleep(pause_ms)

    async def _async_register(self) -> bool:
        """Write this daemon's session, in place of the one that its process had before."""
        store = self._core.adapter.store
        read = await async_read_all(store, RowRange(TABLE_SESSIONS))
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
        self._controller.note_store()
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
            if not self._controller.has_quiet():
                continue
            read = await async_read_all(self._core.adapter.store, RowRange(TABLE_HEARTBEATS))
            if isinstance(read, Err):
                continue
            self._controller.note_store()
            beats = {row.key.key: row.value for row in read.ok_value.rows}
            self._controller.take_heartbeats(beats)
            await self._async_remove_expired()

    async def _async_remove_expired(self) -> None:
        for session in self._controller.list_expired():
            _LOGGER.warning("Daemon gone", extra={"session": session})
            rows = (RowKey(TABLE_SESSIONS, "", session), RowKey(TABLE_HEARTBEATS, "", session))
            removed = await self._core.adapter.store.async_commit(Transaction(deletes=rows))
            if isinstance(removed, Err):
                _LOGGER.warning("Session of a lost daemon stays: %s", removed.err_value.message)
            self._controller.remove(session)
        self._publish()

    def _row(self, table: str) -> RowKey:
        return RowKey(table, "", self._own.session)


def _log_changes(before: Fleet, after: Fleet) -> None:
    for session in after.vms.keys() - before.vms.keys():
        vm = after.vms[session]
        extra = {"session": session, "address": vm.address, "data_centre": vm.data_centre}
        _LOGGER.info("Daemon known", extra=extra)
    for session in before.vms.keys() - after.vms.keys():
        _LOGGER.info("Daemon dropped", extra={"session": session})
    for session in before.states.keys() - after.states.keys():
        if session in after.vms:
            _LOGGER.warning("Daemon silent", extra={"session": session})
    for session in after.states.keys() - before.states.keys():
        if session in before.vms:
            _LOGGER.info("Daemon heard", extra={"session": session})
