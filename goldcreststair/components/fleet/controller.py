"""Decides which daemons are reachable or gone, and whether this one is isolated; no I/O."""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from functools import reduce
from operator import xor
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.fleet.const import (
    AGREEMENT_GRACE_MS,
    EXPIRE_MS,
    FEED_DELAY_PER_DAEMON_MS,
    HEARTBEAT_MS,
    HEARTBEATS_PER_S,
    ISOLATED_MS,
    LOST_MS,
    MAX_FEED_DELAY_MS,
    MAX_MESH_PEERS,
    MEMBER_TIMEOUT_MS,
    UNREACHABLE_MS,
    UNRESPONSIVE_MS,
)
from goldcreststair.components.fleet.models import Fleet, FleetVm, VmState
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.components.fleet.sessions import PARTS, choose_part
from goldcreststair.const import MS_PER_SECOND

NEVER: Final = Millis(-(1 << 62))


@dataclass(slots=True)
class _Peer:
    vm: FleetVm
    known_at: Millis
    state: VmState = VmState.STARTING
    last_seen_at: Millis | None = None
    heartbeat: bytes = b""
    changed_at: Millis | None = None
    """When its heartbeat row was last seen to change."""
    unchanged_ms: int = 0
    """Time between that change and the last read of the heartbeats."""
    lost_at: Millis | None = None
    """Since when it has shown no sign of life, as reported by relays."""
    responsive_hash: int | None = None
    """Hash of the daemons responsive to it, from its last beacon; None if the beacon has none."""
    lag_ms: int = 0
    """How long its last beacon may have taken."""

    def last_activity_at(self) -> Millis:
        """Return when the daemon last showed a sign of life."""
        return max(self.known_at, self.last_seen_at or 0, self.changed_at or 0)  # type: ignore[return-value]


@dataclass(frozen=True, slots=True)
class _Unlisted:
    """The last beacon of a session that is not in the list."""

    session: str
    at: Millis


def choose_heartbeat_ms(daemons: int) -> int:
    """Return the heartbeat interval of each daemon, in ms.

    >>> choose_heartbeat_ms(11), choose_heartbeat_ms(820)
    (1000, 8200)
    """
    return max(HEARTBEAT_MS, daemons * MS_PER_SECOND // HEARTBEATS_PER_S)


def choose_feed_delay_ms(daemons: int) -> int:
    """Return for how long changes of the session list are collected, in ms.

    Otherwise, while a fleet starts, each new session is delivered to each daemon separately, and
    the number of store calls grows with the square of the fleet.

    >>> choose_feed_delay_ms(11), choose_feed_delay_ms(820)
    (11, 500)
    """
    return min(MAX_FEED_DELAY_MS, daemons * FEED_DELAY_PER_DAEMON_MS)


class FleetController:
    """Keeps the list of daemons from session rows, beacons and heartbeats."""

    def __init__(self, clock: Clock, own: FleetVm) -> None:
        """Start with this daemon only."""
        self._clock = clock
        self._own = own
        self._own_state = VmState.STARTING
        self._peers: dict[str, _Peer] = {}
        self._loaded = False
        self._store_contact_at = clock.now()
        self._peer_contact_at = clock.now()
        self._disagreed_since: Millis | None = None
        self._unlisted: dict[str, _Unlisted] = {}
        """The last beacon of an unknown session from each address."""
        self._relay_reachable: frozenset[str] = frozenset()
        """Sessions that the followed relay reaches, from its last report."""
        self._relay_updated_at = Millis(0)
        self._relay_lag_ms = 0
        """How long what the followed relay last reported may have taken to get here."""
        self._unreachable = False
        self._unresponsive: frozenset[str] = frozenset()

    def set_own_state(self, state: VmState) -> None:
        """Set this daemon's own state."""
        self._own_state = state

    def record_store_contact(self) -> None:
        """Record that the store answered."""
        self._store_contact_at = self._clock.now()

    def replace_sessions(self, vms: Iterable[FleetVm]) -> None:
        """Replace the known sessions by all sessions in the store."""
        listed = {vm.session: vm for vm in vms if vm.session != self._own.session}
        for session in [session for session in self._peers if session not in listed]:
            del self._peers[session]
        for vm in listed.values():
            self.add(vm)
        self._loaded = True

    def add(self, vm: FleetVm) -> None:
        """Add one session."""
        if vm.session == self._own.session:
            return
        # A process that restarted at an address has ended the one before it, so the heartbeat of
        # the earlier session is not waited for.
        for session, peer in tuple(self._peers.items()):
            same = (peer.vm.address, peer.vm.peer_port) == (vm.address, vm.peer_port)
            if same and session != vm.session:
                del self._peers[session]
        if vm.session not in self._peers:
            self._peers[vm.session] = _Peer(vm, self._clock.now())

    def remove(self, session: str) -> None:
        """Remove a session that is no longer in the store."""
        self._peers.pop(session, None)

    def apply_beacon(
        self,
        session: str,
        state: VmState,
        responsive_hash: int | None = None,
        lag_ms: int | None = None,
        address: str = "",
    ) -> bool:
        """Apply a beacon from `address`; returns whether its sender is a known session.

        `lag_ms` is how long it may have taken; None if that is not known.
        """
        now = self._clock.now()
        self._peer_contact_at = now
        peer = self._peers.get(session)
        if peer is None:
            # One for each address: whoever sends beacons of many sessions must neither fill the
            # memory nor take the others' shares of the quotas.
            self._unlisted[address] = _Unlisted(session, now)
            return False
        peer.last_seen_at = now
        peer.state = state
        peer.responsive_hash = responsive_hash
        peer.lag_ms = lag_ms or 0
        return True

    def apply_reachable(self, reachable: Mapping[str, VmState], *, settled: bool) -> None:
        """Apply the set of daemons that a relay reaches, itself included, until its next report.

        A relay that is not `settled` has just started to relay and has not received all beacons
        yet.
        """
        silent_ms = MEMBER_TIMEOUT_MS if settled else 0
        for session in self._relay_reachable - reachable.keys():
            peer = self._peers.get(session)
            if peer is not None:
                # A relay leaves out a daemon only some time after the daemon's last beacon.
                last_at = Millis(self._relay_updated_at - silent_ms)
                peer.last_seen_at = max(peer.last_seen_at or NEVER, last_at)
        self._relay_reachable = frozenset(reachable)
        for session, state in reachable.items():
            peer = self._peers.get(session)
            if peer is not None:
                peer.state = state
        self.renew_reachable()

    def apply_relay_lag(self, lag_ms: int) -> None:
        """Set how long what the followed relay reports may take to get here, ms."""
        self._relay_lag_ms = lag_ms

    def renew_reachable(self) -> None:
        """Extend the relay's last report: it still reaches the same daemons."""
        self._peer_contact_at = self._relay_updated_at = self._clock.now()

    def apply_unresponsive(self, unresponsive: AbstractSet[str]) -> None:
        """Set the reachable daemons of silent data centres; they keep their own share of quotas."""
        self._unresponsive = frozenset(unresponsive)

    def apply_lost(self, lost_ms: Mapping[str, int]) -> None:
        """Apply how long daemons have been lost, as reported by relays.

        In a large fleet only relays read the heartbeats.
        """
        now = self._clock.now()
        for session, peer in self._peers.items():
            silent_ms = lost_ms.get(session)
            peer.lost_at = None if silent_ms is None else Millis(now - silent_ms)

    def list_lost(self) -> dict[str, int]:
        """Return for how long the daemons that this one found lost have been silent, in ms."""
        return {
            session: self._read_silent_ms(session, peer)
            for session, peer in self._peers.items()
            if self._has_stale_heartbeat(session, peer, LOST_MS)
        }

    def set_unreachable(self, *, unreachable: bool) -> None:
        """Set whether this daemon's own beacons reach no relay."""
        self._unreachable = unreachable

    def apply_heartbeats(
        self, heartbeats: Mapping[str, bytes], parts: AbstractSet[str] = frozenset(PARTS)
    ) -> None:
        """Apply one read of all heartbeat rows of some parts of the store."""
        now = self._clock.now()
        for session, peer in self._peers.items():
            if choose_part(peer.vm) not in parts:
                continue
            found = heartbeats.get(session, b"")
            if found != peer.heartbeat:
                peer.heartbeat, peer.changed_at, peer.unchanged_ms = found, now, 0
            else:
                peer.unchanged_ms = now - (peer.changed_at or now)

    def forget_contacts(self) -> None:
        """Forget which daemons were seen, because this process was paused."""
        now = self._clock.now()
        self._relay_reachable = frozenset()
        for peer in self._peers.values():
            peer.last_seen_at = None
            # Silence is counted from now on, as this process received no beacons while it was
            # paused.
            peer.known_at = now
            peer.unchanged_ms = 0

    def list_unresponsive(self) -> list[FleetVm]:
        """Return the daemons without a recent beacon, whose heartbeats have to be read."""
        responsive = frozenset(self.list_responsive())
        return [peer.vm for session, peer in self._peers.items() if session not in responsive]

    def is_lost(self, session: str, after_ms: int) -> bool:
        """Return whether a daemon has shown no sign of life for `after_ms`.

        Reads of the store must have shown that its heartbeat does not change: while the store is
        unavailable, a silent daemon may be behind a network partition and serve its callers.
        """
        peer = self._peers.get(session)
        if peer is None:
            return False
        if peer.lost_at is not None:
            return self._clock.now() - peer.lost_at >= after_ms
        return self._has_stale_heartbeat(session, peer, after_ms)

    def _has_stale_heartbeat(self, session: str, peer: _Peer, after_ms: int) -> bool:
        beat_ms = choose_heartbeat_ms(len(self._peers) + 1)
        return peer.unchanged_ms > beat_ms and self._read_silent_ms(session, peer) >= after_ms

    def _read_silent_ms(self, session: str, peer: _Peer) -> int:
        last_at = max(peer.last_activity_at(), self._read_seen_at(session, peer))
        return self._clock.now() - last_at

    def list_expired(self) -> list[str]:
        """Return the sessions of daemons that are gone."""
        return [session for session in self._peers if self.is_lost(session, EXPIRE_MS)]

    def read_contact_age_ms(self) -> int:
        """Return the ms since the last contact with store or peers; 0 without other daemons."""
        if not self._peers:
            return 0
        return self._clock.now() - max(self._store_contact_at, self._peer_contact_at)

    def is_isolated(self) -> bool:
        """Return whether this daemon has contact with neither the store nor another daemon."""
        return self.read_contact_age_ms() > ISOLATED_MS

    def read_fleet(self) -> Fleet:
        """Return the current fleet."""
        vms = {self._own.session: self._own}
        states = {self._own.session: self._own_state}
        reachable = frozenset(self._list_seen(UNREACHABLE_MS))
        for session, peer in self._peers.items():
            vms[session] = peer.vm
            if session in reachable:
                states[session] = peer.state
        lost = frozenset(s for s in self._peers if s not in states and self.is_lost(s, LOST_MS))
        responsive = 1 + len(self.list_responsive())
        unlisted, agreed = self._count_unlisted(), self._check_agreement()
        return Fleet(
            self._own.session, vms, states, lost, responsive, unlisted, self._loaded, agreed
        )

    def _count_unlisted(self) -> int:
        # Without this, quotas are exceeded while a VM has no access to the store: a daemon added
        # meanwhile uses its share, while this one divides the whole quota among the daemons it
        # knows.
        horizon = self._clock.now() - UNREACHABLE_MS
        self._unlisted = {
            address: last
            for address, last in self._unlisted.items()
            if last.at >= horizon and last.session not in self._peers
        }
        return len(self._unlisted)

    def read_responsive_hash(self) -> int:
        """Return a hash of the responsive daemons, this one included, for the beacon."""
        return reduce(xor, map(hash_name, self.list_responsive()), hash_name(self._own.session))

    def read_all_seen_since(self) -> Millis:
        """Return the oldest last-seen time of all responsive daemons; now if there is none."""
        times = [self._read_seen_at(s, self._peers[s]) for s in self.list_responsive()]
        return min(times, default=self._clock.now())

    def read_lag_ms(self) -> int:
        """Return how long the last reports of the responsive daemons may have taken, ms."""
        if not self.has_mesh():
            return self._relay_lag_ms
        return max((self._peers[s].lag_ms for s in self.list_responsive()), default=0)

    def has_mesh(self) -> bool:
        """Return whether every daemon sends beacons to every other one."""
        return len(self._peers) <= MAX_MESH_PEERS

    def _read_seen_at(self, session: str, peer: _Peer) -> Millis:
        last_seen_at = peer.last_seen_at or NEVER
        return (
            max(last_seen_at, self._relay_updated_at)
            if session in self._relay_reachable
            else last_seen_at
        )

    def list_responsive(self) -> list[str]:
        """Return the other daemons whose last beacon is at most a few beacon intervals old."""
        if not self.has_mesh() and self._unreachable:
            # Without this, quotas are exceeded when a VM receives the beacons of all others but
            # none receives its own: they count its share as spent, and it would spend theirs.
            return []
        return [
            session
            for session in self._list_seen(UNRESPONSIVE_MS)
            if session not in self._unresponsive
        ]

    def _list_seen(self, within_ms: int) -> list[str]:
        now = self._clock.now()
        horizon = now - within_ms
        # Another relay takes over from a silent one before all other daemons seem silent.
        relayed = (
            self._relay_reachable if now - self._relay_updated_at <= UNREACHABLE_MS else frozenset()
        )
        return [
            session
            for session, peer in self._peers.items()
            if session in relayed
            or (peer.last_seen_at is not None and peer.last_seen_at >= horizon)
        ]

    def _check_agreement(self) -> bool:
        if not self.has_mesh():
            # All daemons that follow relays have the same aggregated view.
            return True
        own = self.read_responsive_hash()
        differs = any(
            self._peers[s].responsive_hash not in (None, own) for s in self.list_responsive()
        )
        now = self._clock.now()
        if not differs:
            self._disagreed_since = None
            return True
        self._disagreed_since = self._disagreed_since or now
        return now - self._disagreed_since < AGREEMENT_GRACE_MS
