"""Beacons between daemons, and this daemon's session in the store."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from collections.abc import Set as AbstractSet

from result import Err, Result

from goldcreststair.clock import Millis, TimerHandle
from goldcreststair.components.fleet.changes import log_changes
from goldcreststair.components.fleet.const import (
    BEACON_INTERVAL_MS,
    BEACON_MIN_GAP_MS,
    PAUSE_THRESHOLD_MS,
    RELAYED_MIN_GAP_MS,
    RELAYED_TICK_MS,
    TABLE_SESSIONS,
    TICK_MS,
)
from goldcreststair.components.fleet.controller import (
    FleetController,
    choose_feed_delay_ms,
)
from goldcreststair.components.fleet.dissemination import RelayedLinks
from goldcreststair.components.fleet.models import (
    FLEET,
    OWN_STATE,
    FleetVm,
    OwnState,
    VmState,
)
from goldcreststair.components.fleet.peer_requests import (
    PeerRequestError,
    PeerRequestHandler,
    PeerRequestKind,
    PeerRequests,
)
from goldcreststair.components.fleet.protocols import (
    BatchRunsListener,
    BeaconContributor,
    BeaconListener,
    DatagramKind,
    NoticeHandler,
)
from goldcreststair.components.fleet.session_heartbeat import SessionHeartbeat
from goldcreststair.components.fleet.sessions import PARTS, async_read_parts, decode_session
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.feed import TableFeed
from goldcreststair.store.rows import StoredRow, Version
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
        self._feed = TableFeed(
            core.adapter.store,
            core.clock,
            TABLE_SESSIONS,
            self,
            whole=True,
            read_pause_ms=lambda: choose_feed_delay_ms(len(core.blackboard.read(FLEET).vms)),
            parts=PARTS,
        )
        self._contributors: list[BeaconContributor] = []
        self._beacon_listeners: list[BeaconListener] = []
        self._gone_listeners: list[Callable[[str], None]] = []
        self._handlers: dict[int, NoticeHandler] = {}
        """By the kind of datagram."""
        self._sequence = 0
        self._sequences: dict[str, int] = {}
        self._sent_at = Millis(0)
        self._next_tick_at = core.clock.now()
        self._timer: TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._unsubscribe: Callable[[], None] = lambda: None
        self._peer_requests = PeerRequests(core)
        self._with_store_access: set[str] = set()
        """Sessions whose last beacon said that the store answers them."""
        self._session_heartbeat = SessionHeartbeat(core, self._own, self._controller, self)
        self._relayed_links = RelayedLinks(core, self._own, self)
        """In a fleet too large for beacons to all."""

    async def async_start(self) -> None:
        """Announce this daemon and follow the others."""
        self._next_tick_at = self._core.clock.now()
        board = self._core.blackboard
        self._unsubscribe = board.subscribe(OWN_STATE, self._on_own_state)
        await self._core.datagrams.async_listen(
            self._own.address, self._own.peer_port, self._on_datagram
        )
        await self._peer_requests.async_start()
        await self._feed.async_start()
        self._tasks = [
            asyncio.create_task(self._async_tick()),
        ]
        self._session_heartbeat.start()

    async def async_close(self) -> None:
        """Take this daemon's session out of the store, if it answers, and stop."""
        self._unsubscribe()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks.clear()
        await self._session_heartbeat.async_close()
        await self._feed.async_close()
        await self._peer_requests.async_close()
        if self._timer is not None:
            self._timer.cancel()
        self._relayed_links.close()
        self._core.datagrams.close()

    async def async_leave(self) -> None:
        """Remove this daemon's rows, so that nobody waits for its silence."""
        await self._session_heartbeat.async_leave()

    def add_beacon_contributor(self, add_beacon_contributor: BeaconContributor) -> None:
        """Add to every beacon from now on."""
        self._contributors.append(add_beacon_contributor)

    def subscribe_beacons(self, on_beacon: BeaconListener, on_gone: Callable[[str], None]) -> None:
        """Be told of every beacon that is news, and of each daemon that is gone."""
        self._beacon_listeners.append(on_beacon)
        self._gone_listeners.append(on_gone)

    def subscribe_batch_runs(self, on_batch: BatchRunsListener) -> None:
        """In a large fleet, be told which daemons have batch runs where."""
        self._relayed_links.subscribe_batch_runs(on_batch)

    def has_mesh(self) -> bool:
        """Return whether all daemons tell each other; else relays do, and all is known later."""
        return self._controller.has_mesh()

    def schedule_beacon(self) -> None:
        """Send a beacon soon, as something changed that others act on."""
        if self._timer is not None:
            return
        gap_ms = BEACON_MIN_GAP_MS if self._controller.has_mesh() else RELAYED_MIN_GAP_MS
        wait_ms = self._sent_at + gap_ms - self._core.clock.now()
        self._timer = self._core.clock.call_later(max(0, wait_ms), self._send_beacon)

    def notify(self, session: str, kind: DatagramKind, payload: bytes) -> None:
        """Send one datagram, which may be lost."""
        vm = self._core.blackboard.read(FLEET).vms.get(session)
        if vm is not None:
            sender = self._own.session.encode()
            datagram = bytes((kind, len(sender))) + sender + payload
            self._core.datagrams.send(vm.address, vm.peer_port, datagram)

    def notify_by_hash(self, daemon: int, kind: DatagramKind, payload: bytes) -> None:
        """Send one datagram to the daemon whose session has this hash."""
        session = self._relayed_links.find_session(daemon)
        if session:
            self.notify(session, kind, payload)

    def register_request_handler(self, kind: PeerRequestKind, handler: PeerRequestHandler) -> None:
        """Answer the questions of one kind."""
        self._peer_requests.register_request_handler(kind, handler)

    async def async_request(
        self, session: str, kind: PeerRequestKind, payload: bytes, timeout_ms: int
    ) -> Result[bytes, PeerRequestError]:
        """Ask one daemon over a connection of its own."""
        return await self._peer_requests.async_request(session, kind, payload, timeout_ms)

    def list_with_store_access(self) -> list[str]:
        """Return the other daemons that are reachable and whose store answers."""
        states = self._core.blackboard.read(FLEET).states
        return [s for s in states if s in self._with_store_access and states[s] is VmState.READY]

    def register_notice_handler(self, kind: DatagramKind, handler: NoticeHandler) -> None:
        """Handle the datagrams of one kind."""
        self._handlers[kind] = handler

    def is_isolated(self) -> bool:
        """Return whether this daemon hears neither the store nor any other daemon."""
        self._check_paused()
        return self._controller.is_isolated()

    def read_contact_age_ms(self) -> int:
        """Return the ms since the store or another daemon was reachable; 0 if there is no other."""
        self._check_paused()
        return self._controller.read_contact_age_ms()

    def read_all_seen_since(self) -> Millis:
        """Return since when every daemon that counts as reachable has been reachable; now if there is none."""
        return self._controller.read_all_seen_since()

    def is_lost(self, session: str, after_ms: int) -> bool:
        """Return whether a daemon has shown no sign of life for so long, the store included."""
        return self._controller.is_lost(session, after_ms)

    def is_registered(self) -> bool:
        """Return whether this daemon's session stands in the store."""
        return self._session_heartbeat.registered

    async def async_list_sessions(self) -> frozenset[str] | None:
        """Return the sessions that stand in the store now, or None if it does not answer."""
        read = await async_read_parts(self._core.adapter.store, TABLE_SESSIONS)
        if isinstance(read, Err):
            return None
        return frozenset(row.key.key for row in read.ok_value.rows)

    def record_store_contact(self) -> None:
        """Note an answer of the store."""
        self._controller.record_store_contact()

    def take_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Take every session in the store."""
        self._controller.replace_sessions(vm for row in rows if (vm := decode_session(row.value)))
        self.publish()

    def take_changes(self, rows: Sequence[StoredRow]) -> None:
        """Take sessions that came or went."""
        for row in rows:
            if row.deleted:
                # Taken for gone while it was cut off, this daemon lives: its session goes back.
                self._session_heartbeat.mark_removed(row.key.key)
                self._controller.remove(row.key.key)
            elif vm := decode_session(row.value):
                self._controller.add(vm)
        self.publish()

    def note_contact(self, *, reached: bool) -> None:
        """Note whether the store answered."""
        if reached:
            self._controller.record_store_contact()

    def _on_own_state(self, own: OwnState) -> None:
        self._controller.set_own_state(own.state)
        self.publish()
        self.schedule_beacon()

    def publish(self) -> None:
        """Put the fleet as it stands now on the blackboard."""
        before = self._core.blackboard.read(FLEET)
        fleet = self._controller.read_fleet()
        if fleet == before:
            return
        self._section.write(fleet)
        log_changes(before, fleet)
        if fleet.vms.keys() != before.vms.keys():
            self._relayed_links.replace_vms(fleet.vms)
            # Callers of a daemon that has just started wait until a relay tells it of the others.
            if not (self._controller.has_mesh() or self._relayed_links.has_fleet_view()):
                self._relayed_links.tick()
                self.schedule_beacon()
        if fleet.responsive != before.responsive and self._controller.has_mesh():
            # Until the others know whom this daemon hears, their sets differ.
            self.schedule_beacon()
        for session in before.vms.keys() - fleet.vms.keys():
            self._sequences.pop(session, None)
            self._with_store_access.discard(session)
            self._relayed_links.forget(session)
            for on_gone in self._gone_listeners:
                on_gone(session)

    def _send_beacon(self) -> None:
        self._timer = None
        self._sent_at = self._core.clock.now()
        self._sequence += 1
        state = self._core.blackboard.read(OWN_STATE).state
        beacon = Beacon(self._own.session, self._sequence, int(state), 0)
        beacon.store_away = self._core.store_contact.is_away() or None
        mesh = self._controller.has_mesh()
        if mesh:
            beacon.hears = self._controller.read_responsive_hash()
        for add_beacon_contributor in self._contributors:
            add_beacon_contributor(beacon)
        if not mesh:
            self._relayed_links.send(beacon)
            return
        datagram = bytes((DatagramKind.BEACON,)) + encode_struct(beacon)
        for session, vm in self._core.blackboard.read(FLEET).vms.items():
            if session != self._own.session:
                self._core.datagrams.send(vm.address, vm.peer_port, datagram)

    def _on_datagram(self, datagram: bytes, _: str) -> None:
        if not datagram:
            return
        self._check_paused()
        if datagram[0] == DatagramKind.BEACON:
            self._apply_beacon(datagram[1:])
            return
        if datagram[0] == DatagramKind.DIGEST:
            self._relayed_links.apply_digest(datagram[1:])
            return
        handler = self._handlers.get(datagram[0])
        if handler is not None and len(datagram) > 2:
            end = 2 + datagram[1]
            handler(datagram[2:end].decode(errors="replace"), datagram[end:])

    def _apply_beacon(self, encoded: bytes) -> None:
        decoded = decode_struct(Beacon, encoded)
        if isinstance(decoded, Err):
            _LOGGER.warning("Beacon unreadable: %s", decoded.err_value.message)
            return
        beacon = decoded.ok_value
        # Datagrams overtake each other: an older one would bring back runs that have ended.
        if beacon.sequence <= self._sequences.get(beacon.session, 0):
            return
        try:
            state = VmState(beacon.state)
        except ValueError:
            return
        before = self._core.blackboard.read(FLEET).states.get(beacon.session)
        if not self._controller.apply_beacon(beacon.session, state, beacon.hears):
            return
        self._sequences[beacon.session] = beacon.sequence
        if not self._controller.has_mesh():
            # Told to all by the digests, this daemon's among them.
            self._relayed_links.apply_beacon(beacon.session, beacon)
            return
        if beacon.store_away:
            self._with_store_access.discard(beacon.session)
        else:
            self._with_store_access.add(beacon.session)
        if before is not state:
            self.publish()
        self._notify_listeners(beacon.session, beacon)

    def must_read_heartbeats(self) -> bool:
        """Return whether this daemon looks after the heartbeats of silent ones."""
        # One silent daemon would else have hundreds read all heartbeats, twice a second each. The relays
        # tell the others who is lost; where none is followed, everyone looks for itself.
        relayed = not self._controller.has_mesh() and self._relayed_links.has_fleet_view()
        return not relayed or self._relayed_links.is_relay()

    def _notify_listeners(self, session: str, beacon: Beacon) -> None:
        for on_beacon in self._beacon_listeners:
            on_beacon(session, beacon)

    def apply_fleet_view(self, relay: str, beacon: Beacon) -> None:
        """Take what all other daemons say together, as one beacon of a relay."""
        self._notify_listeners(relay, beacon)

    def renew_reachable(self) -> None:
        """Take it that the relay hears the same daemons as before."""
        self._controller.renew_reachable()

    def apply_reachable(
        self, reachable: Mapping[str, VmState], with_store: AbstractSet[str], *, settled: bool
    ) -> None:
        """Take whom the relay hears; one that is not `settled` has not reachable everyone yet."""
        self._controller.apply_reachable(reachable, settled=settled)
        self._with_store_access = set(with_store) - {self._own.session}
        self.publish()

    def apply_unresponsive(self, unresponsive: AbstractSet[str]) -> None:
        """Take which of the daemons reachable keep their part of quotas, as little is reachable of them."""
        self._controller.apply_unresponsive(unresponsive)

    def apply_lost(self, lost_ms: Mapping[str, int]) -> None:
        """Take which daemons the relays know to be gone, and for how long."""
        self._controller.apply_lost(lost_ms)

    def list_lost(self) -> Mapping[str, int]:
        """Return for how long those have been silent whose heartbeats stand still as well."""
        return self._controller.list_lost()

    def set_unreachable(self, *, unreachable: bool) -> None:
        """Take it whether no relay hears this daemon."""
        self._controller.set_unreachable(unreachable=unreachable)

    def drop_fleet_view(self, relay: str) -> None:
        """Forget what a relay said, as another one is followed."""
        if relay:
            for on_gone in self._gone_listeners:
                on_gone(relay)

    async def _async_tick(self) -> None:
        clock = self._core.clock
        while True:
            self._check_paused()
            if clock.now() - self._sent_at >= BEACON_INTERVAL_MS - TICK_MS // 2:
                self.schedule_beacon()
            self.publish()
            tick_ms = TICK_MS
            if not self._controller.has_mesh():
                self._relayed_links.tick()
                tick_ms = RELAYED_TICK_MS
            self._next_tick_at = Millis(clock.now() + tick_ms)
            await clock.async_sleep(tick_ms)

    def _check_paused(self) -> None:
        """Void what this daemon believes if it stood still; called before each decision by age.

        The first thing that a woken process handles may be a caller's request, or a beacon that
        waited in its socket and makes old beliefs look fresh, and not the tick.
        """
        late_ms = self._core.clock.now() - self._next_tick_at
        if late_ms <= PAUSE_THRESHOLD_MS:
            return
        self._next_tick_at = Millis(self._core.clock.now() + TICK_MS)
        _LOGGER.warning("Stood still", extra={"stood_ms": late_ms})
        # It has missed news: who lives, which keys were withdrawn, what others spent. Each belief
        # counts again once it was reachable again.
        self._controller.forget_contacts()
        for on_awake in self._core.on_awake:
            on_awake(late_ms)
