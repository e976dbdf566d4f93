"""What many daemons say, as one message: a relay's picture of its data centre and of the fleet; no I/O.

Load it answers: hundreds of daemons that each see a request a second or two. Told to all one by one, as in
a small fleet, every daemon takes in hundreds of messages a second and still hears each other one only
every few seconds; a relay sums up its data centre, relays tell each other, and everyone takes in ten
messages a second that are some 200 ms old.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.fleet.const import (
    COUNTER_RESEND_MS,
    FOLLOWER_TIMEOUT_MS,
    MEMBER_TIMEOUT_MS,
    RELAY_TIMEOUT_MS,
    REMOTE_TIMEOUT_MS,
    REMOTE_UNRESPONSIVE_MS,
    UNRESPONSIVE_MS,
)
from goldcreststair.components.fleet.models import VmState
from goldcreststair.components.fleet.protocols import hash_name
from goldcreststair.wire.generated.gateway.ttypes import (
    BatchRuns,
    Beacon,
    CustomerCount,
    Digest,
    HeardDaemon,
    UpstreamRuns,
    WorkPace,
)

MAX_REFUSED: Final = 32
"""Fingerprints in one digest, the newest."""
MAX_NEW_MEMBER_COUNT: Final = 3
"""Requests that a daemon admits of a customer between two beacons, at the most that is usual."""
MAX_COUNT: Final = 1 << 62


@dataclass(slots=True)
class _Source:
    """The counters of one sender, as they were heard last."""

    at: Millis
    counts: dict[int, int] = field(default_factory=dict)


class CounterSum:
    """Adds up counters that only their own senders know, whichever of them come and go."""

    def __init__(self, clock: Clock) -> None:
        """Start at zero."""
        self.totals: dict[int, int] = {}
        self._clock = clock
        self._changed_at: dict[int, Millis] = {}
        self._sources: dict[str, _Source] = {}

    def apply(self, name: str, counts: Mapping[int, int], max_new: int) -> None:
        """Take counters of a sender; those that it leaves out have not changed.

        One that it has not listed before counts for `most_new` at most: how much of it was counted
        before it was left out is not known.
        """
        now = self._clock.now()
        source = self._sources.get(name)
        # What was counted before its sender was heard, or while it was silent, is no news: the part of a
        # quota that is withheld for a silent daemon pays for it.
        known = source is not None and now - source.at <= UNRESPONSIVE_MS
        source = self._sources.setdefault(name, _Source(now))
        source.at = now
        for key, count in counts.items():
            before = source.counts.get(key)
            change = min(count, max_new) if before is None else count - before
            source.counts[key] = count
            if known and change:
                self.totals[key] = self.totals.get(key, 0) + change
                self._changed_at[key] = now

    def has_source(self, name: str) -> bool:
        """Return whether a sender was heard before."""
        return name in self._sources

    def forget(self, name: str) -> None:
        """Drop a sender; what it counted stays counted."""
        self._sources.pop(name, None)

    def list_changed(self, within_ms: int) -> dict[int, int]:
        """Return the totals that changed of late."""
        horizon = self._clock.now() - within_ms
        return {key: self.totals[key] for key, at in self._changed_at.items() if at >= horizon}


@dataclass(slots=True)
class _Member:
    """The last word of one daemon of this data centre."""

    beacon: Beacon
    at: Millis
    follows_at: Millis | None = None
    """When it last said that it takes this daemon's digests."""


@dataclass(frozen=True, slots=True)
class _Remote:
    """The last word of a relay of another data centre."""

    digest: Digest
    at: Millis
    heard: tuple[HeardDaemon, ...]


@dataclass(slots=True)
class _DigestBuilder:
    """What is added up for one digest."""

    runs: dict[int, list[int]] = field(default_factory=dict)
    batch: list[BatchRuns] = field(default_factory=list)
    levels: dict[int, int] = field(default_factory=dict)
    suspects: set[int] = field(default_factory=set)
    waiting: int = 0
    refused: dict[str, None] = field(default_factory=dict)
    paces: dict[int, WorkPace] = field(default_factory=dict)
    heard: list[HeardDaemon] = field(default_factory=list)
    version: int = 0
    newest_at: str = ""
    evacuation_version: int = 0
    evacuated: list[str] | None = None

    def update_version(self, version: int, session: str) -> None:
        """Take which version of the catalogue a daemon has in force."""
        if version > self.version:
            self.version, self.newest_at = version, session

    def add(self, word: Beacon | Digest) -> None:
        """Add what beacons and digests have in common."""
        for run in word.runs or ():
            known = self.runs.setdefault(run.upstream, [0, 0, 0])
            known[0] += run.online
            known[1] += run.batch
            known[2] += run.late or 0
        for count in word.admitted or ():
            if count.level is not None:
                self.levels[count.customer] = min(
                    count.level, self.levels.get(count.customer, count.level)
                )
        self.suspects.update(word.suspects or ())
        self.waiting += word.batch_waiting or 0
        self.refused.update(dict.fromkeys(word.refused or ()))
        self.paces.update({pace.route: pace for pace in word.paces or ()})
        if (word.evacuation_version or 0) > self.evacuation_version:
            self.evacuation_version, self.evacuated = word.evacuation_version, word.evacuated

    def make(
        self, relay: str, sequence: int, data_centre: str, counts: Mapping[int, int]
    ) -> Digest:
        """Return the digest."""
        runs = [
            UpstreamRuns(key, online, batch, late or None)
            for key, (online, batch, late) in self.runs.items()
        ]
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
        )


class DigestTracker:
    """What a relay has heard from the daemons of its data centre, and from the other relays."""

    def __init__(self, clock: Clock, session: str, data_centre: str) -> None:
        """Know nobody's word."""
        self._clock = clock
        self._session = session
        self._data_centre = data_centre
        self._members: dict[str, _Member] = {}
        self._remotes: dict[str, dict[str, _Remote]] = {}
        """By data centre, then by relay."""
        self._data_centre_counts = CounterSum(clock)
        self._fleet_counts = CounterSum(clock)
        self._sequence = 0

    def apply_beacon(self, session: str, beacon: Beacon) -> bool:
        """Take a beacon of this data centre; returns whether who is heard has changed by it."""
        now = self._clock.now()
        member = self._members.get(session)
        changed = (
            member is None
            or now - member.at > MEMBER_TIMEOUT_MS
            or member.beacon.state != beacon.state
        )
        if member is None:
            member = self._members[session] = _Member(beacon, now)
        member.beacon, member.at = beacon, now
        member.follows_at = now if beacon.follows else None
        counts = {count.customer: count.admitted for count in beacon.admitted or ()}
        self._data_centre_counts.apply(session, counts, MAX_NEW_MEMBER_COUNT)
        self._fleet_counts.apply(session, counts, MAX_NEW_MEMBER_COUNT)
        return changed

    def apply_digest(self, digest: Digest) -> bool:
        """Take what a relay says of another data centre; returns whether it hears others than before."""
        relays = self._remotes.setdefault(digest.data_centre, {})
        known = relays.get(digest.relay)
        if known is not None and known.digest.sequence >= digest.sequence:
            return False
        heard = tuple(digest.heard or ()) if digest.heard or known is None else known.heard
        relays[digest.relay] = _Remote(digest, self._clock.now(), heard)
        best = self._find_best(digest.data_centre)
        if best is not None and best.digest.relay == digest.relay:
            self._count_remote(digest)
        return known is None or heard != known.heard

    def _count_remote(self, digest: Digest) -> None:
        name = f"{digest.data_centre} {digest.relay}"
        # Only a whole digest shows how far each counter was when this relay was first heard.
        if digest.whole or self._fleet_counts.has_source(name):
            counts = {count.customer: count.admitted for count in digest.admitted or ()}
            self._fleet_counts.apply(name, counts, MAX_COUNT)

    def forget(self, session: str) -> None:
        """Drop a daemon that is gone."""
        self._members.pop(session, None)
        self._data_centre_counts.forget(session)
        self._fleet_counts.forget(session)
        for data_centre, relays in self._remotes.items():
            if relays.pop(session, None) is not None:
                self._fleet_counts.forget(f"{data_centre} {session}")

    def list_unresponsive(self) -> frozenset[str]:
        """Return the data centres that have spoken, but not of late."""
        now = self._clock.now()
        return frozenset(
            data_centre
            for data_centre, relays in self._remotes.items()
            if all(now - remote.at > REMOTE_UNRESPONSIVE_MS for remote in relays.values())
        )

    def list_followers(self) -> dict[str, Beacon]:
        """Return the last beacons of those who take this daemon's digests, by session."""
        horizon = self._clock.now() - FOLLOWER_TIMEOUT_MS
        return {
            session: member.beacon
            for session, member in self._members.items()
            if member.follows_at is not None and member.follows_at >= horizon
        }

    def read_relay(self, data_centre: str) -> str:
        """Return the relay that last spoke for a data centre; empty if none did of late."""
        best = self._find_best(data_centre)
        return best.digest.relay if best is not None else ""

    def build_data_centre_digest(self, lost_ms: Mapping[str, int], *, whole: bool) -> Digest:
        """Return what the daemons of this data centre say together; `lost_ms` names those that are gone."""
        total = self._add_members(lost_ms)
        return self._finish(total, self._data_centre, self._data_centre_counts, whole=whole)

    def build_fleet_digest(self, lost_ms: Mapping[str, int], *, whole: bool) -> Digest:
        """Return what all daemons say together, as far as relays have told."""
        total = self._add_members(lost_ms)
        for data_centre in self._remotes:
            remote = self._find_best(data_centre)
            if remote is not None:
                total.add(remote.digest)
                total.update_version(remote.digest.catalogue_version, remote.digest.newest_at or "")
                total.batch.extend(remote.digest.batch or ())
                quiet = self._clock.now() - remote.at > REMOTE_UNRESPONSIVE_MS
                total.heard.extend(map(_mark_unresponsive, remote.heard) if quiet else remote.heard)
        return self._finish(total, "", self._fleet_counts, whole=whole)

    def _finish(
        self, total: _DigestBuilder, data_centre: str, counts: CounterSum, *, whole: bool
    ) -> Digest:
        self._sequence += 1
        # Datagrams are lost now and then: a counter is told until it has stood still for a while.
        listed = counts.totals if whole else counts.list_changed(COUNTER_RESEND_MS)
        digest = total.make(self._session, self._sequence, data_centre, listed)
        if whole:
            digest.heard, digest.whole = total.heard, True
        return digest

    def _add_members(self, lost_ms: Mapping[str, int]) -> _DigestBuilder:
        total = _DigestBuilder()
        for session, silent_ms in lost_ms.items():
            lost = HeardDaemon(hash_name(session), VmState.STARTING, None, silent_ms)
            total.heard.append(lost)
        for session, member in self._list_seen():
            key, beacon = hash_name(session), member.beacon
            total.add(beacon)
            total.update_version(beacon.catalogue_version, session)
            total.batch.extend(_list_batch(key, beacon.runs or ()))
            total.heard.append(HeardDaemon(key, beacon.state, beacon.store_away))
        return total

    def _list_seen(self) -> list[tuple[str, _Member]]:
        horizon = self._clock.now() - MEMBER_TIMEOUT_MS
        return [(s, member) for s, member in self._members.items() if member.at >= horizon]

    def _find_best(self, data_centre: str) -> _Remote | None:
        """Return the word of the relay that hears most daemons of a data centre, of those heard of late."""
        now = self._clock.now()
        fresh = [
            r
            for r in self._remotes.get(data_centre, {}).values()
            if now - r.at <= REMOTE_TIMEOUT_MS
        ]

        def rank(remote: _Remote) -> tuple[bool, int, str]:
            # The last word of one that fell silent stands only until the next one has spoken: told
            # nothing until then, the next one would know its own data centre only.
            speaks = now - remote.at <= RELAY_TIMEOUT_MS
            return speaks, len(remote.heard), remote.digest.relay

        return max(fresh, key=rank, default=None)


def _mark_unresponsive(heard: HeardDaemon) -> HeardDaemon:
    return HeardDaemon(heard.daemon, heard.state, heard.store_away, heard.lost_ms, True)


def _list_batch(daemon: int, runs: Iterable[UpstreamRuns]) -> list[BatchRuns]:
    return [BatchRuns(run.upstream, daemon, run.batch, run.late) for run in runs if run.batch]
