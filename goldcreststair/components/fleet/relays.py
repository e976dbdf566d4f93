"""Which daemons relay for a data centre, and which of them this daemon follows; no I/O.

There is no election: everyone ranks the daemons of a data centre alike. Beacons go to the first two, so that
the second has the whole picture when the first one freezes, is cut off or leaves.
"""

from collections.abc import Collection, Mapping
from typing import Final

from goldcreststair.clock import Clock, Millis
from goldcreststair.components.fleet.const import (
    RELAY_ANSWER_MS,
    RELAY_SETTLED_MS,
    RELAY_SHUNNED_MS,
    RELAY_SILENT_MS,
)
from goldcreststair.components.fleet.models import FleetVm, VmState
from goldcreststair.helpers.rendezvous import score

RELAYS: Final = 2
"""Daemons of each data centre that are told everything."""


MOST_HEARD_SHARE: Final = 0.8
"""A relay that hears less of the fleet than this does not know enough to say that a daemon is gone."""


def rank_relays(vms: Collection[FleetVm]) -> list[str]:
    """Return the sessions of one data centre, those that relay first."""
    return sorted((vm.session for vm in vms), key=lambda session: score(session, "relay"))


class RelayChoice:
    """Follows one relay of its own data centre."""

    def __init__(self, clock: Clock, own: FleetVm) -> None:
        """Follow nobody."""
        self.followed = ""
        self._clock = clock
        self._own = own
        self._began_at = clock.now()
        self._known_at: dict[str, Millis] = {}
        """When each session was first seen in the store."""
        self._ranks: dict[str, list[str]] = {}
        """By data centre."""
        self._sessions: frozenset[str] = frozenset()
        self._followed_at = Millis(0)
        self._digest_at = Millis(0)
        self._shunned: dict[str, Millis] = {}
        """Relays that fell silent, and until when they are not followed."""

    def take_vms(self, vms: Mapping[str, FleetVm]) -> None:
        """Take the daemons that stand in the store."""
        sessions = frozenset(vms)
        if sessions == self._sessions:
            return
        self._sessions = sessions
        now = self._clock.now()
        self._known_at = {session: self._known_at.get(session, now) for session in sessions}
        self._shunned = {s: until for s, until in self._shunned.items() if s in sessions}
        groups: dict[str, list[FleetVm]] = {}
        for vm in vms.values():
            groups.setdefault(vm.data_centre, []).append(vm)
        self._ranks = {name: rank_relays(group) for name, group in groups.items()}

    def note_digest(self) -> None:
        """Note a digest of the relay that is followed."""
        self._digest_at = self._clock.now()

    def choose(self, heard: Mapping[str, VmState]) -> str:
        """Return the relay to follow now; `heard` is what the present one says, empty if nothing."""
        if self.followed not in ("", self._own.session) and self._is_silent():
            self._shunned[self.followed] = Millis(self._clock.now() + RELAY_SHUNNED_MS)
        fitting = [s for s in self._rank(self._own.data_centre) if self._fits(s, heard)]
        if self.followed not in fitting:
            self._follow(self._choose_next(fitting, heard))
        elif fitting[0] != self.followed and self._may_return(fitting[0], heard):
            self._follow(fitting[0])
        return self.followed

    def read_followed_ms(self) -> int:
        """Return for how long the present relay has been followed."""
        return self._clock.now() - self._followed_at

    def is_relay(self) -> bool:
        """Return whether this daemon is one of those that relay for its data centre."""
        return self._own.session in self._rank(self._own.data_centre)[:RELAYS]

    def list_targets(self) -> list[str]:
        """Return the daemons that this daemon's beacons go to: the relays, and the one that it follows."""
        ranked = self._rank(self._own.data_centre)[:RELAYS]
        return ranked if self.followed in ranked or not self.followed else [*ranked, self.followed]

    def list_remote(self, data_centre: str, spoke: str, heard: Mapping[str, VmState]) -> list[str]:
        """Return whom to tell of this data centre at another one; `spoke` is who last spoke for it."""
        ranked = self._rank(data_centre)
        if spoke:
            known = [s for s in ranked if s in heard and heard[s] is not VmState.LEAVING]
            # Those who spoke first as a fleet starts may be followed by a few for a moment: told alone, they
            # would keep the word of one data centre from the other's relay.
            return list(dict.fromkeys([spoke, *known[:RELAYS], *ranked[:RELAYS]]))
        if not ranked:
            return []
        # Nobody speaks for it: its first ones may all be gone. Others are tried in turn.
        turn = self._clock.now() // RELAY_SILENT_MS % len(ranked)
        return list(dict.fromkeys([*ranked[:RELAYS], ranked[turn]]))

    def list_remote_data_centres(self) -> list[str]:
        """Return the other data centres that have daemons."""
        return [name for name in self._ranks if name != self._own.data_centre]

    def _is_silent(self) -> bool:
        now = self._clock.now()
        # One that has not answered at all is given up sooner: where several are gone, the next ones
        # have to be found before all others seem silent.
        if self._digest_at < self._followed_at:
            return now - self._followed_at > RELAY_ANSWER_MS
        return now - self._digest_at > RELAY_SILENT_MS

    def _rank(self, data_centre: str) -> list[str]:
        return self._ranks.get(data_centre, [])

    def _fits(self, session: str, heard: Mapping[str, VmState]) -> bool:
        if self._shunned.get(session, Millis(0)) > self._clock.now():
            return False
        return heard.get(session) is not VmState.LEAVING

    def _choose_next(self, fitting: list[str], heard: Mapping[str, VmState]) -> str:
        # Where a relay hears few, those few are no better than others: chosen from, they would go on
        # following each other, and hear nobody else.
        known = [s for s in fitting if s in heard] if self._hears_most(heard) else []
        return next(iter(known or fitting), "")

    def _hears_most(self, heard: Mapping[str, VmState]) -> bool:
        return len(heard) >= len(self._sessions) * MOST_HEARD_SHARE

    def _may_return(self, first: str, heard: Mapping[str, VmState]) -> bool:
        """Return whether to leave a relay that serves well for the one that ranks first."""
        # One that has just started has not heard everyone yet: followed at once, it would make the
        # fleet look empty. Only while this daemon starts itself there is nothing to lose.
        now = self._clock.now()
        if now - self._began_at > RELAY_SETTLED_MS:
            settled_at = max(self._followed_at, self._known_at.get(first, now))
            if now - settled_at <= RELAY_SETTLED_MS:
                return False
        # One that a relay leaves out which hears nearly all is gone. One that hears few may be followed
        # by those few alone, as a fleet starts: nobody else would ever tell it more.
        return first in heard or not self._hears_most(heard)

    def _follow(self, session: str) -> None:
        self.followed = session
        self._followed_at = self._clock.now()
