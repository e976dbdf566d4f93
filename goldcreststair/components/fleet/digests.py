"""Aggregates beacons into digests: a relay's view of its data centre and of the fleet; no I/O.

Needed for fleets of hundreds of daemons that each see a request every second or two. If all of them
sent beacons to all others, as in a small fleet, every daemon would receive hundreds of messages a
second and still get each other daemon's beacon only every few seconds. Instead a relay aggregates
its data centre, relays exchange digests, and every daemon receives ten messages a second that are
about 200 ms old.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from operator import attrgetter
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.fleet.const import (
    COUNTER_RESEND_MS,
    DIGEST_IDLE_MS,
    FOLLOWER_TIMEOUT_MS,
    MEMBER_TIMEOUT_MS,
    RELAY_TIMEOUT_MS,
    REMOTE_TIMEOUT_MS,
    REMOTE_UNRESPONSIVE_MS,
)
from goldcreststair.components.fleet.models import VmState
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.helpers.counters import estimate_earlier_count
from goldcreststair.helpers.crash_evidence import ENCODED_WHOLE, SUSPECT_BYTES
from goldcreststair.wire.generated.gateway.ttypes import (
    AnsweredSuspects,
    BatchRuns,
    Beacon,
    CustomerCount,
    Digest,
    HeardDaemon,
    LostRuns,
    UpstreamOutcomes,
    UpstreamPace,
    UpstreamRuns,
    WaitingRequests,
    WorkPace,
)

MAX_REFUSED: Final = 32
"""Most fingerprints in one digest; the newest are kept."""
MAX_CRASHES: Final = 64
"""Most reports of crashes in one digest; the newest are kept."""
MAX_ANSWERED: Final = 256
"""Most answered suspects of one software version in one digest."""
MAX_PROBING_BYTES: Final = 512
MAX_COUNTERS: Final = 4_096
"""Most customers whose requests are counted; further ones are not added up."""
MAX_PACES: Final = 1
"""Most paces of upstreams in one digest: one takes 16 B, and up to 12 digests are sent in a second.
The upstreams take turns."""
TURN_VALID_MS: Final = 10_000
"""How long it counts that the pace of an upstream was passed on: much longer than all upstreams take
for their turns."""
COUNTED_SILENCE_MS: Final = 2_000
"""What a sender counted while it was silent for longer is left to its own share of each quota."""


@dataclass(frozen=True, slots=True)
class _Answered:
    """An answer on a suspect of crashes, as beacons carry it."""

    age_ms: int
    wrote_ms: int = ENCODED_WHOLE
    events: int = ENCODED_WHOLE


@dataclass(slots=True)
class _Source:
    """Last counters received from one sender."""

    at: Millis
    complete: bool
    """Whether counters that it has not listed were zero when it was first heard."""
    counts: dict[int, int] = field(default_factory=dict)


class CounterSum:
    """Adds up counters that only their senders know, while senders come and go."""

    def __init__(self, clock: Clock) -> None:
        """Start with all totals at zero."""
        self.totals: dict[int, int] = {}
        self._clock = clock
        self._changed_at: dict[int, Millis] = {}
        self._sources: dict[str, _Source] = {}

    def apply(
        self, name: str, counts: Mapping[int, int], *, complete: bool, is_new: bool = False
    ) -> None:
        """Apply counters of a sender; those that it leaves out have not changed.

        `complete` says whether a first message lists all counters. Otherwise one that is listed
        later adds a few requests at most, as what it was before is unknown. `is_new` says whether
        the sender has counted nothing before this object heard of it.
        """
        now = self._clock.now()
        source = self._sources.get(name)
        # Counts from before the sender's first message, or from while it was silent, are not added:
        # the share of a quota that is withheld for a silent daemon covers them.
        known = is_new if source is None else now - source.at <= COUNTED_SILENCE_MS
        source = self._sources.setdefault(name, _Source(now, complete or is_new))
        source.at = now
        for key, count in counts.items():
            if key not in source.counts and len(source.counts) >= MAX_COUNTERS:
                continue
            earlier = estimate_earlier_count(count, complete=source.complete)
            change = count - source.counts.get(key, earlier)
            source.counts[key] = count
            if known and change and (key in self.totals or len(self.totals) < MAX_COUNTERS):
                self.totals[key] = self.totals.get(key, 0) + change
                self._changed_at[key] = now

    def has_source(self, name: str) -> bool:
        """Return whether a sender has sent counters before."""
        return name in self._sources

    def forget(self, name: str) -> None:
        """Remove a sender; its counts stay in the totals."""
        self._sources.pop(name, None)

    def list_changed(self, within_ms: int) -> dict[int, int]:
        """Return the totals that changed within this time."""
        horizon = self._clock.now() - within_ms
        return {key: self.totals[key] for key, at in self._changed_at.items() if at >= horizon}


@dataclass(slots=True)
class _Member:
    """Last beacon of one daemon of this data centre."""

    beacon: Beacon
    at: Millis
    follows_at: Millis | None = None
    """When it last asked for this daemon's digests."""
    paces_at: Millis = Millis(0)
    """When it last reported the pace of upstreams."""
    lag_ms: int = 0
    """How long the beacon may have taken."""


@dataclass(frozen=True, slots=True)
class _Remote:
    """Last digest of a relay of another data centre."""

    digest: Digest
    at: Millis
    daemons: tuple[HeardDaemon, ...]
    paces_at: Millis
    """When the digest, or the one that its paces are kept from, arrived."""
    lag_ms: int
    """How long its counters may have taken to this relay, by all relays on the way."""


@dataclass(slots=True)
class _DigestBuilder:
    """Accumulates the contents of one digest."""

    runs: dict[int, list[int]] = field(default_factory=dict)
    batch: list[BatchRuns] = field(default_factory=list)
    levels: dict[int, int] = field(default_factory=dict)
    suspects: set[int] = field(default_factory=set)
    waiting: int = 0
    refused: dict[str, None] = field(default_factory=dict)
    paces: dict[int, WorkPace] = field(default_factory=dict)
    daemons: list[HeardDaemon] = field(default_factory=list)
    version: int = 0
    newest_at: str = ""
    evacuation_version: int = 0
    evacuated: list[str] | None = None
    upstream_paces: dict[int, UpstreamPace] = field(default_factory=dict)
    outcomes: dict[int, list[int]] = field(default_factory=dict)
    """Succeeded and failed requests by upstream."""
    queued: dict[tuple[int, int], int] = field(default_factory=dict)
    """Waiting requests by service and priority."""
    crashes: list[LostRuns] = field(default_factory=list)
    answered: dict[int, dict[bytes, _Answered]] = field(default_factory=dict)
    """The answer that says most, by software and suspect."""
    released: bytearray = field(default_factory=bytearray)
    probing: bytearray = field(default_factory=bytearray)
    verdicts: int | None = None
    lag_ms: int = 0

    def update_version(self, version: int, session: str) -> None:
        """Keep the newest catalogue version and a daemon that has it in force."""
        if version > self.version:
            self.version, self.newest_at = version, session

    def add(self, message: Beacon | Digest) -> None:
        """Add the fields that beacons and digests share."""
        for run in message.runs or ():
            known = self.runs.setdefault(run.upstream, [0, 0, 0, 0])
            known[0] += run.online
            known[1] += run.batch
            known[2] += run.late or 0
            known[3] += run.tokens or 0
        for count in message.admitted or ():
            if count.level is not None:
                self.levels[count.customer] = min(
                    count.level, self.levels.get(count.customer, count.level)
                )
        self.suspects.update(message.suspects or ())
        self.waiting += message.batch_waiting or 0
        self.refused.update(dict.fromkeys(message.refused or ()))
        self.paces.update({pace.route: pace for pace in message.paces or ()})
        if (message.evacuation_version or 0) > self.evacuation_version:
            self.evacuation_version, self.evacuated = message.evacuation_version, message.evacuated
        self._add_contention(message)
        self._add_crashes(message)

    def _add_crashes(self, message: Beacon | Digest) -> None:
        self.crashes += message.crashes or ()
        for answers in message.answered or ():
            known = self.answered.setdefault(answers.software, {})
            extents = [*zip(answers.wrote_ms or (), answers.events or (), strict=False)]
            for number, age_ms in enumerate(answers.ages_ms):
                suspect = answers.suspects[SUSPECT_BYTES * number : SUSPECT_BYTES * (number + 1)]
                whole = number >= len(extents)
                answered = _Answered(age_ms) if whole else _Answered(age_ms, *extents[number])
                known[suspect] = min(answered, known.get(suspect, answered), key=_rank_answered)
        self.released += message.released or b""
        self.probing += message.probing or b""

    def _add_contention(self, message: Beacon | Digest) -> None:
        for pace in message.upstream_paces or ():
            known = self.upstream_paces.get(pace.upstream)
            # A negative age is an error of its sender, and would be the youngest figure for good.
            if pace.age_ms >= 0 and (known is None or pace.age_ms < known.age_ms):
                self.upstream_paces[pace.upstream] = pace
        for outcomes in message.outcomes or ():
            sums = self.outcomes.setdefault(outcomes.upstream, [0, 0])
            sums[0] += outcomes.succeeded
            sums[1] += outcomes.failed
        for waiting in message.waiting or ():
            key = (waiting.upstream_service, waiting.priority)
            self.queued[key] = self.queued.get(key, 0) + waiting.count

    def build(
        self, relay: str, sequence: int, data_centre: str, counts: Mapping[int, int]
    ) -> Digest:
        """Return the digest."""
        runs = [
            UpstreamRuns(key, online, batch, late or None, tokens or None)
            for key, (online, batch, late, tokens) in self.runs.items()
        ]
        outcomes = [UpstreamOutcomes(key, *sums) for key, sums in self.outcomes.items()]
        waiting = [WaitingRequests(*key, count) for key, count in self.queued.items()]
        admitted = [CustomerCount(key, n, self.levels.get(key)) for key, n in counts.items()]
        return Digest(
            relay,
            sequence,
            self.version,
            data_centre,
            runs,
            self.batch,
            admitted,
            list(self.suspects),
            self.waiting or None,
            list(self.refused)[-MAX_REFUSED:] or None,
            list(self.paces.values()) or None,
            newest_at=self.newest_at or None,
            evacuation_version=self.evacuation_version or None,
            evacuated=self.evacuated,
            upstream_paces=list(self.upstream_paces.values()) or None,
            outcomes=outcomes or None,
            waiting=waiting or None,
            crashes=sorted(self.crashes, key=attrgetter("age_ms"))[:MAX_CRASHES] or None,
            answered=[
                _make_answered_suspects(software, _choose_youngest(every))
                for software, every in self.answered.items()
            ]
            or None,
            released=bytes(self.released[:MAX_PROBING_BYTES]) or None,
            probing=bytes(self.probing[:MAX_PROBING_BYTES]) or None,
            verdicts=self.verdicts,
            lag_ms=self.lag_ms or None,
        )


class DigestTracker:
    """Keeps what a relay received from the daemons of its data centre and from other relays."""

    def __init__(self, clock: Clock, session: str, data_centre: str) -> None:
        """Start without beacons and digests."""
        self._clock = clock
        self._session = session
        self._data_centre = data_centre
        self._members: dict[str, _Member] = {}
        self._remotes: dict[str, dict[str, _Remote]] = {}
        """By data centre, then by relay."""
        self._data_centre_counts = CounterSum(clock)
        self._fleet_counts = CounterSum(clock)
        self._started_at = clock.now()
        self._sequence = 0
        self._built_at = Millis(0)
        self._built_before = Millis(0)
        """When the last digests were built, and the ones before them."""
        self._passed_on: dict[str, dict[int, Millis]] = {}
        """When the pace of each upstream was in a digest, by what the digest stands for."""

    def apply_beacon(self, session: str, beacon: Beacon, lag_ms: int = 0) -> bool:
        """Apply a member's beacon; returns whether its reachability or its state changed.

        `lag_ms` is how long the beacon may have taken.
        """
        now = self._clock.now()
        member = self._members.get(session)
        changed = (
            member is None
            or now - member.at > MEMBER_TIMEOUT_MS
            or member.beacon.state != beacon.state
        )
        if member is None:
            member = self._members[session] = _Member(beacon, now)
        member.paces_at = self._keep_paces(beacon, member.beacon, member.paces_at)
        member.beacon, member.at, member.lag_ms = beacon, now, lag_ms
        member.follows_at = now if beacon.follows else None
        counts = {count.customer: count.admitted for count in beacon.admitted or ()}
        is_new = beacon.up_ms is not None and now - self._started_at > beacon.up_ms
        for total in (self._data_centre_counts, self._fleet_counts):
            total.apply(session, counts, complete=False, is_new=is_new)
        return changed

    def apply_digest(self, digest: Digest, lag_ms: int = 0) -> bool:
        """Apply a remote digest; returns whether its relay lists other daemons than before.

        `lag_ms` is how long the digest may have taken.
        """
        relays = self._remotes.setdefault(digest.data_centre, {})
        known = relays.get(digest.relay)
        if known is not None and known.digest.sequence >= digest.sequence:
            return False
        daemons = tuple(digest.heard or ()) if digest.heard or known is None else known.daemons
        paces_at = self._clock.now()
        if known is not None:
            paces_at = self._keep_paces(digest, known.digest, known.paces_at)
        lag_ms += digest.lag_ms or 0
        relays[digest.relay] = _Remote(digest, self._clock.now(), daemons, paces_at, lag_ms)
        best = self._find_best(digest.data_centre)
        if best is not None and best.digest.relay == digest.relay:
            self._count_remote(digest)
        return known is None or daemons != known.daemons

    def _count_remote(self, digest: Digest) -> None:
        name = f"{digest.data_centre} {digest.relay}"
        # Only a whole digest gives the value of each counter when this relay was first seen.
        if digest.whole or self._fleet_counts.has_source(name):
            counts = {count.customer: count.admitted for count in digest.admitted or ()}
            self._fleet_counts.apply(name, counts, complete=True)

    def forget(self, session: str) -> None:
        """Remove a daemon that is gone."""
        self._members.pop(session, None)
        self._data_centre_counts.forget(session)
        self._fleet_counts.forget(session)
        for data_centre, relays in self._remotes.items():
            if relays.pop(session, None) is not None:
                self._fleet_counts.forget(f"{data_centre} {session}")

    def forget_unlisted(self, session: str) -> None:
        """Remove a relay that was never in the list, and data centres that only it has named."""
        self.forget(session)
        self._remotes = {name: relays for name, relays in self._remotes.items() if relays}

    def list_unresponsive(self) -> frozenset[str]:
        """Return the data centres that have sent digests, but none recently."""
        now = self._clock.now()
        return frozenset(
            data_centre
            for data_centre, relays in self._remotes.items()
            if all(now - remote.at > REMOTE_UNRESPONSIVE_MS for remote in relays.values())
        )

    def list_followers(self) -> dict[str, Beacon]:
        """Return the last beacons of the daemons that follow this relay, by session."""
        horizon = self._clock.now() - FOLLOWER_TIMEOUT_MS
        return {
            session: member.beacon
            for session, member in self._members.items()
            if member.follows_at is not None and member.follows_at >= horizon
        }

    def read_relay(self, data_centre: str) -> str:
        """Return the relay with the best recent digest of a data centre; empty if there is none."""
        best = self._find_best(data_centre)
        return best.digest.relay if best is not None else ""

    def build_data_centre_digest(self, lost_ms: Mapping[str, int], *, whole: bool) -> Digest:
        """Return the digest of this data centre; `lost_ms` holds for how long daemons are lost."""
        total = self._add_members(lost_ms)
        return self._finish(total, self._data_centre, self._data_centre_counts, whole=whole)

    def build_fleet_digest(self, lost_ms: Mapping[str, int], *, whole: bool) -> Digest:
        """Return the digest of the whole fleet, as far as other relays have sent theirs."""
        total = self._add_members(lost_ms)
        for data_centre in self._remotes:
            remote = self._find_best(data_centre)
            if remote is not None:
                self._drop_old_paces(remote.digest, remote.paces_at)
                total.add(remote.digest)
                total.update_version(remote.digest.catalogue_version, remote.digest.newest_at or "")
                total.batch.extend(remote.digest.batch or ())
                total.lag_ms = max(total.lag_ms, remote.lag_ms)
                unresponsive = self._clock.now() - remote.at > REMOTE_UNRESPONSIVE_MS
                total.daemons.extend(
                    map(_mark_unresponsive, remote.daemons) if unresponsive else remote.daemons
                )
        return self._finish(total, "", self._fleet_counts, whole=whole)

    def _finish(
        self, total: _DigestBuilder, data_centre: str, counts: CounterSum, *, whole: bool
    ) -> Digest:
        self._sequence += 1
        self._limit_paces(total, data_centre)
        # Datagrams may be lost: a counter is repeated until it has not changed for a while.
        listed = counts.totals if whole else counts.list_changed(COUNTER_RESEND_MS)
        digest = total.build(self._session, self._sequence, data_centre, listed)
        if whole:
            digest.heard, digest.whole = total.daemons, True
        return digest

    def _add_members(self, lost_ms: Mapping[str, int]) -> _DigestBuilder:
        total = _DigestBuilder()
        now = self._clock.now()
        # The digests of one moment share what has arrived since those before them.
        if now != self._built_at:
            self._built_before, self._built_at = self._built_at, now
        for session, silent_ms in lost_ms.items():
            lost = HeardDaemon(hash_name(session), VmState.STARTING, None, silent_ms)
            total.daemons.append(lost)
        for session, member in self._list_seen():
            key, beacon = hash_name(session), member.beacon
            self._drop_old_paces(beacon, member.paces_at)
            total.add(beacon)
            total.lag_ms = max(total.lag_ms, member.lag_ms)
            if session == self._session:
                total.verdicts = beacon.verdicts
            total.update_version(beacon.catalogue_version, session)
            total.batch.extend(_list_batch(key, beacon.runs or ()))
            total.daemons.append(HeardDaemon(key, beacon.state, beacon.store_away))
        return total

    def _keep_paces(
        self, message: Beacon | Digest, before: Beacon | Digest, paces_at: Millis
    ) -> Millis:
        """Keep the paces of the previous message that no digest has passed on yet.

        Most messages carry no paces. Returns when the paces of this message arrived.
        """
        now = self._clock.now()
        if message.upstream_paces is not None:
            return now
        if paces_at >= max(self._built_at, now - DIGEST_IDLE_MS):
            message.upstream_paces = before.upstream_paces
        return paces_at

    def _limit_paces(self, total: _DigestBuilder, data_centre: str) -> None:
        now, passed_on = self._clock.now(), self._passed_on.setdefault(data_centre, {})

        def rank(pace: UpstreamPace) -> tuple[bool, Millis, int]:
            # A digest that is built twice at one moment carries the same paces.
            passed_at = passed_on.get(pace.upstream, Millis(0))
            return passed_at != now, passed_at, -abs(pace.percent - 100)

        chosen = sorted(total.upstream_paces.values(), key=rank)[:MAX_PACES]
        total.upstream_paces = {pace.upstream: pace for pace in chosen}
        passed_on.update((pace.upstream, now) for pace in chosen)
        for upstream in [key for key, at in passed_on.items() if at <= now - TURN_VALID_MS]:
            del passed_on[upstream]

    def _drop_old_paces(self, message: Beacon | Digest, paces_at: Millis) -> None:
        # Passed on in each digest until the sender's next message, paces would take 400 B/s.
        if paces_at < self._built_before:
            message.upstream_paces = None

    def _list_seen(self) -> list[tuple[str, _Member]]:
        horizon = self._clock.now() - MEMBER_TIMEOUT_MS
        return [(s, member) for s, member in self._members.items() if member.at >= horizon]

    def _find_best(self, data_centre: str) -> _Remote | None:
        """Return the best recent digest of a data centre, of the relay that lists most daemons."""
        now = self._clock.now()
        fresh = [
            r
            for r in self._remotes.get(data_centre, {}).values()
            if now - r.at <= REMOTE_TIMEOUT_MS
        ]

        def rank(remote: _Remote) -> tuple[bool, int, str]:
            # The last digest of a relay that fell silent is used only until the next relay has sent
            # one. If it were preferred for longer, nothing would be sent to the next relay until
            # then, which would know its own data centre only.
            is_sending = now - remote.at <= RELAY_TIMEOUT_MS
            return is_sending, len(remote.daemons), remote.digest.relay

        return max(fresh, key=rank, default=None)


def _choose_youngest(answered: Mapping[bytes, _Answered]) -> dict[bytes, _Answered]:
    """Return the suspects that were answered last, as many as a digest may hold."""
    youngest = sorted(answered, key=lambda suspect: answered[suspect].age_ms)[:MAX_ANSWERED]
    return {suspect: answered[suspect] for suspect in youngest}


def _rank_answered(answered: _Answered) -> tuple[bool, int]:
    """Order whole answers first, then by age."""
    return answered.wrote_ms != ENCODED_WHOLE, answered.age_ms


def _make_answered_suspects(software: int, answered: Mapping[bytes, _Answered]) -> AnsweredSuspects:
    every = tuple(answered.values())
    all_whole = all(each.wrote_ms == ENCODED_WHOLE for each in every)
    return AnsweredSuspects(
        software,
        b"".join(answered),
        [each.age_ms for each in every],
        None if all_whole else [each.wrote_ms for each in every],
        None if all_whole else [each.events for each in every],
    )


def _mark_unresponsive(entry: HeardDaemon) -> HeardDaemon:
    return HeardDaemon(entry.daemon, entry.state, entry.store_away, entry.lost_ms, True)


def _list_batch(daemon: int, runs: Iterable[UpstreamRuns]) -> list[BatchRuns]:
    return [BatchRuns(run.upstream, daemon, run.batch, run.late) for run in runs if run.batch]
