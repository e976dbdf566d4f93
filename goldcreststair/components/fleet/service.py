"""Sends and receives beacons, and publishes the fleet on the blackboard."""

import asyncio
import logging
from collections.abc import Callable, Mapping, Sequence
from collections.abc import Set as AbstractSet

from result import Err, Result

from goldcreststair.clock import Millis, TimerHandle
from goldcreststair.components.features.protocols import FEATURES
from goldcreststair.components.fleet.changes import log_changes
from goldcreststair.components.fleet.const import (
    BEACON_INTERVAL_MS,
    BEACON_MIN_GAP_MS,
    MAX_UNLISTED_DATAGRAM_BYTES,
    NEW_DAEMON_MS,
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
from goldcreststair.components.fleet.echoes import EchoTracker, decode_echo
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
from goldcreststair.components.fleet.sessions import (
    PARTS,
    async_read_parts,
    decode_session,
    decode_shared_services,
)
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.store.feed import TableFeed
from goldcreststair.store.rows import StoredRow, Version
from goldcreststair.wire.codec import encode_struct, split_struct
from goldcreststair.wire.generated.gateway.ttypes import Beacon

_LOGGER = logging.getLogger(__name__)


class FleetService:
    """Implements `FleetLinks`."""

    def __init__(self, core: GatewayCore) -> None:
        """Start with this daemon only; nothing runs before `async_start`."""
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
            with_snapshot=True,
            read_pause_ms=lambda: choose_feed_delay_ms(len(core.blackboard.read(FLEET).vms)),
            parts=PARTS,
        )
        self._contributors: list[BeaconContributor] = []
        self._beacon_listeners: list[BeaconListener] = []
        self._direct_listeners: list[BeaconListener] = []
        self._gone_listeners: list[Callable[[str], None]] = []
        self._handlers: dict[int, NoticeHandler] = {}
        """Handlers by the kind of datagram."""
        self._sequence = 0
        self._sequences: dict[str, int] = {}
        self._sent_at = Millis(0)
        self._started_at = core.clock.now()
        self._next_tick_at = core.clock.now()
        self._timer: TimerHandle | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._unsubscribe: Callable[[], None] = lambda: None
        self._peer_requests = PeerRequests(core)
        self._addresses: frozenset[str] = frozenset()
        """Addresses of the other daemons."""
        self._with_store_access: set[str] = set()
        """Sessions whose last beacon said that the store answers them."""
        self._session_heartbeat = SessionHeartbeat(core, self._own, self._controller, self)
        self._echoes = EchoTracker(core.clock)
        self._relayed_links = RelayedLinks(core, self._own, self, self._echoes)
        """Used in a fleet too large for beacons to all."""

    async def async_start(self) -> None:
        """Register this daemon and start to follow the others."""
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
        """Stop all tasks and close the sockets."""
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
        """Remove this daemon's rows, so that others do not wait for its session to time out."""
        await self._session_heartbeat.async_leave()

    def add_beacon_contributor(self, add_beacon_contributor: BeaconContributor) -> None:
        """Register a callback that adds fields to every beacon."""
        self._contributors.append(add_beacon_contributor)

    def subscribe_beacons(self, on_beacon: BeaconListener, on_gone: Callable[[str], None]) -> None:
        """Register callbacks for every new beacon and for each daemon that is gone."""
        self._beacon_listeners.append(on_beacon)
        self._gone_listeners.append(on_gone)

    def subscribe_direct_beacons(self, on_beacon: BeaconListener) -> None:
        """Register a callback for every new beacon as its daemon sent it."""
        self._direct_listeners.append(on_beacon)

    def list_beacon_receivers(self) -> list[str]:
        """Return the other reachable daemons that receive beacons directly."""
        if not self._controller.has_mesh():
            return self._relayed_links.list_relays()
        states = self._core.blackboard.read(FLEET).states
        return [session for session in states if session != self._own.session]

    def subscribe_batch_runs(self, on_batch: BatchRunsListener) -> None:
        """Register a callback for the batch runs of other daemons; only called in a large fleet."""
        self._relayed_links.subscribe_batch_runs(on_batch)

    def has_mesh(self) -> bool:
        """Return whether every daemon sends beacons to every other one."""
        return self._controller.has_mesh()

    def schedule_beacon(self) -> None:
        """Send a beacon soon, because something changed that other daemons act on."""
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
        """Send one datagram to the daemon whose session has this hash; it may be lost."""
        session = self._relayed_links.find_session(daemon)
        if session:
            self.notify(session, kind, payload)

    def register_request_handler(self, kind: PeerRequestKind, handler: PeerRequestHandler) -> None:
        """Register the handler for requests of one kind."""
        self._peer_requests.register_request_handler(kind, handler)

    async def async_request(
        self, session: str, kind: PeerRequestKind, payload: bytes, timeout_ms: int
    ) -> Result[bytes, PeerRequestError]:
        """Send a request to one daemon over a separate connection and return the response."""
        return await self._peer_requests.async_request(session, kind, payload, timeout_ms)

    def list_with_store_access(self) -> list[str]:
        """Return the other ready daemons that are reachable and have contact with the store."""
        states = self._core.blackboard.read(FLEET).states
        return [s for s in states if s in self._with_store_access and states[s] is VmState.READY]

    def list_without_store_access(self) -> list[str]:
        """Return the other responsive daemons whose last report says that the store does not answer."""
        self.check_paused()
        responsive = self._controller.list_responsive()
        return [session for session in responsive if session not in self._with_store_access]

    def register_notice_handler(self, kind: DatagramKind, handler: NoticeHandler) -> None:
        """Register the handler for datagrams of one kind."""
        self._handlers[kind] = handler

    def is_isolated(self) -> bool:
        """Return whether this daemon has contact with neither the store nor another daemon."""
        self.check_paused()
        return self._controller.is_isolated()

    def read_contact_age_ms(self) -> int:
        """Return the ms since the last contact with store or peers; 0 without other daemons."""
        self.check_paused()
        return self._controller.read_contact_age_ms()

    def read_all_seen_since(self) -> Millis:
        """Return the oldest last-seen time of all responsive daemons; now if there is none."""
        return self._controller.read_all_seen_since()

    def read_lag_ms(self) -> int:
        """Return how long the last reports of the responsive daemons may have taken, ms."""
        return self._controller.read_lag_ms()

    def is_lost(self, session: str, after_ms: int) -> bool:
        """Return whether a daemon has shown no sign of life for `after_ms`, in the store either."""
        return self._controller.is_lost(session, after_ms)

    def is_registered(self) -> bool:
        """Return whether this daemon's session is in the store."""
        return self._session_heartbeat.registered

    async def async_list_sessions(self) -> frozenset[str] | None:
        """Return the sessions that are in the store now, or None if it does not answer."""
        read = await async_read_parts(self._core.adapter.store, TABLE_SESSIONS)
        if isinstance(read, Err):
            return None
        return frozenset(row.key.key for row in read.ok_value.rows)

    def record_store_contact(self) -> None:
        """Record that the store answered."""
        self._controller.record_store_contact()

    def replace_all(self, rows: Sequence[StoredRow], version: Version) -> None:
        """Replace all known sessions by those in the store."""
        self._mark_shared(rows)
        self._controller.replace_sessions(vm for row in rows if (vm := decode_session(row.value)))
        self.publish()

    def apply_changes(self, rows: Sequence[StoredRow]) -> None:
        """Apply sessions that were added to the store or removed."""
        self._mark_shared(rows)
        for row in rows:
            if row.deleted:
                # If this daemon's own session was removed while it was partitioned, the session is
                # written again.
                self._session_heartbeat.mark_removed(row.key.key)
                self._controller.remove(row.key.key)
            elif vm := decode_session(row.value):
                self._controller.add(vm)
        self.publish()

    def _mark_shared(self, rows: Sequence[StoredRow]) -> None:
        """Mark the services that session rows name as on shared machines."""
        names = {name for row in rows for name in decode_shared_services(row.value)}
        for name in sorted(names):
            if self._core.get(FEATURES).mark_shared(name):
                _LOGGER.info("Service on shared machines", extra={"service": name})

    def record_contact(self, *, reached: bool) -> None:
        """Record whether the store answered."""
        if reached:
            self._controller.record_store_contact()

    def _on_own_state(self, own: OwnState) -> None:
        self._controller.set_own_state(own.state)
        self.publish()
        self.schedule_beacon()

    def publish(self) -> None:
        """Write the current fleet to the blackboard."""
        before = self._core.blackboard.read(FLEET)
        fleet = self._controller.read_fleet()
        if fleet == before:
            return
        self._section.write(fleet)
        log_changes(before, fleet)
        if fleet.vms.keys() != before.vms.keys():
            self._addresses = frozenset(
                vm.address for session, vm in fleet.vms.items() if session != self._own.session
            )
            self._relayed_links.replace_vms(fleet.vms)
            # Callers of a daemon that has just started wait until a relay has sent it the fleet
            # view.
            if not (self._controller.has_mesh() or self._relayed_links.has_fleet_view()):
                self._relayed_links.tick()
                self.schedule_beacon()
        if fleet.responsive != before.responsive and self._controller.has_mesh():
            # The others' sets of responsive daemons differ from this one until they receive it.
            self.schedule_beacon()
        for session in before.vms.keys() - fleet.vms.keys():
            self._sequences.pop(session, None)
            self._with_store_access.discard(session)
            self._relayed_links.forget(session)
            self._echoes.forget(session)
            for on_gone in self._gone_listeners:
                on_gone(session)

    def _send_beacon(self) -> None:
        self._timer = None
        self._sent_at = self._core.clock.now()
        self._sequence += 1
        state = self._core.blackboard.read(OWN_STATE).state
        beacon = Beacon(self._own.session, self._sequence, int(state), 0)
        up_ms = self._sent_at - self._started_at
        beacon.up_ms = up_ms if up_ms < NEW_DAEMON_MS else None
        beacon.store_away = self._core.store_contact.is_unavailable() or None
        mesh = self._controller.has_mesh()
        if mesh:
            beacon.hears = self._controller.read_responsive_hash()
        for add_beacon_contributor in self._contributors:
            add_beacon_contributor(beacon)
        if not mesh:
            self._relayed_links.send(beacon)
            return
        self._echoes.record_sent(DatagramKind.BEACON, beacon.sequence)
        datagram = bytes((DatagramKind.BEACON,)) + encode_struct(beacon)
        for session, vm in self._core.blackboard.read(FLEET).vms.items():
            if session != self._own.session:
                echo = self._echoes.make_echo(session).encode()
                self._core.datagrams.send(vm.address, vm.peer_port, datagram + echo)

    def _on_datagram(self, datagram: bytes, address: str) -> None:
        if not datagram:
            return
        if len(datagram) > MAX_UNLISTED_DATAGRAM_BYTES and address not in self._addresses:
            extra = {"address": address, "bytes": len(datagram)}
            _LOGGER.warning("Datagram rejected", extra=extra)
            self._core.meters.count_rejected_datagram()
            return
        self.check_paused()
        if datagram[0] == DatagramKind.BEACON:
            self._apply_beacon(datagram[1:], address)
            return
        if datagram[0] == DatagramKind.DIGEST:
            self._relayed_links.apply_digest(datagram[1:])
            return
        handler = self._handlers.get(datagram[0])
        if handler is not None and len(datagram) > 2:
            end = 2 + datagram[1]
            handler(datagram[2:end].decode(errors="replace"), datagram[end:])

    def _apply_beacon(self, encoded: bytes, address: str) -> None:
        decoded = split_struct(Beacon, encoded)
        if isinstance(decoded, Err):
            _LOGGER.warning("Beacon unreadable: %s", decoded.err_value.message)
            return
        beacon, rest = decoded.ok_value
        # Datagrams may arrive out of order: an older one would restore runs that have ended.
        if beacon.sequence <= self._sequences.get(beacon.session, 0):
            return
        try:
            state = VmState(beacon.state)
        except ValueError:
            return
        before = self._core.blackboard.read(FLEET).states.get(beacon.session)
        lag_ms = self._echoes.measure_lag_ms(decode_echo(rest))
        if not self._controller.apply_beacon(beacon.session, state, beacon.hears, lag_ms, address):
            return
        self._echoes.record_received(beacon.session, DatagramKind.BEACON, beacon.sequence)
        self._sequences[beacon.session] = beacon.sequence
        for on_direct_beacon in self._direct_listeners:
            on_direct_beacon(beacon.session, beacon)
        if not self._controller.has_mesh():
            # The digests carry it to all daemons, also those of this daemon.
            self._relayed_links.apply_beacon(beacon.session, beacon, lag_ms)
            return
        if beacon.store_away:
            self._with_store_access.discard(beacon.session)
        else:
            self._with_store_access.add(beacon.session)
        if before is not state:
            self.publish()
        self._notify_listeners(beacon.session, beacon)

    def must_read_heartbeats(self) -> bool:
        """Return whether this daemon checks the heartbeats of silent daemons."""
        # Otherwise one silent daemon would make hundreds of daemons read all heartbeats, twice a
        # second each. Relays report lost daemons to the others; a daemon without a relay checks by
        # itself.
        relayed = not self._controller.has_mesh() and self._relayed_links.has_fleet_view()
        return not relayed or self._relayed_links.is_relay()

    def _notify_listeners(self, session: str, beacon: Beacon) -> None:
        for on_beacon in self._beacon_listeners:
            on_beacon(session, beacon)

    def apply_fleet_view(self, relay: str, beacon: Beacon) -> None:
        """Apply the aggregated state of all other daemons, as one beacon of a relay."""
        self._notify_listeners(relay, beacon)

    def renew_reachable(self) -> None:
        """Extend the relay's last report: it still reaches the same daemons."""
        self._controller.renew_reachable()

    def apply_reachable(
        self, reachable: Mapping[str, VmState], with_store: AbstractSet[str], *, settled: bool
    ) -> None:
        """Apply the set of daemons that the relay reaches.

        A relay that is not `settled` has not received all beacons yet.
        """
        self._controller.apply_reachable(reachable, settled=settled)
        self._with_store_access = set(with_store) - {self._own.session}
        self.publish()

    def apply_unresponsive(self, unresponsive: AbstractSet[str]) -> None:
        """Set the reachable daemons of silent data centres; they keep their own share of quotas."""
        self._controller.apply_unresponsive(unresponsive)

    def apply_lost(self, lost_ms: Mapping[str, int]) -> None:
        """Apply which daemons the relays found lost, and for how long, in ms."""
        self._controller.apply_lost(lost_ms)

    def list_lost(self) -> Mapping[str, int]:
        """Return for how long daemons without changing heartbeats have been silent, in ms."""
        return self._controller.list_lost()

    def set_unreachable(self, *, unreachable: bool) -> None:
        """Set whether no relay receives this daemon's beacons."""
        self._controller.set_unreachable(unreachable=unreachable)

    def apply_relay_lag(self, lag_ms: int) -> None:
        """Set how long the counters in the last view may have taken to get here, ms."""
        self._controller.apply_relay_lag(lag_ms)

    def drop_fleet_view(self, relay: str) -> None:
        """Drop the view of a relay, as another one is followed."""
        if relay:
            for on_gone in self._gone_listeners:
                on_gone(relay)

    async def _async_tick(self) -> None:
        clock = self._core.clock
        while True:
            self.check_paused()
            if clock.now() - self._sent_at >= BEACON_INTERVAL_MS - TICK_MS // 2:
                self.schedule_beacon()
            self.publish()
            tick_ms = TICK_MS
            if not self._controller.has_mesh():
                self._relayed_links.tick()
                tick_ms = RELAYED_TICK_MS
            self._next_tick_at = Millis(clock.now() + tick_ms)
            await clock.async_sleep(tick_ms)

    def check_paused(self) -> None:
        """Discard time-dependent state if this process was paused; called before decisions by age.

        The first thing that a resumed process handles may be a caller's request instead of the
        tick, or a beacon that waited in its socket and makes outdated state look recent.
        """
        late_ms = self._core.clock.now() - self._next_tick_at
        if late_ms <= PAUSE_THRESHOLD_MS:
            return
        self._next_tick_at = Millis(self._core.clock.now() + TICK_MS)
        _LOGGER.warning("Stood still", extra={"stood_ms": late_ms})
        # The process missed which daemons are alive, which keys were withdrawn and what others
        # admitted. Each piece of state is valid again once it has been received again.
        self._controller.forget_contacts()
        for on_process_resumed in self._core.on_process_resumed:
            on_process_resumed(late_ms)
