"""Decides which daemons relay for a data centre, and which relay this daemon follows; no I/O.

There is no election: every daemon ranks the daemons of a data centre in the same way. Beacons go to
the first two, so that the second has a complete view when the first one is paused, partitioned or
leaves.
"""

from collections.abc import Collection, Mapping
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.fleet.const import (
    RELAY_EXCLUSION_MS,
    RELAY_FIRST_DIGEST_MS,
    RELAY_SETTLE_MS,
    RELAY_TIMEOUT_MS,
)
from goldcreststair.components.fleet.models import FleetVm, VmState
from goldcreststair.helpers.rendezvous import score

RELAYS: Final = 2
"""Daemons of each data centre that receive all its beacons."""


MIN_REACHABLE_SHARE: Final = 0.8
"""A relay that reaches less of the fleet than this does not know enough to decide that a daemon is
gone."""


def rank_relays(vms: Collection[FleetVm]) -> list[str]:
    """Return the sessions of one data centre in the order in which they become relays."""
    return sorted((vm.session for vm in vms), key=lambda session: score(session, "relay"))


class RelaySelector:
    """Selects the relay of its own data centre that this daemon follows."""

    def __init__(self, clock: Clock, own: FleetVm) -> None:
        """Start without a relay."""
        self.followed = ""
        self._clock = clock
        self._own = own
        self._began_at = clock.now()
        self._known_at: dict[str, Millis] = {}
        """When each session was first seen in the store."""
        self._ranks: dict[str, list[str]] = {}
        """Ranked sessions by data centre."""
        self._sessions: frozenset[str] = frozenset()
        self._followed_at = Millis(0)
        self._digest_at = Millis(0)
        self._excluded: dict[str, Millis] = {}
        """Relays that stopped sending, and until when they are not followed."""

    def replace_vms(self, vms: Mapping[str, FleetVm]) -> None:
        """Replace the known daemons by those that are in the store."""
        sessions = frozenset(vms)
        if sessions == self._sessions:
            return
        self._sessions = sessions
        now = self._clock.now()
        self._known_at = {session: self._known_at.get(session, now) for session in sessions}
        self._excluded = {s: until for s, until in self._excluded.items() if s in sessions}
        groups: dict[str, list[FleetVm]] = {}
        for vm in vms.values():
            groups.setdefault(vm.data_centre, []).append(vm)
        self._ranks = {name: rank_relays(group) for name, group in groups.items()}

    def record_digest(self) -> None:
        """Record a digest of the followed relay."""
        self._digest_at = self._clock.now()

    def choose(self, reachable: Mapping[str, VmState]) -> str:
        """Return the relay to follow now.

        `reachable` holds the daemons that the current relay reports, and is empty without a report.
        """
        if self.followed not in ("", self._own.session) and self._is_silent():
            self._excluded[self.followed] = Millis(self._clock.now() + RELAY_EXCLUSION_MS)
        eligible = [
            s for s in self._list_ranked(self._own.data_centre) if self._is_eligible(s, reachable)
        ]
        if self.followed not in eligible:
            self._follow(self._choose_next(eligible, reachable))
        elif eligible[0] != self.followed and self._may_switch_back(eligible[0], reachable):
            self._follow(eligible[0])
        return self.followed

    def read_followed_ms(self) -> int:
        """Return for how long the current relay has been followed, in ms."""
        return self._clock.now() - self._followed_at

    def is_relay(self) -> bool:
        """Return whether this daemon is one of the relays of its data centre."""
        return self._own.session in self._list_ranked(self._own.data_centre)[:RELAYS]

    def list_targets(self) -> list[str]:
        """Return the receivers of this daemon's beacons: the relays and the followed daemon."""
        ranked = self._list_ranked(self._own.data_centre)[:RELAYS]
        return ranked if self.followed in ranked or not self.followed else [*ranked, self.followed]

    def list_relays(self, reachable: Mapping[str, VmState]) -> list[str]:
        """Return the daemons that receive the beacons of each data centre, `RELAYS` of each."""
        found = [self.followed] if self.followed else []
        for ranked in self._ranks.values():
            known = [session for session in ranked if session in reachable]
            found += (known or ranked)[:RELAYS]
        return list(dict.fromkeys(found))

    def list_remote_targets(
        self, data_centre: str, last_relay: str, reachable: Mapping[str, VmState]
    ) -> list[str]:
        """Return the daemons of another data centre that receive this data centre's digests.

        `last_relay` is the one that last sent a digest for it; empty if there was none.
        """
        ranked = self._list_ranked(data_centre)
        if last_relay:
            known = [s for s in ranked if s in reachable and reachable[s] is not VmState.LEAVING]
            # While a fleet starts, the first to send digests may be followed by a few daemons for a
            # moment only. Sending to them alone would keep this data centre's digests from the
            # actual relays.
            return list(dict.fromkeys([last_relay, *known[:RELAYS], *ranked[:RELAYS]]))
        if not ranked:
            return []
        # No relay sends digests: the first-ranked ones may all be gone. The others are tried in
        # turn.
        turn = self._clock.now() // RELAY_TIMEOUT_MS % len(ranked)
        return list(dict.fromkeys([*ranked[:RELAYS], ranked[turn]]))

    def list_remote_data_centres(self) -> list[str]:
        """Return the other data centres that have daemons."""
        return [name for name in self._ranks if name != self._own.data_centre]

    def _is_silent(self) -> bool:
        now = self._clock.now()
        # A relay that has sent no digest at all is replaced sooner: where several relays are gone,
        # the next one has to be found before all other daemons seem silent.
        if self._digest_at < self._followed_at:
            return now - self._followed_at > RELAY_FIRST_DIGEST_MS
        return now - self._digest_at > RELAY_TIMEOUT_MS

    def _list_ranked(self, data_centre: str) -> list[str]:
        return self._ranks.get(data_centre, [])

    def _is_eligible(self, session: str, reachable: Mapping[str, VmState]) -> bool:
        if self._excluded.get(session, Millis(0)) > self._clock.now():
            return False
        return reachable.get(session) is not VmState.LEAVING

    def _choose_next(self, eligible: list[str], reachable: Mapping[str, VmState]) -> str:
        # Where a relay reaches few daemons, those are not better candidates: chosen from among
        # them, they would go on following each other and never reach the rest.
        known = [s for s in eligible if s in reachable] if self._sees_most(reachable) else []
        return next(iter(known or eligible), "")

    def _sees_most(self, reachable: Mapping[str, VmState]) -> bool:
        return len(reachable) >= len(self._sessions) * MIN_REACHABLE_SHARE

    def _may_switch_back(self, first: str, reachable: Mapping[str, VmState]) -> bool:
        """Return whether to replace a working relay by the one that ranks first."""
        # A relay that has just started has not received all beacons yet: following it at once would
        # make the fleet look empty. Only while this daemon itself starts is there nothing to lose.
        now = self._clock.now()
        if now - self._began_at > RELAY_SETTLE_MS:
            settled_at = max(self._followed_at, self._known_at.get(first, now))
            if now - settled_at <= RELAY_SETTLE_MS:
                return False
        # A daemon that is missing from the report of a relay that reaches nearly all is gone. A
        # relay that reaches few may be followed by those few alone, as a fleet starts: it would
        # never receive the other beacons.
        return first in reachable or not self._sees_most(reachable)

    def _follow(self, session: str) -> None:
        self.followed = session
        self._followed_at = self._clock.now()
