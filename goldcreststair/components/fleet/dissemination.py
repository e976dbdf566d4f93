"""Exchanges beacons and digests in a large fleet.

Beacons go to the relays of the data centre, and digests come from the relay that is followed.
"""

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
    MEMBER_TIMEOUT_MS,
    REACHABLE_RESEND_MS,
    STANDBY_GAP_MS,
)
from goldcreststair.components.fleet.digests import DigestTracker
from goldcreststair.components.fleet.echoes import EchoTracker, decode_echo
from goldcreststair.components.fleet.models import FleetVm, VmState
from goldcreststair.components.fleet.protocols import BatchRunsListener, DatagramKind, hash_name
from goldcreststair.components.fleet.relays import RelaySelector
from goldcreststair.gateway_core import GatewayCore
from goldcreststair.wire.codec import encode_struct, split_struct
from goldcreststair.wire.generated.gateway.ttypes import (
    Beacon,
    CustomerCount,
    Digest,
    UpstreamOutcomes,
    UpstreamRuns,
    WaitingRequests,
)

_LOGGER = logging.getLogger(__name__)

MAX_UNLISTED_RELAYS: Final = 64
"""Relays that are not in the list of daemons, which may be some seconds behind, whose digests are kept."""
MAX_KEPT_BEACONS: Final = 64
"""Own beacons that are kept: a digest includes one that is about 200 ms old."""
_STATES: Final = frozenset(state.value for state in VmState)
_INCLUDED: Final = struct.Struct(">q")
"""Sequence number of the receiver's last beacon that a digest includes; 0 for none."""


class FleetViewListener(Protocol):
    """Receives the fleet view of the followed relay; implemented by the fleet service."""

    def apply_fleet_view(self, relay: str, beacon: Beacon) -> None:
        """Apply the aggregated state of all other daemons, as one beacon of a relay."""

    def renew_reachable(self) -> None:
        """Extend the relay's last report: it still reaches the same daemons."""

    def apply_reachable(
        self, reachable: Mapping[str, VmState], with_store: AbstractSet[str], *, settled: bool
    ) -> None:
        """Apply the set of daemons that the relay reaches.

        A relay that is not `settled` has not received all beacons yet.
        """

    def apply_unresponsive(self, unresponsive: AbstractSet[str]) -> None:
        """Set the reachable daemons of silent data centres; they keep their own share of quotas."""

    def apply_lost(self, lost_ms: Mapping[str, int]) -> None:
        """Apply which daemons the relays found lost, and for how long, in ms."""

    def list_lost(self) -> Mapping[str, int]:
        """Return for how long daemons without changing heartbeats have been silent, in ms."""

    def set_unreachable(self, *, unreachable: bool) -> None:
        """Set whether no relay receives this daemon's beacons."""

    def apply_relay_lag(self, lag_ms: int) -> None:
        """Set how long the counters in the last view may have taken to get here, ms."""

    def drop_fleet_view(self, relay: str) -> None:
        """Drop the view of a relay, as another one is followed."""

    def schedule_beacon(self) -> None:
        """Send a beacon soon."""


@dataclass(slots=True)
class _OwnReport:
    """Contents of one of this daemon's beacons, to subtract from digests that include it."""

    sequence: int
    at: Millis
    runs: dict[int, UpstreamRuns] = field(default_factory=dict)
    counts: dict[int, int] = field(default_factory=dict)
    waiting: int = 0
    outcomes: dict[int, UpstreamOutcomes] = field(default_factory=dict)
    queued: dict[tuple[int, int], int] = field(default_factory=dict)
    """Waiting requests by service and priority."""


class RelayedLinks:
    """Sends beacons to relays, relays for other daemons, and receives the fleet view."""

    def __init__(
        self, core: GatewayCore, own: FleetVm, listener: FleetViewListener, echoes: EchoTracker
    ) -> None:
        """Start without a relay."""
        self._core = core
        self._echoes = echoes
        self._clock = core.clock
        self._own = own
        self._own_hash = hash_name(own.session)
        self._listener = listener
        self._selector = RelaySelector(core.clock, own)
        self._tracker = DigestTracker(core.clock, own.session, own.data_centre)
        self._vms: Mapping[str, FleetVm] = {}
        self._unlisted: dict[str, None] = {}
        """Relays that are not in the list, those that have been silent for longest first."""
        self._sessions: dict[int, str] = {}
        """Sessions by their hashes."""
        self._reachable: dict[str, VmState] = {}
        """State of each daemon that the followed relay reaches."""
        self._sent: deque[_OwnReport] = deque(maxlen=MAX_KEPT_BEACONS)
        self._last_included_at = core.clock.now()
        """When the newest own beacon that a digest included was sent."""
        self._applied: tuple[str, int] = ("", 0)
        """Relay and sequence number of the last digest applied; no relay before its first whole
        digest."""
        self._standby_at = Millis(0)
        self._digest_at = Millis(0)
        self._whole_at = Millis(0)
        self._changed = False
        self._reachable_changed = False
        self._unresponsive: frozenset[str] = frozenset()
        """Data centres that had not sent digests for some time when the last digest was built."""
        self._last_relays: dict[str, str] = {}
        """By data centre, the relay that the last digest was sent to."""
        self._timer: TimerHandle | None = None
        self._due_at = Millis(0)
        """When the timer fires."""
        self._on_batch: list[BatchRunsListener] = []

    def close(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def subscribe_batch_runs(self, on_batch: BatchRunsListener) -> None:
        """Register a callback for the batch runs of all other daemons; called on every digest."""
        self._on_batch.append(on_batch)

    def replace_vms(self, vms: Mapping[str, FleetVm]) -> None:
        """Replace the known daemons by those that are in the store."""
        if vms.keys() != self._vms.keys():
            self._sessions = {hash_name(session): session for session in vms}
        self._vms = vms
        self._selector.replace_vms(vms)

    def find_session(self, daemon: int) -> str:
        """Return the session that has this hash; empty if none is known."""
        return self._sessions.get(daemon, "")

    def list_relays(self) -> list[str]:
        """Return the other relays of all data centres that may be reachable."""
        relays = self._selector.list_relays(self._reachable)
        return [session for session in relays if session != self._own.session]

    def forget(self, session: str) -> None:
        """Remove a daemon that is gone."""
        self._tracker.forget(session)
        self._reachable.pop(session, None)

    def is_relay(self) -> bool:
        """Return whether this daemon relays or is the standby relay."""
        return self._selector.is_relay() or bool(self._tracker.list_followers())

    def has_fleet_view(self) -> bool:
        """Return whether a relay has sent this daemon a view of the fleet."""
        return bool(self._applied[0])

    def tick(self) -> None:
        """Replace a silent relay by another one, and schedule a digest if this daemon relays."""
        before = self._selector.followed
        followed = self._selector.choose(self._reachable)
        if followed != before:
            extra = {"relay": followed, "before": before}
            _LOGGER.info("Relay followed", extra=extra)
            self._listener.drop_fleet_view(self._applied[0])
            self._applied = ("", 0)
            self._listener.schedule_beacon()
        not_included_ms = self._clock.now() - self._last_included_at
        self._listener.set_unreachable(unreachable=not_included_ms > MEMBER_TIMEOUT_MS)
        self._schedule_digest()

    def send(self, beacon: Beacon) -> None:
        """Send this daemon's beacon to the relays."""
        followed = self._selector.followed
        self._sent.append(self._make_own_report(beacon))
        self._echoes.record_sent(DatagramKind.BEACON, beacon.sequence)
        standby_frame = _frame(beacon)
        beacon.follows = True
        beacon.needs_whole = None if self._applied[0] == followed else True
        follower_frame = _frame(beacon)
        now = self._clock.now()
        send_standby = now - self._standby_at >= STANDBY_GAP_MS
        if send_standby:
            self._standby_at = now
        for session in self._selector.list_targets():
            if session == self._own.session:
                continue
            if session == followed:
                self._send_to(session, follower_frame)
            elif send_standby:
                self._send_to(session, standby_frame)
        self._apply_own_beacon(beacon, followed)

    def _apply_own_beacon(self, beacon: Beacon, followed: str) -> None:
        beacon.follows = followed == self._own.session
        # A relay includes its own beacon in its digests, whichever relay it follows itself.
        if beacon.follows or self._tracker.list_followers():
            self.apply_beacon(self._own.session, beacon)

    def _make_own_report(self, beacon: Beacon) -> _OwnReport:
        counts = self._sent[-1].counts if self._sent else {}
        if beacon.admitted:
            # A beacon leaves out customers without recent requests; their counters have not
            # changed.
            counts = counts | {count.customer: count.admitted for count in beacon.admitted}
        runs = {run.upstream: run for run in beacon.runs or ()}
        now, waiting = self._clock.now(), beacon.batch_waiting or 0
        outcomes = {outcome.upstream: outcome for outcome in beacon.outcomes or ()}
        queued = {
            (each.upstream_service, each.priority): each.count for each in beacon.waiting or ()
        }
        return _OwnReport(beacon.sequence, now, runs, counts, waiting, outcomes, queued)

    def apply_beacon(self, session: str, beacon: Beacon, lag_ms: int | None = None) -> None:
        """Apply another daemon's beacon, as a relay.

        `lag_ms` is how long it may have taken; None if that is not known.
        """
        vm = self._vms.get(session)
        if vm is None or vm.data_centre != self._own.data_centre:
            return
        self._reachable_changed |= self._tracker.apply_beacon(session, beacon, lag_ms or 0)
        self._changed = True
        self._schedule_digest()

    def apply_digest(self, payload: bytes) -> None:
        """Apply the digest of a relay."""
        if len(payload) <= _INCLUDED.size:
            _LOGGER.warning("Digest unreadable: %s bytes", len(payload))
            return
        (included,) = _INCLUDED.unpack_from(payload)
        decoded = split_struct(Digest, payload[_INCLUDED.size :])
        if isinstance(decoded, Err):
            _LOGGER.warning("Digest unreadable: %s", decoded.err_value.message)
            return
        digest, rest = decoded.ok_value
        lag_ms = self._echoes.measure_lag_ms(decode_echo(rest)) or 0
        if digest.relay in self._vms:
            self._echoes.record_received(digest.relay, DatagramKind.DIGEST, digest.sequence)
        self._limit_unlisted(digest.relay)
        if digest.data_centre:
            self._reachable_changed |= self._tracker.apply_digest(digest, lag_ms)
            self._changed = True
            self._schedule_digest()
        elif digest.relay == self._selector.followed:
            self._apply_fleet_digest(digest, included, lag_ms)

    def _limit_unlisted(self, relay: str) -> None:
        """Forget the relay that has been silent for longest if too many are not in the list.

        What a listed one says is forgotten when its session is gone from the list.
        """
        self._unlisted.pop(relay, None)
        if relay in self._vms:
            return
        self._unlisted[relay] = None
        if len(self._unlisted) > MAX_UNLISTED_RELAYS:
            oldest = next(iter(self._unlisted))
            del self._unlisted[oldest]
            self._tracker.forget_unlisted(oldest)

    def _schedule_digest(self) -> None:
        """Schedule the next digest if any daemon follows this relay."""
        if not self._tracker.list_followers():
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
        followers = self._tracker.list_followers()
        if not followers:
            return
        now = self._clock.now()
        unresponsive = self._tracker.list_unresponsive()
        if unresponsive != self._unresponsive:
            self._unresponsive, self._reachable_changed = unresponsive, True
        whole = self._reachable_changed or now - self._whole_at >= REACHABLE_RESEND_MS
        self._digest_at, self._changed = now, False
        if whole:
            self._whole_at, self._reachable_changed = now, False
        lost_ms = self._list_lost()
        self._send_to_relays(lost_ms, whole=whole)
        self._send_to_followers(followers, lost_ms, whole=whole)
        self._schedule_digest()

    def _send_to_relays(self, lost_ms: Mapping[str, int], *, whole: bool) -> None:
        others = self._selector.list_remote_data_centres()
        relays = {data_centre: self._tracker.read_relay(data_centre) for data_centre in others}
        # A relay that has just taken over knows nothing of this data centre yet.
        digest = self._tracker.build_data_centre_digest(
            lost_ms, whole=whole or relays != self._last_relays
        )
        self._last_relays = relays
        self._echoes.record_sent(DatagramKind.DIGEST, digest.sequence)
        framed = bytes((DatagramKind.DIGEST,)) + _INCLUDED.pack(0) + encode_struct(digest)
        for data_centre, last_relay in relays.items():
            for session in self._selector.list_remote_targets(
                data_centre, last_relay, self._reachable
            ):
                self._send_to(session, framed)

    def _send_to_followers(
        self, followers: Mapping[str, Beacon], lost_ms: Mapping[str, int], *, whole: bool
    ) -> None:
        digest = self._tracker.build_fleet_digest(lost_ms, whole=whole)
        self._echoes.record_sent(DatagramKind.DIGEST, digest.sequence)
        encoded = encode_struct(digest)
        whole_encoded = encoded
        if not whole and any(beacon.needs_whole for beacon in followers.values()):
            whole_digest = self._tracker.build_fleet_digest(lost_ms, whole=True)
            self._echoes.record_sent(DatagramKind.DIGEST, whole_digest.sequence)
            whole_encoded = encode_struct(whole_digest)
        for session, beacon in followers.items():
            if session == self._own.session:
                self._apply_fleet_digest(digest, beacon.sequence, 0)
                continue
            body = whole_encoded if beacon.needs_whole else encoded
            included = _INCLUDED.pack(beacon.sequence)
            self._send_to(session, bytes((DatagramKind.DIGEST,)) + included + body)

    def _list_lost(self) -> dict[str, int]:
        own, lost = self._own.data_centre, self._listener.list_lost()
        return {
            s: ms for s, ms in lost.items() if s in self._vms and self._vms[s].data_centre == own
        }

    def _apply_fleet_digest(self, digest: Digest, included: int, lag_ms: int) -> None:
        relay, sequence = self._applied
        if relay == digest.relay and digest.sequence <= sequence:
            return
        if relay != digest.relay and not digest.whole:
            return
        own = next((report for report in self._sent if report.sequence == included), None)
        if own is None and included:
            return
        self._applied = (digest.relay, digest.sequence)
        self._selector.record_digest()
        if own is not None:
            self._last_included_at = max(self._last_included_at, own.at)
        self._listener.apply_relay_lag((digest.lag_ms or 0) + lag_ms)
        self._apply_reachable(digest)
        others = [runs for runs in digest.batch or () if runs.daemon != self._own_hash]
        for on_batch in self._on_batch:
            on_batch(others)
        self._listener.apply_fleet_view(digest.relay, _subtract_own(digest, own))

    def _apply_reachable(self, digest: Digest) -> None:
        if digest.heard is None:
            self._listener.renew_reachable()
            return
        reachable: dict[str, VmState] = {}
        for daemon in digest.heard:
            session = self._sessions.get(daemon.daemon)
            if session is not None and not daemon.lost_ms:
                reachable[session] = _read_state(daemon.state)
        self._reachable = reachable
        away = {self._sessions.get(daemon.daemon) for daemon in digest.heard if daemon.store_away}
        settled = self._selector.read_followed_ms() > MEMBER_TIMEOUT_MS
        unresponsive = {
            self._sessions.get(daemon.daemon, "") for daemon in digest.heard if daemon.quiet
        }
        self._listener.apply_unresponsive(unresponsive)
        self._listener.apply_reachable(reachable, reachable.keys() - away, settled=settled)
        lost = {self._sessions.get(d.daemon, ""): d.lost_ms for d in digest.heard if d.lost_ms}
        self._listener.apply_lost(lost)

    def _send_to(self, session: str, datagram: bytes) -> None:
        vm = self._vms.get(session)
        if vm is not None:
            echo = self._echoes.make_echo(session).encode()
            self._core.datagrams.send(vm.address, vm.peer_port, datagram + echo)


def _read_state(number: int) -> VmState:
    """Return a state; one unknown to this version counts as starting, and gets no callers."""
    return VmState(number) if number in _STATES else VmState.STARTING


def _frame(beacon: Beacon) -> bytes:
    return bytes((DatagramKind.BEACON,)) + encode_struct(beacon)


def _subtract_own(digest: Digest, own: _OwnReport | None) -> Beacon:
    """Return the aggregated state of all others: a digest without this daemon's own report."""
    runs, counts, waiting = (own.runs, own.counts, own.waiting) if own else ({}, {}, 0)
    # The catalogue is fetched from the daemon that has it, which may be another one than the relay.
    session = digest.newest_at or digest.relay
    beacon = Beacon(session, digest.sequence, int(VmState.READY), digest.catalogue_version)
    beacon.runs = [_subtract_runs(run, runs.get(run.upstream)) for run in digest.runs or ()]
    beacon.admitted = [
        CustomerCount(count.customer, count.admitted - counts.get(count.customer, 0), count.level)
        for count in digest.admitted or ()
    ]
    beacon.suspects = digest.suspects
    beacon.batch_waiting = max(0, (digest.batch_waiting or 0) - waiting)
    beacon.refused = digest.refused
    beacon.crashes = digest.crashes
    beacon.answered = digest.answered
    beacon.released = digest.released
    beacon.probing = digest.probing
    beacon.verdicts = digest.verdicts
    beacon.paces = digest.paces
    beacon.evacuation_version = digest.evacuation_version
    beacon.evacuated = digest.evacuated
    beacon.upstream_paces = digest.upstream_paces
    outcomes, queued = (own.outcomes, own.queued) if own else ({}, {})
    beacon.outcomes = [
        left
        for each in digest.outcomes or ()
        if (left := _subtract_outcomes(each, outcomes.get(each.upstream))) is not None
    ]
    beacon.waiting = [
        _subtract_waiting(each, queued.get((each.upstream_service, each.priority), 0))
        for each in digest.waiting or ()
    ]
    return beacon


def _subtract_runs(run: UpstreamRuns, own: UpstreamRuns | None) -> UpstreamRuns:
    if own is None:
        return run
    late = max(0, (run.late or 0) - (own.late or 0))
    online, batch = run.online - own.online, run.batch - own.batch
    tokens = max(0, (run.tokens or 0) - (own.tokens or 0))
    return UpstreamRuns(run.upstream, max(0, online), max(0, batch), late, tokens or None)


def _subtract_outcomes(
    total: UpstreamOutcomes, own: UpstreamOutcomes | None
) -> UpstreamOutcomes | None:
    """Return the outcomes of the others; None if the total is this daemon's own report only."""
    if own is None:
        return total
    succeeded = max(0, total.succeeded - own.succeeded)
    failed = max(0, total.failed - own.failed)
    # A report without outcomes asks others for theirs.
    if (own.succeeded or own.failed) and not succeeded and not failed:
        return None
    return UpstreamOutcomes(total.upstream, succeeded, failed)


def _subtract_waiting(total: WaitingRequests, own: int) -> WaitingRequests:
    return WaitingRequests(total.upstream_service, total.priority, max(0, total.count - own))
