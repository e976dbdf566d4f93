"""Beacons and digests in a large fleet: to the relays of the data centre, and from the one followed."""

import logging
import struct
from collections import deque
from collections.abc import Mapping
from collections.abc import Set as AbstractSet
from dataclasses import dataclass, field
from typing import Final, Protocol

from result import Err

from goldcreststair.clock import Millis, TimerHandle
from goldcreststair.components.fleet.const import (
    DIGEST_GAP_MS,
    DIGEST_IDLE_MS,
    HEARD_RESENT_MS,
    MEMBER_HEARD_MS,
    STANDBY_GAP_MS,
)
from goldcreststair.components.fleet.digests import DigestBook
from goldcreststair.components.fleet.models import FleetVm, VmState
from goldcreststair.components.fleet.protocols import BatchRunsListener, DatagramKind, hash_name
from goldcreststair.components.fleet.relays import RelayChoice
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.wire.codec import decode_struct, encode_struct
from goldcreststair.wire.generated.gateway.ttypes import (
    Beacon,
    CustomerCount,
    Digest,
    UpstreamRuns,
)

_LOGGER = logging.getLogger(__name__)

KEPT_BEACONS: Final = 64
"""Own beacons that are remembered: a digest holds one that is some 200 ms old."""
_STATES: Final = frozenset(state.value for state in VmState)
_INCLUDED: Final = struct.Struct(">q")
"""Number of the receiver's last beacon that a digest holds; 0 for none."""


class PictureTaker(Protocol):
    """Takes what the fleet says; the rest of the daemon's links."""

    def take_picture(self, relay: str, beacon: Beacon) -> None:
        """Take what all other daemons say together, as one beacon of a relay."""

    def note_relay(self) -> None:
        """Take it that the relay hears the same daemons as before."""

    def take_heard(
        self, heard: Mapping[str, VmState], with_store: AbstractSet[str], *, settled: bool
    ) -> None:
        """Take whom the relay hears; one that is not `settled` has not heard everyone yet."""

    def take_quiet(self, quiet: AbstractSet[str]) -> None:
        """Take which of the daemons heard keep their part of quotas, as little is heard of them."""

    def take_lost(self, lost_ms: Mapping[str, int]) -> None:
        """Take which daemons the relays know to be gone, and for how long."""

    def list_lost(self) -> Mapping[str, int]:
        """Return for how long those have been silent whose heartbeats stand still as well."""

    def note_unheard(self, *, unheard: bool) -> None:
        """Take it whether no relay hears this daemon."""

    def drop_picture(self, relay: str) -> None:
        """Forget what a relay said, as another one is followed."""

    def schedule_beacon(self) -> None:
        """Send a beacon soon."""


@dataclass(slots=True)
class _OwnWord:
    """What one of this daemon's beacons said: it has to be taken out of the digests that hold it."""

    sequence: int
    at: Millis
    runs: dict[int, UpstreamRuns] = field(default_factory=dict)
    counts: dict[int, int] = field(default_factory=dict)
    waiting: int = 0


class RelayedLinks:
    """Tells relays what this daemon does, relays for others, and takes the fleet's picture."""

    def __init__(self, core: GatewayCore, own: FleetVm, taker: PictureTaker) -> None:
        """Follow nobody."""
        self._core = core
        self._clock = core.clock
        self._own = own
        self._own_hash = hash_name(own.session)
        self._taker = taker
        self._choice = RelayChoice(core.clock, own)
        self._book = DigestBook(core.clock, own.session, own.data_centre)
        self._vms: Mapping[str, FleetVm] = {}
        self._names: dict[int, str] = {}
        """Sessions by their hashes."""
        self._heard: dict[str, VmState] = {}
        """What the relay that is followed says of each daemon."""
        self._sent: deque[_OwnWord] = deque(maxlen=KEPT_BEACONS)
        self._included_at = core.clock.now()
        """When a digest last held a beacon of the last moments."""
        self._taken: tuple[str, int] = ("", 0)
        """Relay and number of the last digest taken; the relay is empty until it sent a whole one."""
        self._standby_at = Millis(0)
        self._digest_at = Millis(0)
        self._whole_at = Millis(0)
        self._changed = False
        self._heard_changed = False
        self._quiet: frozenset[str] = frozenset()
        """Data centres that had not spoken for some time, by the last digest."""
        self._told: dict[str, str] = {}
        """By data centre, the relay that was told last."""
        self._timer: TimerHandle | None = None
        self._due_at = Millis(0)
        """When the timer fires."""
        self._on_batch: list[BatchRunsListener] = []

    def close(self) -> None:
        """Stop."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def subscribe_batch_runs(self, on_batch: BatchRunsListener) -> None:
        """Be told of the batch runs of all other daemons, whenever a digest comes."""
        self._on_batch.append(on_batch)

    def take_vms(self, vms: Mapping[str, FleetVm]) -> None:
        """Take the daemons that stand in the store."""
        if vms.keys() != self._vms.keys():
            self._names = {hash_name(session): session for session in vms}
        self._vms = vms
        self._choice.take_vms(vms)

    def find_session(self, daemon: int) -> str:
        """Return the session that has this hash; empty if none is known."""
        return self._names.get(daemon, "")

    def forget(self, session: str) -> None:
        """Drop a daemon that is gone."""
        self._book.forget(session)
        self._heard.pop(session, None)

    def is_relay(self) -> bool:
        """Return whether this daemon relays, or stands by for it."""
        return self._choice.is_relay() or bool(self._book.list_followers())

    def is_served(self) -> bool:
        """Return whether a relay tells this daemon of the fleet."""
        return bool(self._taken[0])

    def tick(self) -> None:
        """Look whether the relay that is followed still speaks, and speak if this daemon is one."""
        before = self._choice.followed
        followed = self._choice.choose(self._heard)
        if followed != before:
            extra = {"relay": followed, "before": before}
            _LOGGER.info("Relay followed", extra=extra)
            self._taken = ("", 0)
            self._taker.schedule_beacon()
        unheard_ms = self._clock.now() - self._included_at
        self._taker.note_unheard(unheard=unheard_ms > MEMBER_HEARD_MS)
        self._arm()

    def send(self, beacon: Beacon) -> None:
        """Tell the relays what this daemon does."""
        followed = self._choice.followed
        self._sent.append(self._make_own_word(beacon))
        standby = _frame(beacon)
        beacon.follows = True
        beacon.needs_whole = None if self._taken[0] == followed else True
        wanted = _frame(beacon)
        now = self._clock.now()
        tell_standby = now - self._standby_at >= STANDBY_GAP_MS
        if tell_standby:
            self._standby_at = now
        for session in self._choice.list_targets():
            if session == self._own.session:
                continue
            if session == followed:
                self._send_to(session, wanted)
            elif tell_standby:
                self._send_to(session, standby)
        self._take_own(beacon, followed)

    def _take_own(self, beacon: Beacon, followed: str) -> None:
        beacon.follows = followed == self._own.session
        # A daemon that relays for others has to count itself, whomever it follows.
        if beacon.follows or self._book.list_followers():
            self.take_beacon(self._own.session, beacon)

    def _make_own_word(self, beacon: Beacon) -> _OwnWord:
        counts = self._sent[-1].counts if self._sent else {}
        if beacon.admitted:
            # A beacon leaves out customers that have been quiet; their counters stand where they stood.
            counts = counts | {count.customer: count.admitted for count in beacon.admitted}
        runs = {run.upstream: run for run in beacon.runs or ()}
        now, waiting = self._clock.now(), beacon.batch_waiting or 0
        return _OwnWord(beacon.sequence, now, runs, counts, waiting)

    def take_beacon(self, session: str, beacon: Beacon) -> None:
        """Take another daemon's beacon, as a relay."""
        vm = self._vms.get(session)
        if vm is None or vm.data_centre != self._own.data_centre:
            return
        self._heard_changed |= self._book.take_member(session, beacon)
        self._changed = True
        self._arm()

    def take_digest(self, payload: bytes) -> None:
        """Take a digest of a relay."""
        if len(payload) <= _INCLUDED.size:
            _LOGGER.warning("Digest unreadable: %s bytes", len(payload))
            return
        (included,) = _INCLUDED.unpack_from(payload)
        decoded = decode_struct(Digest, payload[_INCLUDED.size :])
        if isinstance(decoded, Err):
            _LOGGER.warning("Digest unreadable: %s", decoded.err_value.message)
            return
        digest = decoded.ok_value
        if digest.data_centre:
            self._heard_changed |= self._book.take_remote(digest)
            self._changed = True
            self._arm()
        elif digest.relay == self._choice.followed:
            self._take_fleet(digest, included)

    def _arm(self) -> None:
        """Send a digest soon, if anyone takes them."""
        if not self._book.list_followers():
            return
        gap_ms = DIGEST_GAP_MS if self._changed else DIGEST_IDLE_MS
        due_at = Millis(max(self._clock.now(), self._digest_at + gap_ms))
        if self._timer is not None:
            if due_at >= self._due_at:
                return
            self._timer.cancel()
        self._due_at = due_at
        self._timer = self._clock.call_later(due_at - self._clock.now(), self._send_digests)

    def _send_digests(self) -> None:
        self._timer = None
        followers = self._book.list_followers()
        if not followers:
            return
        now = self._clock.now()
        quiet = self._book.list_quiet()
        if quiet != self._quiet:
            self._quiet, self._heard_changed = quiet, True
        whole = self._heard_changed or now - self._whole_at >= HEARD_RESENT_MS
        self._digest_at, self._changed = now, False
        if whole:
            self._whole_at, self._heard_changed = now, False
        lost_ms = self._list_lost()
        self._tell_relays(lost_ms, whole=whole)
        self._tell_followers(followers, lost_ms, whole=whole)
        self._arm()

    def _tell_relays(self, lost_ms: Mapping[str, int], *, whole: bool) -> None:
        others = self._choice.list_remote_data_centres()
        spoke_for = {data_centre: self._book.read_relay(data_centre) for data_centre in others}
        # A relay that has just taken over knows nothing of this data centre yet.
        digest = self._book.make_group(lost_ms, whole=whole or spoke_for != self._told)
        self._told = spoke_for
        framed = bytes((DatagramKind.DIGEST,)) + _INCLUDED.pack(0) + encode_struct(digest)
        for data_centre, spoke in spoke_for.items():
            for session in self._choice.list_remote(data_centre, spoke, self._heard):
                self._send_to(session, framed)

    def _tell_followers(
        self, followers: Mapping[str, Beacon], lost_ms: Mapping[str, int], *, whole: bool
    ) -> None:
        digest = self._book.make_fleet(lost_ms, whole=whole)
        encoded = encode_struct(digest)
        everything = encoded
        if not whole and any(beacon.needs_whole for beacon in followers.values()):
            everything = encode_struct(self._book.make_fleet(lost_ms, whole=True))
        for session, beacon in followers.items():
            if session == self._own.session:
                self._take_fleet(digest, beacon.sequence)
                continue
            body = everything if beacon.needs_whole else encoded
            included = _INCLUDED.pack(beacon.sequence)
            self._send_to(session, bytes((DatagramKind.DIGEST,)) + included + body)

    def _list_lost(self) -> dict[str, int]:
        own, lost = self._own.data_centre, self._taker.list_lost()
        return {
            s: ms for s, ms in lost.items() if s in self._vms and self._vms[s].data_centre == own
        }

    def _take_fleet(self, digest: Digest, included: int) -> None:
        relay, sequence = self._taken
        if relay == digest.relay and digest.sequence <= sequence:
            return
        if relay != digest.relay and not digest.whole:
            return
        own = next((word for word in self._sent if word.sequence == included), None)
        if own is None and included:
            return
        if relay != digest.relay:
            self._taker.drop_picture(relay)
        self._taken = (digest.relay, digest.sequence)
        self._choice.note_digest()
        if own is not None:
            self._included_at = max(self._included_at, own.at)
        self._take_heard(digest)
        others = [runs for runs in digest.batch or () if runs.daemon != self._own_hash]
        for on_batch in self._on_batch:
            on_batch(others)
        self._taker.take_picture(digest.relay, _take_out(digest, own))

    def _take_heard(self, digest: Digest) -> None:
        if digest.heard is None:
            self._taker.note_relay()
            return
        heard: dict[str, VmState] = {}
        for daemon in digest.heard:
            session = self._names.get(daemon.daemon)
            if session is not None and not daemon.lost_ms:
                heard[session] = _read_state(daemon.state)
        self._heard = heard
        away = {self._names.get(daemon.daemon) for daemon in digest.heard if daemon.store_away}
        settled = self._choice.read_followed_ms() > MEMBER_HEARD_MS
        quiet = {self._names.get(daemon.daemon, "") for daemon in digest.heard if daemon.quiet}
        self._taker.take_quiet(quiet)
        self._taker.take_heard(heard, heard.keys() - away, settled=settled)
        lost = {self._names.get(d.daemon, ""): d.lost_ms for d in digest.heard if d.lost_ms}
        self._taker.take_lost(lost)

    def _send_to(self, session: str, datagram: bytes) -> None:
        vm = self._vms.get(session)
        if vm is not None:
            self._core.datagrams.send(vm.address, vm.peer_port, datagram)


def _read_state(number: int) -> VmState:
    """Return a state; one that a newer version may know counts as starting, and gets no callers."""
    return VmState(number) if number in _STATES else VmState.STARTING


def _frame(beacon: Beacon) -> bytes:
    return bytes((DatagramKind.BEACON,)) + encode_struct(beacon)


def _take_out(digest: Digest, own: _OwnWord | None) -> Beacon:
    """Return what all others say together: a digest without this daemon's own word."""
    runs, counts, waiting = (own.runs, own.counts, own.waiting) if own else ({}, {}, 0)
    # The catalogue is fetched from who has it, which may be another one than the relay.
    session = digest.newest_at or digest.relay
    beacon = Beacon(session, digest.sequence, int(VmState.READY), digest.catalogue_version)
    beacon.runs = [_subtract(run, runs.get(run.upstream)) for run in digest.runs or ()]
    beacon.admitted = [
        CustomerCount(count.customer, count.admitted - counts.get(count.customer, 0), count.level)
        for count in digest.admitted or ()
    ]
    beacon.suspects = digest.suspects
    beacon.batch_waiting = max(0, (digest.batch_waiting or 0) - waiting)
    beacon.refused = digest.refused
    beacon.paces = digest.paces
    beacon.evacuation_version = digest.evacuation_version
    beacon.evacuated = digest.evacuated
    return beacon


def _subtract(run: UpstreamRuns, own: UpstreamRuns | None) -> UpstreamRuns:
    if own is None:
        return run
    late = max(0, (run.late or 0) - (own.late or 0))
    online, batch = run.online - own.online, run.batch - own.batch
    return UpstreamRuns(run.upstream, max(0, online), max(0, batch), late)
