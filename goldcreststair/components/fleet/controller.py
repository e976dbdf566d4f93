"""Decides who is heard, who is gone, and whether this daemon is cut off; no I/O."""

from collections.abc import Iterable, Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass
from functools import reduce
from operator import xor
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.fleet.const import (
    EXPIRE_MS,
    FEED_PAUSE_MS,
    HEARTBEAT_MS,
    HEARTBEATS_PER_S,
    ISOLATED_MS,
    LOST_MS,
    MAX_FEED_PAUSE_MS,
    MEMBER_HEARD_MS,
    MESH_DAEMONS,
    SETTLE_MS,
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
    heard_at: Millis | None = None
    heartbeat: bytes = b""
    moved_at: Millis | None = None
    """When its heartbeat row was last seen to change."""
    standing_ms: int = 0
    """How long reads since then have shown the same heartbeat."""
    lost_at: Millis | None = None
    """Since when it has shown no sign of life, by the word of relays."""
    hears: int | None = None
    """Whom it hears, by its last beacon; None if it does not say."""

    def last_sign_at(self) -> Millis:
        """Return when the daemon last showed that it lives."""
        return max(self.known_at, self.heard_at or 0, self.moved_at or 0)  # type: ignore[return-value]


def choose_heartbeat_ms(daemons: int) -> int:
    """Return how often each of so many daemons writes its heartbeat.

    >>> choose_heartbeat_ms(11), choose_heartbeat_ms(820)
    (1000, 8200)
    """
    return max(HEARTBEAT_MS, daemons * MS_PER_SECOND // HEARTBEATS_PER_S)


def choose_feed_pause_ms(daemons: int) -> int:
    """Return for how long changes of the list of daemons are gathered.

    When a fleet starts each session that is written would else be told to each daemon by itself, and
    the calls of the store grow with the square of the fleet.

    >>> choose_feed_pause_ms(11), choose_feed_pause_ms(820)
    (11, 500)
    """
    return min(MAX_FEED_PAUSE_MS, daemons * FEED_PAUSE_MS)


class FleetController:
    """Keeps the list of daemons from the store's rows, beacons and heartbeats."""

    def __init__(self, clock: Clock, own: FleetVm) -> None:
        """Know only this daemon."""
        self._clock = clock
        self._own = own
        self._own_state = VmState.STARTING
        self._peers: dict[str, _Peer] = {}
        self._known = False
        self._store_at = clock.now()
        self._peer_at = clock.now()
        self._differs_since: Millis | None = None
        self._strangers: dict[str, Millis] = {}
        """Sessions heard that are not known, and when."""
        self._relayed: frozenset[str] = frozenset()
        """Sessions that the relay hears, by its last word."""
        self._relayed_at = Millis(0)
        self._unheard = False
        self._quiet: frozenset[str] = frozenset()

    def set_own_state(self, state: VmState) -> None:
        """Take this daemon's own state."""
        self._own_state = state

    def record_store_contact(self) -> None:
        """Note an answer of the store."""
        self._store_at = self._clock.now()

    def take_rows(self, vms: Iterable[FleetVm]) -> None:
        """Take all sessions that stand in the store."""
        listed = {vm.session: vm for vm in vms if vm.session != self._own.session}
        for session in [session for session in self._peers if session not in listed]:
            del self._peers[session]
        for vm in listed.values():
            self.add(vm)
        self._known = True

    def add(self, vm: FleetVm) -> None:
        """Take one session."""
        if vm.session == self._own.session:
            return
        # A process that started again at an address has ended the one before it: nothing waits
        # for that one's heartbeat to stand still.
        for session, peer in tuple(self._peers.items()):
            same = (peer.vm.address, peer.vm.peer_port) == (vm.address, vm.peer_port)
            if same and session != vm.session:
                del self._peers[session]
        if vm.session not in self._peers:
            self._peers[vm.session] = _Peer(vm, self._clock.now())

    def remove(self, session: str) -> None:
        """Drop a session that is no longer in the store."""
        self._peers.pop(session, None)

    def hear(self, session: str, state: VmState, hears: int | None = None) -> bool:
        """Take a beacon; returns whether its sender is known."""
        now = self._clock.now()
        self._peer_at = now
        peer = self._peers.get(session)
        if peer is None:
            self._strangers[session] = now
            return False
        peer.heard_at = now
        peer.state = state
        peer.hears = hears
        return True

    def take_heard(self, heard: Mapping[str, VmState], *, settled: bool) -> None:
        """Take whom a relay hears, itself included; this counts until the next such word.

        One that is not `settled` has just begun to relay, and has not heard everyone yet.
        """
        silent_ms = MEMBER_HEARD_MS if settled else 0
        for session in self._relayed - heard.keys():
            peer = self._peers.get(session)
            if peer is not None:
                # The relay has not heard it for a while when it leaves it out.
                last_at = Millis(self._relayed_at - silent_ms)
                peer.heard_at = max(peer.heard_at or NEVER, last_at)
        self._relayed = frozenset(heard)
        for session, state in heard.items():
            peer = self._peers.get(session)
            if peer is not None:
                peer.state = state
        self.note_relay()

    def note_relay(self) -> None:
        """Take it that the relay still hears those that it named last."""
        self._peer_at = self._relayed_at = self._clock.now()

    def take_quiet(self, quiet: AbstractSet[str]) -> None:
        """Take which of the daemons heard keep their part of quotas, as little is heard of them."""
        self._quiet = frozenset(quiet)

    def take_lost(self, lost_ms: Mapping[str, int]) -> None:
        """Take for how long relays know daemons to be lost: only they read a large fleet's heartbeats."""
        now = self._clock.now()
        for session, peer in self._peers.items():
            silent_ms = lost_ms.get(session)
            peer.lost_at = None if silent_ms is None else Millis(now - silent_ms)

    def list_lost(self) -> dict[str, int]:
        """Return for how long those have been silent that this daemon knows to be lost by itself."""
        return {
            session: self._read_silent_ms(session, peer)
            for session, peer in self._peers.items()
            if self._is_standing(session, peer, LOST_MS)
        }

    def note_unheard(self, *, unheard: bool) -> None:
        """Take it whether this daemon's own beacons reach no relay."""
        self._unheard = unheard

    def take_heartbeats(
        self, heartbeats: Mapping[str, bytes], parts: AbstractSet[str] = frozenset(PARTS)
    ) -> None:
        """Take one read of all heartbeat rows of some parts of the store."""
        now = self._clock.now()
        for session, peer in self._peers.items():
            if choose_part(peer.vm) not in parts:
                continue
            found = heartbeats.get(session, b"")
            if found != peer.heartbeat:
                peer.heartbeat, peer.moved_at, peer.standing_ms = found, now, 0
            else:
                peer.standing_ms = now - (peer.moved_at or now)

    def void(self) -> None:
        """Forget who was heard, as this process stood still."""
        now = self._clock.now()
        self._relayed = frozenset()
        for peer in self._peers.values():
            peer.heard_at = None
            # Its silence is counted from now on: while this process stood still it heard nobody.
            peer.known_at = now
            peer.standing_ms = 0

    def list_quiet(self) -> list[FleetVm]:
        """Return the daemons that are not heard, so that their heartbeats are worth reading."""
        close = frozenset(self._list_close())
        return [peer.vm for session, peer in self._peers.items() if session not in close]

    def is_lost(self, session: str, after_ms: int) -> bool:
        """Return whether a daemon has shown no sign of life for so long.

        Reads of the store must have shown its heartbeat at a stand: while the store is away a silent
        daemon may live behind a cut and serve its callers.
        """
        peer = self._peers.get(session)
        if peer is None:
            return False
        if peer.lost_at is not None:
            return self._clock.now() - peer.lost_at >= after_ms
        return self._is_standing(session, peer, after_ms)

    def _is_standing(self, session: str, peer: _Peer, after_ms: int) -> bool:
        beat_ms = choose_heartbeat_ms(len(self._peers) + 1)
        return peer.standing_ms > beat_ms and self._read_silent_ms(session, peer) >= after_ms

    def _read_silent_ms(self, session: str, peer: _Peer) -> int:
        last_at = max(peer.last_sign_at(), self._read_heard_at(session, peer))
        return self._clock.now() - last_at

    def list_expired(self) -> list[str]:
        """Return the sessions that are gone by all signs."""
        return [session for session in self._peers if self.is_lost(session, EXPIRE_MS)]

    def read_contact_age_ms(self) -> int:
        """Return the ms since the store or another daemon was heard; 0 if there is no other."""
        if not self._peers:
            return 0
        return self._clock.now() - max(self._store_at, self._peer_at)

    def is_isolated(self) -> bool:
        """Return whether this daemon hears neither the store nor any other daemon."""
        return self.read_contact_age_ms() > ISOLATED_MS

    def read_fleet(self) -> Fleet:
        """Return the fleet as it stands now."""
        vms = {self._own.session: self._own}
        states = {self._own.session: self._own_state}
        heard = frozenset(self._list_heard(UNREACHABLE_MS))
        for session, peer in self._peers.items():
            vms[session] = peer.vm
            if session in heard:
                states[session] = peer.state
        lost = frozenset(s for s in self._peers if s not in states and self.is_lost(s, LOST_MS))
        close = 1 + len(self._list_close())
        unlisted, agreed = self._count_strangers(), self._check_agreed()
        return Fleet(self._own.session, vms, states, lost, close, unlisted, self._known, agreed)

    def _count_strangers(self) -> int:
        # Shows as more than a quota while the store turns a VM away: a daemon that was added meanwhile
        # has its part, and this one shares the whole among those that it knows.
        horizon = self._clock.now() - UNREACHABLE_MS
        heard = {s: at for s, at in self._strangers.items() if at >= horizon}
        self._strangers = {s: at for s, at in heard.items() if s not in self._peers}
        return len(self._strangers)

    def read_hears(self) -> int:
        """Return whom this daemon hears, itself included, as one number for the beacon."""
        return reduce(xor, map(hash_name, self._list_close()), hash_name(self._own.session))

    def read_all_seen_since(self) -> Millis:
        """Return since when every daemon that counts as heard has been heard; now if there is none."""
        times = [self._read_heard_at(s, self._peers[s]) for s in self._list_close()]
        return min(times, default=self._clock.now())

    def has_mesh(self) -> bool:
        """Return whether each beacon goes to every other daemon."""
        return len(self._peers) <= MESH_DAEMONS

    def _read_heard_at(self, session: str, peer: _Peer) -> Millis:
        heard_at = peer.heard_at or NEVER
        return max(heard_at, self._relayed_at) if session in self._relayed else heard_at

    def _list_close(self) -> list[str]:
        if not self.has_mesh() and self._unheard:
            # Shows as more than a quota when a VM hears all others and none hears it: they take its
            # part for spent, and it would spend theirs.
            return []
        return [
            session for session in self._list_heard(UNRESPONSIVE_MS) if session not in self._quiet
        ]

    def _list_heard(self, within_ms: int) -> list[str]:
        now = self._clock.now()
        horizon = now - within_ms
        # Another relay takes over from one that falls silent before all others seem to be.
        relayed = self._relayed if now - self._relayed_at <= UNREACHABLE_MS else frozenset()
        return [
            session
            for session, peer in self._peers.items()
            if session in relayed or (peer.heard_at is not None and peer.heard_at >= horizon)
        ]

    def _check_agreed(self) -> bool:
        if not self.has_mesh():
            # All who follow relays hear what these hear together.
            return True
        own = self.read_hears()
        differs = any(self._peers[s].hears not in (None, own) for s in self._list_close())
        now = self._clock.now()
        if not differs:
            self._differs_since = None
            return True
        self._differs_since = self._differs_since or now
        return now - self._differs_since < SETTLE_MS
